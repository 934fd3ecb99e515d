package platform

import "fmt"

// CloseReason is why a planner closed a connection. The log and the counts show it as the text that String returns.
type CloseReason int

// Reasons for closing a connection.
const (
	ClosePeerFinished        CloseReason = iota // the peer has closed its sending side
	CloseUnreadable                             // the peer sent bytes that are not a message
	CloseMessageTooLong                         // the peer sent a message longer than allowed
	ClosePartialMemory                          // incomplete messages exceeded a memory limit; the longest was on this connection
	CloseInvalidFirstMessage                    // the peer sent an invalid message before joining
	CloseJoinTimeout                            // the connection did not join in time
	CloseReplacedStream                         // the proxy opened a newer stream
	CloseReplacedCollector                      // the zone has too many collectors, and this one was silent the longest
	CloseShed                                   // closed in favor of a new connection, because the connection limit was reached
	CloseUnreadByPeer                           // too many bytes waited to be written, because the peer did not read
	CloseShutdown                               // the planner is shutting down
	numCloseReasons
)

var closeReasonNames = [numCloseReasons]string{
	ClosePeerFinished:        "peer_finished",
	CloseUnreadable:          "unreadable",
	CloseMessageTooLong:      "message_too_long",
	ClosePartialMemory:       "partial_memory",
	CloseInvalidFirstMessage: "invalid_first_message",
	CloseJoinTimeout:         "join_timeout",
	CloseReplacedStream:      "replaced_stream",
	CloseReplacedCollector:   "replaced_collector",
	CloseShed:                "shed",
	CloseUnreadByPeer:        "unread_by_peer",
	CloseShutdown:            "shutdown",
}

// String returns the reason in snake case.
func (r CloseReason) String() string {
	if r < 0 || r >= numCloseReasons {
		return fmt.Sprintf("reason_%d", int(r))
	}
	return closeReasonNames[r]
}
