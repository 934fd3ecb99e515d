package controlstream

import "encoding/binary"

// A Decoder's buffer is replaced by a smaller one once it is above largeBufferBytes and more than bufferSlack times what it
// holds, so that one large frame does not keep its memory for the life of the stream.
const (
	largeBufferBytes = 1 << 16
	bufferSlack      = 4
	spareBytes       = 1 << 12 // room in the smaller buffer for what comes next
)

// Decoder cuts a stream of bytes into frames and checks their headers. What it holds is bounded by the limit of a body plus
// one feed: nothing is allocated for what a header only claims. It is used by one goroutine at a time.
type Decoder struct {
	maxBodyBytes int
	buffer       []byte
	consumed     int    // bytes at the start of buffer that earlier frames took
	lastSequence uint64 // of the last frame; 0 before the first
	closeErr     *CloseError
}

// NewDecoder makes a Decoder that rejects bodies above a size in bytes.
func NewDecoder(maxBodyBytes int) *Decoder { return &Decoder{maxBodyBytes: maxBodyBytes} }

// Feed adds bytes that came in; it copies them. Pull all frames by Next before feeding again, as Feed overwrites their
// bodies. After an error it does nothing.
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

// Next returns the next complete frame; ok is false when there is none yet. The error is a *CloseError with one of the
// reasons of decoding; after one, each call returns it again.
func (d *Decoder) Next() (frame Frame, ok bool, err error) {
	frame, ok, closeErr := d.next()
	if closeErr != nil {
		return Frame{}, false, closeErr
	}
	return frame, ok, nil
}

// next is Next with its error as the type that it always has.
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

// checkPrefix checks as much of a header as came in. It guards against waiting for the rest of a frame from a peer that
// speaks another protocol, another version, or announces more than is allowed.
func (d *Decoder) checkPrefix(unread []byte) *CloseError {
	if !startsWithMagic(unread) {
		return newCloseError(ReasonBadMagic, "bytes % x", unread[:min(len(unread), 2)])
	}
	if len(unread) > versionOffset && unread[versionOffset] != version {
		return newCloseError(ReasonBadVersion, "%d; this side speaks %d", unread[versionOffset], version)
	}
	if len(unread) < sequenceOffset {
		return nil
	}
	length := binary.BigEndian.Uint32(unread[lengthOffset:])
	if uint64(length) > uint64(d.maxBodyBytes) {
		return newCloseError(ReasonBadSize, "%d bytes; at most %d", length, d.maxBodyBytes)
	}
	return nil
}

// startsWithMagic says whether what came in, be it a part of the magic, is the start of a frame.
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

// parse reads a complete frame whose prefix was checked.
func (d *Decoder) parse(raw []byte) (Frame, *CloseError) {
	stated := binary.BigEndian.Uint32(raw[checksumOffset:])
	if computed := checksum(raw); stated != computed {
		return Frame{}, newCloseError(ReasonBadChecksum, "%08x, computed %08x", stated, computed)
	}
	frame := Frame{
		Kind:     FrameKind(raw[kindOffset]),
		Sequence: binary.BigEndian.Uint64(raw[sequenceOffset:]),
		Body:     raw[FrameHeaderBytes:],
	}
	if !frame.Kind.known() {
		return Frame{}, newCloseError(ReasonBadKind, "%s", frame.Kind)
	}
	if frame.Sequence != d.lastSequence+1 {
		return Frame{}, newCloseError(ReasonBadSequence, "%d after %d", frame.Sequence, d.lastSequence)
	}
	return frame, nil
}

// fail ends the Decoder for good and frees its buffer.
func (d *Decoder) fail(closeErr *CloseError) (Frame, bool, *CloseError) {
	d.closeErr = closeErr
	d.buffer = nil
	d.consumed = 0
	return Frame{}, false, closeErr
}

// Buffered is the number of bytes that wait for the rest of their frame.
func (d *Decoder) Buffered() int { return len(d.buffer) - d.consumed }
