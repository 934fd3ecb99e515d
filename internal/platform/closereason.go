package platform

import "fmt"

// CloseReason is why a planner closed a connection. Log and counts name it by its String.
type CloseReason int

// Reasons for closing a connection.
const (
	ClosePeerFinished        CloseReason = iota // the peer sends no more
	CloseUnreadable                             // bytes that are no message
	CloseMessageTooLong                         // a message longer than allowed
	ClosePartialMemory                          // the longest incomplete message, when all of them exceed their memory
	CloseInvalidFirstMessage                    // a first message that does not join
	CloseJoinTimeout                            // not joined in time
	CloseReplacedStream                         // the proxy has opened a newer stream
	CloseReplacedCollector                      // newer collectors of the zone exceed their number
	CloseShed                                   // closed for a new connection, as there were too many
	CloseUnreadByPeer                           // the peer leaves unread more than may wait for it
	CloseShutdown                               // the planner shuts down
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

// String is the reason in lower case, with underscores.
func (r CloseReason) String() string {
	if r < 0 || r >= numCloseReasons {
		return fmt.Sprintf("reason_%d", int(r))
	}
	return closeReasonNames[r]
}
