package controlstream

import "fmt"

// CloseReason is why a stream ended. There are few, so that they can be counted: logs, metrics and the planner's /status
// carry them, and a Close frame tells the peer. Their texts are therefore part of the protocol and do not change.
type CloseReason string

// Reasons that a Decoder finds.
const (
	ReasonBadMagic    CloseReason = "magic"    // the bytes are no frame: the peer speaks something else
	ReasonBadVersion  CloseReason = "version"  // a frame of another version
	ReasonBadSize     CloseReason = "size"     // a body above Limits.MaxFrameBytes
	ReasonBadChecksum CloseReason = "checksum" // damaged on the way
	ReasonBadSequence CloseReason = "sequence" // a frame was lost, repeated or reordered
	ReasonBadKind     CloseReason = "kind"     // a kind that this version does not know
)

// Reasons that a session finds.
const (
	ReasonBadBody          CloseReason = "body"    // does not decode, or holds values out of range
	ReasonUnexpectedFrame  CloseReason = "state"   // a kind that the peer may not send, or not now
	ReasonHandshakeTimeout CloseReason = "no join" // no handshake within Limits.HandshakeTimeoutMs
	ReasonHeartbeatTimeout CloseReason = "silent"  // no frame for Limits.HeartbeatTimeoutMs
	ReasonPeerClosed       CloseReason = "left"    // the peer sent FrameClose
)

// Reasons for which a user of this package ends a stream.
const (
	ReasonAckTimeout     CloseReason = "answer"   // orders were not acknowledged in time
	ReasonSlowReader     CloseReason = "reader"   // the peer does not read what it is sent
	ReasonNameInUse      CloseReason = "taken"    // another process with the proxy's name is connected
	ReasonSuperseded     CloseReason = "replaced" // the same proxy process has a newer stream
	ReasonUnknownPeer    CloseReason = "strange"  // a zone, address or number of traffic classes unknown to the planner
	ReasonLimitExceeded  CloseReason = "full"     // more streams, entries or messages than the settings allow
	ReasonConnectionLost CloseReason = "lost"     // the connection broke
	ReasonShutdown       CloseReason = "stopping" // this side shuts down
	ReasonInternalError  CloseReason = "fault"    // this side failed
)

// CloseError is why a stream ended, as an error. Tell it apart by errors.As and its Reason.
type CloseError struct {
	Reason CloseReason
	Detail string // for logs; may be empty, and may quote what the peer sent
}

// Error gives the reason and its detail.
func (e *CloseError) Error() string {
	if e.Detail == "" {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Detail
}

// newCloseError makes a CloseError whose detail is formatted.
func newCloseError(reason CloseReason, format string, args ...any) *CloseError {
	return &CloseError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
