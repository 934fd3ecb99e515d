package platform

import (
	"errors"
	"slices"
)

// joinTimeoutMs is how long a connection may take to join, in ms. The protocol grants it at least 1 s and at most 3 s.
const joinTimeoutMs = 1500.0

// errPartialMemory is logged with ClosePartialMemory.
var errPartialMemory = errors.New("incomplete messages exceed their memory limit, and this is the longest")

// connectionPhase is the state of a connection. It only ever advances.
type connectionPhase int

const (
	phaseOpen    connectionPhase = iota
	phaseClosing                 // the connection is closed once its pending replies are sent; received data is discarded
	phaseClosed
)

// connectionRole is what a connection has joined as. It is set once.
type connectionRole int

const (
	roleNone connectionRole = iota // the peer has not joined, and may only send short messages
	roleProxy
	roleCollector
)

// Connection is the core's state of a connection. Its zero value is passed to HandleConnect; from then on it belongs to the
// core and is guarded by the core's lock.
type Connection struct {
	phase         connectionPhase
	closeReason   CloseReason // set from phaseClosing on
	closeCause    error       // details of closeReason; may be nil
	peerFinished  bool        // the peer has closed its sending side; the core sends it no refusal
	openedMs      float64
	lastMessageMs float64 // Unix ms of the last message of a known kind, or of the opening of the connection

	role          connectionRole
	proxy         *proxy // proxy whose stream this is; otherwise nil
	collectorZone int    // index of the zone of a collector

	reader       messageReader
	partialBytes int  // size of the reader's incomplete message, as included in sessionTable.partialBytes
	pendingPongs int  // pongs to be sent
	replyQueued  bool // the connection is in sessionTable.replies
}

// Unjoined reports whether the connection has not yet joined, as a proxy's stream or as a collector.
func (c *Connection) Unjoined() bool { return c.role == roleNone }

// messageLimit returns the limit of the next message, in bytes.
func (c *Connection) messageLimit() int {
	if c.Unjoined() {
		return maxFirstMessageBytes
	}
	return maxMessageBytes
}

// sessionTable holds the connections that are not closed. It belongs to the core and is guarded by the core's lock.
type sessionTable struct {
	open         map[*Connection]bool
	unjoined     []*Connection   // connections that have not joined, oldest first
	collectors   [][]*Connection // connections of collectors, by zone
	replies      []*Connection   // connections that wait for pongs, a refusal or their close; longest wait first
	partialBytes int             // total size of all incomplete messages
}

func newSessionTable(zones int) sessionTable {
	return sessionTable{open: map[*Connection]bool{}, collectors: make([][]*Connection, zones)}
}

func (t *sessionTable) add(connection *Connection) {
	t.open[connection] = true
	t.unjoined = append(t.unjoined, connection)
}

func (t *sessionTable) remove(connection *Connection) {
	delete(t.open, connection)
	t.dropPartial(connection)
	t.unjoined = without(t.unjoined, connection)
	t.replies = without(t.replies, connection)
	if connection.role == roleCollector {
		zone := connection.collectorZone
		t.collectors[zone] = without(t.collectors[zone], connection)
	}
}

// queueReply makes the next evaluation send the pending replies of a connection, and close the connection if startClosing was
// called for it.
func (t *sessionTable) queueReply(connection *Connection) {
	if !connection.replyQueued {
		connection.replyQueued = true
		t.replies = append(t.replies, connection)
	}
}

// countPartial updates the total size of incomplete messages after the incomplete message of a connection has changed.
func (t *sessionTable) countPartial(connection *Connection) {
	held := len(connection.reader.partial)
	t.partialBytes += held - connection.partialBytes
	connection.partialBytes = held
}

// dropPartial discards the incomplete message of a connection.
func (t *sessionTable) dropPartial(connection *Connection) {
	connection.reader.partial = nil
	t.countPartial(connection)
}

// without removes all occurrences of an element, in place.
func without[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == element })
}

// HandleConnect registers a new connection.
func (c *Core) HandleConnect(connection *Connection) {
	connection.openedMs = c.nowMs
	connection.lastMessageMs = c.nowMs
	c.sessions.add(connection)
}

// OpenConnections returns the number of connections that are not closed.
func (c *Core) OpenConnections() int { return len(c.sessions.open) }

// HandleDisconnect handles the end of a connection, by either side. It does nothing if the core has closed the connection
// already.
func (c *Core) HandleDisconnect(connection *Connection) {
	if connection.phase == phaseClosed {
		return
	}
	connection.phase = phaseClosed
	c.sessions.remove(connection)
	c.handleLostStream(connection)
}

// Abort records that the planner closes a connection at once. The host calls it for connections that it closes on its own.
func (c *Core) Abort(connection *Connection, reason CloseReason) {
	if connection.phase == phaseClosed {
		return
	}
	c.Counts.Closed[reason]++
	c.HandleDisconnect(connection)
}

// handleLostStream removes the proxy of a stream that has ended, unless a newer stream of the proxy has replaced it.
func (c *Core) handleLostStream(connection *Connection) {
	p := connection.proxy
	if p == nil || c.proxies.byID[p.id] != p {
		return
	}
	c.Counts.LostStreams++
	c.removeProxy(p)
}

// HandleHalfClose handles a peer that has closed its sending side. As the peer may still read, its pending pongs are sent
// before the connection is closed.
func (c *Core) HandleHalfClose(connection *Connection) {
	if connection.phase != phaseOpen {
		return
	}
	c.handleLostStream(connection)
	connection.peerFinished = true
	c.startClosing(connection, ClosePeerFinished, nil)
}

// HandleData handles bytes received on a connection. It does not keep the slice.
func (c *Core) HandleData(connection *Connection, data []byte) {
	if connection.phase != phaseOpen {
		return
	}
	err := connection.reader.feed(data, connection.messageLimit, func(line []byte) bool {
		c.handleMessage(connection, line)
		return connection.phase == phaseOpen
	})
	c.sessions.countPartial(connection)
	if c.sessions.partialBytes > c.MaxPartialBytes {
		c.shedPartial()
	}
	if err == nil || connection.phase != phaseOpen {
		return
	}
	reason := CloseUnreadable
	if errors.Is(err, ErrMessageTooLong) {
		reason = CloseMessageTooLong
	}
	c.Counts.Unreadable++
	c.startClosing(connection, reason, err)
}

// shedPartial closes the joined connection with the longest incomplete message. This bounds the memory use: a single
// connection may hold a message of maximum length, but not all connections at once. Connections that have not joined are not
// considered, as their messages are short.
func (c *Core) shedPartial() {
	var longest *Connection
	consider := func(connection *Connection) {
		if longest == nil || len(connection.reader.partial) > len(longest.reader.partial) {
			longest = connection
		}
	}
	for _, p := range c.proxies.joined {
		consider(p.connection)
	}
	for _, connection := range slices.Concat(c.sessions.collectors...) {
		consider(connection)
	}
	if longest == nil || longest.phase != phaseOpen {
		return
	}
	c.Counts.Unreadable++
	c.startClosing(longest, ClosePartialMemory, errPartialMemory)
}

// startClosing makes the next evaluation send the pending replies of a connection, and then close it. A connection that has
// not joined is sent a refusal as well.
func (c *Core) startClosing(connection *Connection, reason CloseReason, cause error) {
	if connection.Unjoined() && !connection.peerFinished {
		c.Counts.Refusals++
	}
	connection.phase = phaseClosing
	connection.closeReason = reason
	connection.closeCause = cause
	c.sessions.dropPartial(connection)
	c.sessions.queueReply(connection)
}

// sendReplies sends a connection its pending pongs, and closes the connection if startClosing was called for it.
func (c *Core) sendReplies(host Host, connection *Connection) {
	connection.replyQueued = false
	if connection.phase == phaseClosed {
		return
	}
	if connection.pendingPongs > 0 {
		c.buffer = appendPongs(c.buffer[:0], connection.pendingPongs)
		connection.pendingPongs = 0
		host.Send(connection, c.buffer)
	}
	if connection.phase == phaseClosing { // Send may have closed the connection already, as its peer does not read
		c.close(host, connection)
	}
}

// close closes a connection. A connection that has not joined is sent a refusal first, unless its peer has finished.
func (c *Core) close(host Host, connection *Connection) {
	if connection.Unjoined() && !connection.peerFinished {
		c.buffer = appendRefusal(c.buffer[:0])
		host.Send(connection, c.buffer)
	}
	if connection.phase == phaseClosed { // the host has ended the connection in Send
		return
	}
	c.Abort(connection, connection.closeReason)
	host.CloseConnection(connection, connection.closeReason, connection.closeCause)
}

// closeOverdue starts to close the oldest connection that has not joined if its joinTimeoutMs has passed, and reports
// whether it did. Pings do not extend the time.
func (c *Core) closeOverdue() bool {
	if len(c.sessions.unjoined) == 0 {
		return false
	}
	oldest := c.sessions.unjoined[0]
	if c.nowMs < oldest.openedMs+joinTimeoutMs {
		return false
	}
	c.startClosing(oldest, CloseJoinTimeout, nil)
	c.sessions.unjoined = c.sessions.unjoined[1:]
	return true
}

// ShedConnection closes the least valuable connection in favor of a new one: the oldest that has not joined, otherwise the
// stream of the inactive proxy that joined first. It reports whether there was such a connection.
func (c *Core) ShedConnection(host Host) bool {
	connection := c.leastValuable()
	if connection == nil {
		return false
	}
	if connection.phase == phaseOpen {
		c.startClosing(connection, CloseShed, nil)
	}
	c.sendReplies(host, connection)
	return true
}

func (c *Core) leastValuable() *Connection {
	if len(c.sessions.unjoined) > 0 {
		return c.sessions.unjoined[0]
	}
	for _, p := range c.proxies.joined {
		if p.inactive {
			return p.connection
		}
	}
	return nil
}

// Close closes all connections after sending their pending replies.
func (c *Core) Close(host Host) {
	for connection := range c.sessions.open {
		if connection.phase == phaseOpen {
			c.startClosing(connection, CloseShutdown, nil)
		}
		c.sendReplies(host, connection)
	}
	c.sessions.replies = nil
}
