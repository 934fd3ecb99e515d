package platform

import (
	"errors"
	"slices"
)

// joinTimeoutMs is the time in ms in which a connection must have joined: the protocol grants 1 s, and 3 s at most.
const joinTimeoutMs = 1500.0

// errPartialMemory is logged with ClosePartialMemory.
var errPartialMemory = errors.New("the longest incomplete message, as all of them exceed their memory")

// connectionPhase is how far a connection's life has come. It only ever grows.
type connectionPhase int

const (
	phaseOpen    connectionPhase = iota
	phaseClosing                 // is sent what it is owed, then closed; what it sends is discarded
	phaseClosed
)

// connectionRole is as what a connection has joined. It is set once.
type connectionRole int

const (
	roleNone connectionRole = iota // unauthenticated: not trusted with more than a short first message
	roleProxy
	roleCollector
)

// Connection is one connection at the planner's address, as the core knows it. Its zero value is handed to HandleConnect;
// from then on its fields are the core's, and under the lock of the core.
type Connection struct {
	phase         connectionPhase
	closeReason   CloseReason // from phaseClosing on
	closeCause    error       // says more than closeReason; may be nil
	peerFinished  bool        // the peer sends no more, and is sent no refusal
	openedMs      float64
	lastMessageMs float64 // of the last message that could be read

	role          connectionRole
	proxy         *proxy // of a proxy's stream
	collectorZone int    // of a collector

	reader       messageReader
	partialBytes int  // of the reader's incomplete message, as counted in the sum of all
	pendingPongs int  // owed
	replyQueued  bool // is in the queue of those that are owed something
}

// Unjoined says whether the connection has joined neither as a proxy's stream nor as a collector.
func (c *Connection) Unjoined() bool { return c.role == roleNone }

// messageLimit is the limit of the next message, in bytes.
func (c *Connection) messageLimit() int {
	if c.Unjoined() {
		return maxFirstMessageBytes
	}
	return maxMessageBytes
}

// sessionTable holds the connections that are not closed. It is part of the core, and under its lock.
type sessionTable struct {
	open         map[*Connection]bool
	unjoined     []*Connection   // oldest first
	collectors   [][]*Connection // by zone
	replies      []*Connection   // owed pongs, a refusal or the close; first come, first served
	partialBytes int             // of all incomplete messages together
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

func (t *sessionTable) queueReply(connection *Connection) {
	if !connection.replyQueued {
		connection.replyQueued = true
		t.replies = append(t.replies, connection)
	}
}

// countPartial updates the sum of incomplete messages.
func (t *sessionTable) countPartial(connection *Connection) {
	held := len(connection.reader.partial)
	t.partialBytes += held - connection.partialBytes
	connection.partialBytes = held
}

func (t *sessionTable) dropPartial(connection *Connection) {
	connection.reader.partial = nil
	t.countPartial(connection)
}

// without removes all occurrences of an element, in place.
func without[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == element })
}

// HandleConnect takes in a new connection.
func (c *Core) HandleConnect(connection *Connection) {
	connection.openedMs = c.nowMs
	connection.lastMessageMs = c.nowMs
	c.sessions.add(connection)
}

// OpenConnections is the number of connections that are not closed.
func (c *Core) OpenConnections() int { return len(c.sessions.open) }

// HandleDisconnect takes in that a connection has ended, at whichever side. It does nothing if the core knows so already.
func (c *Core) HandleDisconnect(connection *Connection) {
	if connection.phase == phaseClosed {
		return
	}
	connection.phase = phaseClosed
	c.sessions.remove(connection)
	c.handleLostStream(connection)
}

// Abort takes in that the planner closes a connection at once. The host calls it for those that it closes by itself.
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

// HandleHalfClose takes in that a connection's peer sends no more, though it may still read: the connection is closed
// once the peer has been sent the pongs that it is owed.
func (c *Core) HandleHalfClose(connection *Connection) {
	if connection.phase != phaseOpen {
		return
	}
	c.handleLostStream(connection)
	connection.peerFinished = true
	c.startClosing(connection, ClosePeerFinished, nil)
}

// HandleData takes in bytes of a connection. They are the caller's again afterwards.
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

// shedPartial closes the joined connection with the longest incomplete message. It guards the memory: each connection may
// hold a message of the greatest length, but not all of them at once. First messages are short and not considered.
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

// startClosing has a connection sent what it is owed, and then closed. An unauthenticated one is refused.
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

// sendReplies sends a connection the pongs that it is owed, and closes it where that was decided.
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
	if connection.phase == phaseClosing { // still, as the host may end a connection in Send whose peer reads nothing
		c.close(host, connection)
	}
}

func (c *Core) close(host Host, connection *Connection) {
	if connection.Unjoined() && !connection.peerFinished {
		c.buffer = appendRefusal(c.buffer[:0])
		host.Send(connection, c.buffer)
	}
	if connection.phase == phaseClosed { // by the host, in Send
		return
	}
	c.Abort(connection, connection.closeReason)
	host.CloseConnection(connection, connection.closeReason, connection.closeCause)
}

// closeOverdue starts to close the oldest unauthenticated connection where that has not joined in time, and says whether
// there was one. Pings do not prolong the time.
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

// ShedConnection closes the least valuable connection, in favour of a new one: the oldest that is
// unauthenticated, else the stream of the silent proxy that joined first. It says whether there was one.
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

// Close closes all connections; each is sent what it is owed first.
func (c *Core) Close(host Host) {
	for connection := range c.sessions.open {
		if connection.phase == phaseOpen {
			c.startClosing(connection, CloseShutdown, nil)
		}
		c.sendReplies(host, connection)
	}
	c.sessions.replies = nil
}
