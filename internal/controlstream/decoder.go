package controlstream

import "encoding/binary"

// A Decoder replaces its buffer by a smaller one when the capacity exceeds largeBufferBytes and is more than bufferSlack
// times the size needed. If the Decoder kept its buffer, one large frame would occupy memory until the
// stream ends.
const (
	largeBufferBytes = 1 << 16
	bufferSlack      = 4
	spareBytes       = 1 << 12 // free capacity of the smaller buffer
)

// Decoder splits a stream of bytes into frames and checks their headers. It buffers at most one frame of the maximum size
// plus the bytes of one call of Feed, and allocates nothing for a length that a header announces before the bytes have
// arrived. It must not be used by several goroutines at the same time.
type Decoder struct {
	maxBodyBytes int
	buffer       []byte
	consumed     int         // number of bytes at the start of buffer that belong to frames already returned
	lastSequence uint64      // sequence number of the last frame returned; 0 before the first frame
	closeErr     *CloseError // the error that ended decoding, or nil
}

// NewDecoder returns a Decoder that rejects frames with a body of more than maxBodyBytes.
func NewDecoder(maxBodyBytes int) *Decoder { return &Decoder{maxBodyBytes: maxBodyBytes} }

// Feed copies received bytes into the buffer. This overwrites the bodies of the frames returned so far. Before the next
// Feed, call Next until it returns no frame, so that no complete frames pile up in the buffer. After an error, Feed does
// nothing.
func (d *Decoder) Feed(data []byte) {
	if d.closeErr != nil {
		return
	}
	rest := copy(d.buffer, d.buffer[d.consumed:])
	d.buffer = append(d.buffer[:rest], data...)
	d.consumed = 0
	if cap(d.buffer) > largeBufferBytes && cap(d.buffer) > bufferSlack*(FrameHeaderBytes+len(d.buffer)) {
		smaller := make([]byte, 0, len(d.buffer)+spareBytes)
		d.buffer = append(smaller, d.buffer...)
	}
}

// Next returns the next complete frame; ok is false if there is none yet. The error is a *CloseError with one of the reasons
// that a Decoder reports. After an error, each call returns the same error.
func (d *Decoder) Next() (frame Frame, ok bool, err error) {
	frame, ok, closeErr := d.next()
	if closeErr != nil {
		return Frame{}, false, closeErr
	}
	return frame, ok, nil
}

// next does what Next does, but returns the error as a *CloseError.
func (d *Decoder) next() (frame Frame, ok bool, closeErr *CloseError) {
	if d.closeErr != nil {
		return Frame{}, false, d.closeErr
	}
	unread := d.buffer[d.consumed:]
	if closeErr := d.checkPrefix(unread); closeErr != nil {
		return d.fail(closeErr)
	}
	if len(unread) < FrameHeaderBytes {
		return Frame{}, false, nil
	}
	size := FrameHeaderBytes + int(binary.BigEndian.Uint32(unread[lengthOffset:]))
	if len(unread) < size {
		return Frame{}, false, nil
	}
	frame, closeErr = d.parse(unread[:size])
	if closeErr != nil {
		return d.fail(closeErr)
	}
	d.lastSequence = frame.Sequence
	d.consumed += size
	return frame, true, nil
}

// checkPrefix checks the part of a header that has arrived. Without this check, a Decoder would wait for the rest of a frame
// from a peer that speaks another protocol or version, or that announces a body above the limit.
func (d *Decoder) checkPrefix(unread []byte) *CloseError {
	if !startsWithMagic(unread) {
		return newCloseError(ReasonBadMagic, "frame starts with bytes % x", unread[:min(len(unread), 2)])
	}
	if len(unread) > versionOffset && unread[versionOffset] != version {
		return newCloseError(ReasonBadVersion, "frame has version %d, want %d", unread[versionOffset], version)
	}
	if len(unread) < sequenceOffset {
		return nil
	}
	length := binary.BigEndian.Uint32(unread[lengthOffset:])
	if uint64(length) > uint64(d.maxBodyBytes) {
		return newCloseError(ReasonBadSize, "body has %d bytes, limit is %d", length, d.maxBodyBytes)
	}
	return nil
}

// startsWithMagic reports whether the unread bytes, of which there may be fewer than two, can be the start of a frame.
func startsWithMagic(unread []byte) bool {
	switch len(unread) {
	case 0:
		return true
	case 1:
		return unread[0] == magic0
	default:
		return unread[0] == magic0 && unread[1] == magic1
	}
}

// parse decodes a complete frame that has passed checkPrefix.
func (d *Decoder) parse(raw []byte) (Frame, *CloseError) {
	stated := binary.BigEndian.Uint32(raw[checksumOffset:])
	if computed := checksum(raw); stated != computed {
		return Frame{}, newCloseError(ReasonBadChecksum, "frame has checksum %08x, computed %08x", stated, computed)
	}
	frame := Frame{
		Kind:     FrameKind(raw[kindOffset]),
		Sequence: binary.BigEndian.Uint64(raw[sequenceOffset:]),
		Body:     raw[FrameHeaderBytes:],
	}
	if !frame.Kind.known() {
		return Frame{}, newCloseError(ReasonBadKind, "unknown frame %s", frame.Kind)
	}
	if frame.Sequence != d.lastSequence+1 {
		return Frame{}, newCloseError(ReasonBadSequence, "frame %d follows frame %d", frame.Sequence, d.lastSequence)
	}
	return frame, nil
}

// fail ends decoding permanently and frees the buffer.
func (d *Decoder) fail(closeErr *CloseError) (Frame, bool, *CloseError) {
	d.closeErr = closeErr
	d.buffer = nil
	d.consumed = 0
	return Frame{}, false, closeErr
}

// Buffered returns the number of bytes passed to Feed that are not yet part of a returned frame.
func (d *Decoder) Buffered() int { return len(d.buffer) - d.consumed }
