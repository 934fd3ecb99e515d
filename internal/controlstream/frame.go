// Package controlstream is the stream between a proxy and a planner: frames and their parser, what may follow what at
// both ends, and the channel that paces what a planner sends. It does no I/O, starts nothing and reads no clock.
package controlstream

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame is a header of 20 bytes, big endian, and a protobuf body:
//
//	0  2  magic "LP"
//	2  1  version
//	3  1  kind
//	4  4  length of the body
//	8  8  sequence, from 1 in each direction, without gaps
//	16 4  CRC-32C of the bytes before and of the body
const (
	headerBytes = 20
	version     = 1
)

// FrameKind of a frame.
type FrameKind uint8

const (
	FrameJoin             FrameKind = 1 + iota // proxy: opens the stream
	FrameWelcome                               // planner: answers it
	FrameOrders                                // planner
	FrameAck                                   // proxy: answers FrameOrders
	FrameLoadReport                            // proxy
	FrameHeartbeat                             // both: empty, while there is nothing else to say
	FrameClose                                 // both: ends the stream with a reason
	FrameEndpoints                             // a list source
	FrameLeaseRequest                          // planner: asks to command the proxy, where controllers share
	FrameLeaseRelease                          // planner: gives that back
	FrameLease                                 // proxy: who commands it
	FrameControllerStatus                      // planner: whether it is open to claims
	kinds
)

func (k FrameKind) String() string {
	names := [...]string{"none", "join", "welcome", "orders", "applied", "sums", "beat", "bye", "listing", "claim", "release", "lease", "standing"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// CloseReason says in one word why a stream ended; there are few, so that they can be counted.
type CloseReason string

const (
	ReasonBadMagic         CloseReason = "magic"
	ReasonBadVersion       CloseReason = "version"
	ReasonBadSize          CloseReason = "size"
	ReasonBadChecksum      CloseReason = "checksum"
	ReasonBadSequence      CloseReason = "sequence"
	ReasonBadKind          CloseReason = "kind"
	ReasonBadBody          CloseReason = "body"
	ReasonUnexpectedFrame  CloseReason = "state"    // a frame that may not come now
	ReasonJoinTimeout      CloseReason = "no join"  // nothing within the time for it
	ReasonHeartbeatTimeout CloseReason = "silent"   // nothing for too long
	ReasonAckTimeout       CloseReason = "answer"   // orders were not answered in time
	ReasonSlowReader       CloseReason = "reader"   // does not read what is sent
	ReasonNameInUse        CloseReason = "taken"    // the proxy's name is in use
	ReasonSuperseded       CloseReason = "replaced" // the same proxy has a newer stream
	ReasonUnknownPeer      CloseReason = "strange"  // a zone, address or count of groups that the planner does not know
	ReasonLimitExceeded    CloseReason = "full"     // more streams, lines or messages than the settings allow
	ReasonConnectionLost   CloseReason = "lost"     // the connection broke
	ReasonPeerClosed       CloseReason = "left"     // the peer said so
	ReasonShutdown         CloseReason = "stopping" // this side ends
	ReasonInternalError    CloseReason = "fault"    // this side failed
)

// CloseError is why a stream ended, as an error.
type CloseError struct {
	Reason CloseReason
	Detail string
}

func (e *CloseError) Error() string {
	if e.Detail == "" {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Detail
}

func newCloseError(r CloseReason, format string, args ...any) *CloseError {
	return &CloseError{r, fmt.Sprintf(format, args...)}
}

// Frame is one frame as read; its body is valid until the next Feed.
type Frame struct {
	Kind     FrameKind
	Sequence uint64
	Body     []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame with a body, nil for none.
func AppendFrame(dst []byte, kind FrameKind, sequence uint64, body proto.Message) ([]byte, error) {
	at := len(dst)
	dst = append(dst, make([]byte, headerBytes)...)
	if body != nil {
		var err error
		if dst, err = (proto.MarshalOptions{Deterministic: true}).MarshalAppend(dst, body); err != nil {
			return dst[:at], err
		}
	}
	h := dst[at:]
	h[0], h[1], h[2], h[3] = 'L', 'P', version, byte(kind)
	binary.BigEndian.PutUint32(h[4:], uint32(len(h)-headerBytes))
	binary.BigEndian.PutUint64(h[8:], sequence)
	binary.BigEndian.PutUint32(h[16:], checksum(h))
	return dst, nil
}

func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:16], castagnoli), castagnoli, frame[headerBytes:])
}

// Decoder cuts a stream of bytes into frames. What it holds is bounded by the limit and one feed: nothing is
// set aside by what a header claims.
type Decoder struct {
	limit int // bytes of a body
	buf   []byte
	read  int // of buf
	last  uint64
	end   *CloseError
}

// NewDecoder makes one that refuses bodies over the limit, in bytes.
func NewDecoder(limit int) *Decoder { return &Decoder{limit: limit} }

// Feed adds what came in. Pull all frames before feeding again.
func (d *Decoder) Feed(p []byte) {
	if d.end != nil {
		return
	}
	d.buf = append(d.buf[:copy(d.buf, d.buf[d.read:])], p...)
	d.read = 0
	if cap(d.buf) > 4*headerBytes+4*len(d.buf) && cap(d.buf) > 1<<16 {
		d.buf = append(make([]byte, 0, len(d.buf)+1<<12), d.buf...) // one large frame does not hold its room for good
	}
}

// Next gives the next whole frame, if there is one. After an error it gives only that.
func (d *Decoder) Next() (f Frame, ok bool, err error) {
	if d.end != nil {
		return f, false, d.end
	}
	b := d.buf[d.read:]
	if len(b) >= 2 && (b[0] != 'L' || b[1] != 'P') || len(b) == 1 && b[0] != 'L' {
		return d.fail(newCloseError(ReasonBadMagic, "bytes % x", b[:min(len(b), 2)]))
	}
	if len(b) >= 3 && b[2] != version {
		return d.fail(newCloseError(ReasonBadVersion, "%d; this side speaks %d", b[2], version))
	}
	if len(b) >= 8 {
		if n := binary.BigEndian.Uint32(b[4:]); uint64(n) > uint64(d.limit) {
			return d.fail(newCloseError(ReasonBadSize, "%d bytes; at most %d", n, d.limit))
		}
	}
	if len(b) < headerBytes {
		return f, false, nil
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if len(b) < headerBytes+n {
		return f, false, nil
	}
	b = b[:headerBytes+n]
	if sum := binary.BigEndian.Uint32(b[16:]); sum != checksum(b) {
		return d.fail(newCloseError(ReasonBadChecksum, "%08x, counted %08x", sum, checksum(b)))
	}
	f = Frame{Kind: FrameKind(b[3]), Sequence: binary.BigEndian.Uint64(b[8:]), Body: b[headerBytes:]}
	if f.Kind == 0 || f.Kind >= kinds {
		return d.fail(newCloseError(ReasonBadKind, "%s", f.Kind))
	}
	if f.Sequence != d.last+1 {
		return d.fail(newCloseError(ReasonBadSequence, "%d after %d", f.Sequence, d.last))
	}
	d.last, d.read = f.Sequence, d.read+len(b)
	return f, true, nil
}

func (d *Decoder) fail(e *CloseError) (Frame, bool, error) {
	d.end, d.buf, d.read = e, nil, 0
	return Frame{}, false, e
}

// Buffered is how many bytes wait for the rest of their frame.
func (d *Decoder) Buffered() int { return len(d.buf) - d.read }
