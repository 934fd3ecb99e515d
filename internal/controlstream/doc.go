// Package controlstream implements the protocol of the streams between proxies and planners, and between planners and
// endpoint sources: the frame format and its parser, a state machine for each end of a stream, and a queue that limits the
// rate at which a planner sends. The package does no I/O, starts no goroutine and reads no clock: the caller owns the
// connection and passes in bytes and times. All times are in milliseconds of a monotonic clock with an arbitrary origin.
//
// # Frames
//
// A frame consists of a header of 20 bytes, in big-endian byte order, and a protobuf body:
//
//	offset  bytes
//	0       2      magic "LP"
//	2       1      version, 1
//	3       1      FrameKind
//	4       4      length of the body in bytes
//	8       8      sequence number: 1, 2, 3 and so on, counted separately in each direction
//	16      4      CRC-32C (Castagnoli) of the 16 header bytes before it and of the body
//
// AppendFrame encodes a frame. A Decoder splits a stream of bytes into frames; after the first invalid byte it returns only
// errors, as there is no way to find the start of the next frame. The layout, the kinds with their numbers and the texts of
// CloseReason are part of the protocol and must not change, because proxies and planners of different releases talk to each
// other.
//
// # Sessions
//
// A session is one end of a stream. PlannerSession and ProxySession are the ends of a stream between a planner and a proxy,
// EndpointSession is the receiving end of a stream from an endpoint source. The caller passes the bytes that it has read to
// Feed and then calls Next until it returns false:
//
//	session.Feed(nowMs, bytes)
//	for session.Next(host) {
//	}
//	if cause := session.CloseCause(); cause != nil { ... }
//
// Next decodes and validates one frame and passes it to the matching method of the host. A stream between a planner and a
// proxy goes through these states:
//
//   - Until the handshake, the planner's end waits for a Join and the proxy's end for a Welcome, for at most
//     Limits.HandshakeTimeoutMs. Any other frame ends the stream, and so does a second Join or Welcome later on.
//   - Once the stream is established, the frames that the peer may send can come in any order. The proxy sends LoadReport,
//     Ack and Lease; the planner sends Orders, LeaseRequest, LeaseRelease and ControllerStatus. Both send Heartbeat when
//     they have nothing else to send, because the stream ends after Limits.HeartbeatTimeoutMs without a frame.
//   - The stream ends on a Close, a frame that the peer may not send, a body that does not decode or holds a value out of
//     range, and a time-out. CloseCause then returns a CloseError with the reason, and Next delivers nothing more.
//
// An endpoint source sends only Endpoints and Heartbeat. Its stream has no handshake.
//
// # Send queue
//
// A SendQueue releases a planner's messages one after the other, at SendQueueLimits.EntriesPerSecond. It rejects a message
// that would exceed the limit of its backlog, or the limit of messages to one proxy within a time window, with
// ReasonLimitExceeded. The caller must then end that proxy's stream.
package controlstream
