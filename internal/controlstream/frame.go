package controlstream

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// Layout of a frame's header, as the package's documentation describes it: offsets in bytes.
const (
	versionOffset  = 2
	kindOffset     = 3
	lengthOffset   = 4
	sequenceOffset = 8
	checksumOffset = 16
)

// FrameHeaderBytes is the length of a frame's header; the body follows it.
const FrameHeaderBytes = 20

// First bytes of each frame.
const (
	magic0  = 'L'
	magic1  = 'P'
	version = 1
)

// FrameKind says what a frame's body holds. The numbers are part of the protocol.
type FrameKind uint8

// Kinds of frames, each with the end that sends it and the message that is its body.
const (
	FrameJoin             FrameKind = 1 + iota // proxy, order.Join: opens the stream
	FrameWelcome                               // planner, order.Welcome: answers FrameJoin
	FrameOrders                                // planner, order.Orders: changes of weight tables, ejections, admission rates
	FrameAck                                   // proxy, order.Applied: answers FrameWelcome and each FrameOrders
	FrameLoadReport                            // proxy, order.Sums: load of its servers and traffic classes
	FrameHeartbeat                             // both, no body: sent while there is nothing else to say
	FrameClose                                 // both, order.Bye: ends the stream with a reason
	FrameEndpoints                             // endpoint source, order.Listing: its list, or changes of it
	FrameLeaseRequest                          // planner, order.Claim: asks for the lease of the proxy, or renews it
	FrameLeaseRelease                          // planner, order.Release: gives the lease back
	FrameLease                                 // proxy, order.Lease: who holds its lease
	FrameControllerStatus                      // planner, order.Standing: whether it takes leases
	frameKindEnd                               // one beyond the last kind
)

// frameKindNames are for logs and error texts. They are indexed by FrameKind.
var frameKindNames = [frameKindEnd]string{
	0:                     "none",
	FrameJoin:             "join",
	FrameWelcome:          "welcome",
	FrameOrders:           "orders",
	FrameAck:              "acknowledgement",
	FrameLoadReport:       "load report",
	FrameHeartbeat:        "heartbeat",
	FrameClose:            "close",
	FrameEndpoints:        "endpoint list",
	FrameLeaseRequest:     "lease request",
	FrameLeaseRelease:     "lease release",
	FrameLease:            "lease",
	FrameControllerStatus: "controller status",
}

// String names the kind for logs and error texts.
func (k FrameKind) String() string {
	if int(k) < len(frameKindNames) {
		return frameKindNames[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// known says whether the protocol has this kind.
func (k FrameKind) known() bool { return k > 0 && k < frameKindEnd }

// Frame is one frame as a Decoder gives it. Body belongs to the Decoder and is valid until its next Feed.
type Frame struct {
	Kind     FrameKind
	Sequence uint64 // from 1 in each direction of a stream, without gaps
	Body     []byte // an encoded protobuf message; empty for FrameHeartbeat
}

// castagnoli is the polynomial of the checksum.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame to dst and returns the extended slice. The body may be nil, for none. It fails only when the
// body does not encode, and then returns dst with its length unchanged.
func AppendFrame(dst []byte, kind FrameKind, sequence uint64, body proto.Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, FrameHeaderBytes)...)
	if body != nil {
		encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(dst, body)
		if err != nil {
			return dst[:start], fmt.Errorf("encoding a frame of kind %s: %w", kind, err)
		}
		dst = encoded
	}
	frame := dst[start:]
	frame[0] = magic0
	frame[1] = magic1
	frame[versionOffset] = version
	frame[kindOffset] = byte(kind)
	binary.BigEndian.PutUint32(frame[lengthOffset:], uint32(len(frame)-FrameHeaderBytes))
	binary.BigEndian.PutUint64(frame[sequenceOffset:], sequence)
	binary.BigEndian.PutUint32(frame[checksumOffset:], checksum(frame))
	return dst, nil
}

// checksum computes the CRC-32C of a whole frame, without the four bytes that hold it.
func checksum(frame []byte) uint32 {
	header := crc32.Checksum(frame[:checksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, frame[FrameHeaderBytes:])
}
