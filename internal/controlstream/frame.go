package controlstream

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// Offsets of the fields of a frame's header, in bytes. The package documentation describes the layout.
const (
	versionOffset  = 2
	kindOffset     = 3
	lengthOffset   = 4
	sequenceOffset = 8
	checksumOffset = 16
)

// FrameHeaderBytes is the length of a frame's header in bytes. The body follows the header.
const FrameHeaderBytes = 20

// The first three bytes of each frame: two bytes of magic and the protocol version.
const (
	magic0  = 'L'
	magic1  = 'P'
	version = 1
)

// FrameKind identifies the message in a frame's body. The numbers are part of the protocol.
type FrameKind uint8

// Kinds of frames. Each comment states who sends the frame, the type of its body and its purpose.
const (
	FrameJoin             FrameKind = 1 + iota // the proxy sends an order.Join to open the stream
	FrameWelcome                               // the planner sends an order.Welcome to accept a FrameJoin
	FrameOrders                                // the planner sends order.Orders to set weight tables, ejections and admission rates
	FrameAck                                   // the proxy sends an order.Applied to acknowledge a FrameWelcome or FrameOrders
	FrameLoadReport                            // the proxy sends order.Sums to report the load per server and traffic class
	FrameHeartbeat                             // either end sends an empty body to keep an otherwise idle stream alive
	FrameClose                                 // either end sends an order.Bye to end the stream and state the reason
	FrameEndpoints                             // the endpoint source sends an order.Listing: the full endpoint list or changes
	FrameLeaseRequest                          // the planner sends an order.Claim to request or renew the proxy's lease
	FrameLeaseRelease                          // the planner sends an order.Release to end its lease of the proxy
	FrameLease                                 // the proxy sends an order.Lease to report the state of its lease
	FrameControllerStatus                      // the planner sends an order.Standing to state whether it accepts leases
	frameKindEnd                               // the largest kind plus one; not a kind itself
)

// frameKindNames are the names of the kinds in logs and error texts, indexed by FrameKind.
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

// String returns the name of the kind for logs and error texts.
func (k FrameKind) String() string {
	if int(k) < len(frameKindNames) {
		return frameKindNames[k]
	}
	return fmt.Sprint("kind ", uint8(k))
}

// known reports whether this version of the protocol defines the kind.
func (k FrameKind) known() bool { return k > 0 && k < frameKindEnd }

// Frame is a frame returned by a Decoder. Body points into the Decoder's buffer and is valid until the next call of Feed.
type Frame struct {
	Kind     FrameKind
	Sequence uint64 // sequence number: 1, 2, 3 and so on, counted separately in each direction of a stream
	Body     []byte // an encoded protobuf message; empty for FrameHeartbeat
}

// castagnoli is the table for computing the CRC-32C checksum.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendFrame appends a frame to dst and returns the extended slice. A nil body is encoded as an empty body. AppendFrame
// fails only if the body cannot be encoded, and then returns dst with its length unchanged.
func AppendFrame(dst []byte, kind FrameKind, sequence uint64, body proto.Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, FrameHeaderBytes)...)
	if body != nil {
		encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(dst, body)
		if err != nil {
			return dst[:start], fmt.Errorf("encoding the body of a %s frame: %w", kind, err)
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

// checksum computes the CRC-32C of a complete frame, leaving out the four bytes of the checksum field.
func checksum(frame []byte) uint32 {
	header := crc32.Checksum(frame[:checksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, frame[FrameHeaderBytes:])
}
