// Package controlstream is the stream between a proxy and a planner, and between a planner and an endpoint source: the
// frames and their parser, the state machines of the ends, and the queue that paces what a planner sends. It does no I/O,
// starts no goroutine and reads no clock: its users own the connection and pass in bytes and times. All times are in
// milliseconds of a clock that never jumps, with an origin of the user's choice.
//
// # Frames
//
// A frame is a header of 20 bytes, in big-endian byte order, and a protobuf body:
//
//	offset  bytes
//	0       2      magic "LP"
//	2       1      version, 1
//	3       1      FrameKind
//	4       4      length of the body in bytes
//	8       8      sequence number, from 1 in each direction, without gaps
//	16      4      CRC-32C (Castagnoli) of the 16 bytes before and of the body
//
// AppendFrame writes one. A Decoder cuts a stream of bytes into frames; the first byte that cannot belong to a frame of
// this version ends it for good. Kinds and their numbers, the layout and the texts of CloseReason are part of the protocol:
// proxies and planners of different releases run side by side.
//
// # Sessions
//
// A session is one end of a stream. PlannerSession and ProxySession are the ends of a stream between a planner and a proxy,
// EndpointSession is the reading end of an endpoint source's stream. A user feeds what it has read, and pulls:
//
//	session.Feed(nowMs, bytes)
//	for session.Next(host) {
//	}
//	if cause := session.CloseCause(); cause != nil { ... }
//
// Next takes one frame, checks it and delivers it to the host as one call. The stream starts unestablished:
//
//   - The planner's end waits for a Join, the proxy's for a Welcome, for Limits.HandshakeTimeoutMs. Any other frame ends
//     the stream, and so does a second Join or Welcome later on.
//   - Once established, each frame that the peer's role may send is taken in any order. The proxy sends LoadReport, Ack and
//     Lease; the planner sends Orders, LeaseRequest, LeaseRelease and ControllerStatus. Both send Heartbeat when they have
//     nothing else to say: without a frame for Limits.HeartbeatTimeoutMs the stream ends.
//   - Close, a frame that may not come, a body that does not decode or holds values out of range, and a time-out each end
//     the stream with one CloseError. From then on Next does nothing and CloseCause keeps its value.
//
// An endpoint source sends Endpoints and Heartbeat only, and there is no handshake.
//
// # Send queue
//
// A SendQueue lets a planner's messages leave one after the other at SendQueueLimits.EntriesPerSecond. What would exceed
// its backlog, or the number of messages to one proxy within a window of time, is rejected with ReasonLimitExceeded, and the
// caller ends that proxy's stream.
package controlstream
