package controlstream

import "fmt"

// CloseReason is the reason why a stream ended. The set of reasons is small and fixed, so that closed streams can be counted
// by reason. The texts are part of the protocol and must not change: they are sent to the peer in Close frames and appear in
// logs, metrics and the planner's /status.
type CloseReason string

// Reasons that a Decoder reports.
const (
	ReasonBadMagic    CloseReason = "magic"    // the bytes do not start a frame: the peer speaks another protocol
	ReasonBadVersion  CloseReason = "version"  // the frame has another protocol version than this process
	ReasonBadSize     CloseReason = "size"     // the body is larger than Limits.MaxFrameBytes
	ReasonBadChecksum CloseReason = "checksum" // the frame was corrupted
	ReasonBadSequence CloseReason = "sequence" // the sequence number is not the next one: a frame was lost, repeated or reordered
	ReasonBadKind     CloseReason = "kind"     // this protocol version does not define the frame's kind
)

// Reasons that a session reports.
const (
	ReasonBadBody          CloseReason = "body"    // the body does not decode or holds a value out of range
	ReasonUnexpectedFrame  CloseReason = "state"   // the peer may not send this kind of frame, or not in this state of the stream
	ReasonHandshakeTimeout CloseReason = "no join" // no Join or Welcome was received within Limits.HandshakeTimeoutMs
	ReasonHeartbeatTimeout CloseReason = "silent"  // no frame was received for Limits.HeartbeatTimeoutMs
	ReasonPeerClosed       CloseReason = "left"    // the peer sent FrameClose
)

// Reasons for which a caller of this package ends a stream.
const (
	ReasonAckTimeout     CloseReason = "answer"   // the proxy did not acknowledge orders in time
	ReasonSlowReader     CloseReason = "reader"   // the peer reads too slowly or not at all
	ReasonNameInUse      CloseReason = "taken"    // another process with the proxy's name is connected
	ReasonSuperseded     CloseReason = "replaced" // the same proxy process opened a newer stream
	ReasonUnknownPeer    CloseReason = "strange"  // the proxy's zone, address or traffic classes do not fit the planner's settings
	ReasonLimitExceeded  CloseReason = "full"     // a message to the proxy would exceed SendQueueLimits.MaxBacklog or MaxMessages
	ReasonConnectionLost CloseReason = "lost"     // the connection broke
	ReasonShutdown       CloseReason = "stopping" // this process shuts down
	ReasonInternalError  CloseReason = "fault"    // an internal error occurred in this process
)

// CloseError is the error with which a stream ended. Callers find it with errors.As and distinguish causes by Reason.
type CloseError struct {
	Reason CloseReason
	Detail string // text for logs; may be empty, and may quote what the peer sent
}

// Error returns the reason and the detail.
func (e *CloseError) Error() string {
	if e.Detail == "" {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Detail
}

// newCloseError returns a CloseError with a formatted detail.
func newCloseError(reason CloseReason, format string, args ...any) *CloseError {
	return &CloseError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
