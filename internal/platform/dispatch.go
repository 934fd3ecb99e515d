package platform

import (
	"cmp"
	"errors"
	"slices"
)

const (
	collectorsPerZone = 3  // limit of collector connections; a lost one may seem open beside the new one that replaces it
	maxPendingPongs   = 16 // limit of pongs that wait for one connection; at the limit, pings get no answer
)

// Errors of rejected messages. Errors of single fields are of type *MessageError instead.
var (
	errNotJoined     = errors.New("the connection has not joined")
	errAlreadyJoined = errors.New("the connection has joined already")
	errUpdate        = errors.New("received an update, which only planners send")
	errUnknownZone   = errors.New("unknown zone")
	errUnknownProxy  = errors.New("unknown proxy")
)

// handleMessage handles one message. If it is rejected, a connection that has not joined is closed; a joined one only loses
// the message. A message of an unknown kind closes any connection.
func (c *Core) handleMessage(connection *Connection, line []byte) {
	m, err := parseMessage(line)
	if errors.Is(err, ErrUnreadable) {
		c.Counts.Unreadable++
		c.startClosing(connection, CloseUnreadable, err)
		return
	}
	if err == nil {
		err = c.dispatch(connection, m)
	}
	if err != nil && connection.Unjoined() {
		c.startClosing(connection, CloseInvalidFirstMessage, err)
		return
	}
	if err != nil {
		c.Counts.RejectedMessages++
		if c.OnReject != nil {
			c.OnReject(err, line)
		}
	}
	connection.lastMessageMs = c.nowMs
	if p := connection.proxy; p != nil && p.inactive {
		c.reactivate(p)
	}
}

// dispatch passes a message to the handler of its kind. It ignores a valid message that is not meant for the role of the
// connection.
func (c *Core) dispatch(connection *Connection, m *message) error {
	switch m.kind {
	case kindPing:
		c.handlePing(connection)
		return nil
	case kindJoin:
		return c.handleJoin(connection, m)
	case kindCollector:
		return c.handleCollector(connection, m)
	}
	if connection.Unjoined() {
		return errNotJoined
	}
	switch {
	case m.kind == kindLoadReport && connection.role == roleCollector:
		return c.recordLoadReport(m)
	case m.kind == kindDemandReport:
		return c.recordDemand(connection, m)
	case m.kind == kindAcknowledgement && connection.role == roleProxy:
		return c.acknowledge(connection.proxy, m)
	case m.kind == kindUpdate:
		return errUpdate
	}
	return nil
}

func (c *Core) handlePing(connection *Connection) {
	if connection.pendingPongs < maxPendingPongs {
		connection.pendingPongs++
		c.sessions.queueReply(connection)
	}
}

func (c *Core) handleJoin(connection *Connection, m *message) error {
	if !connection.Unjoined() {
		return errAlreadyJoined
	}
	join, err := m.join()
	if err != nil {
		return err
	}
	zone, known := c.zones[join.Zone]
	if !known {
		return errUnknownZone
	}
	if join.ProxyID >= len(c.proxies.byID) {
		return errUnknownProxy
	}
	if old := c.proxies.byID[join.ProxyID]; old != nil { // the proxy's old stream is broken, even if this planner got no error
		c.removeProxy(old)
		c.startClosing(old.connection, CloseReplacedStream, nil)
	}
	c.sessions.unjoined = without(c.sessions.unjoined, connection)
	c.addProxy(connection, join, zone)
	return nil
}

func (c *Core) handleCollector(connection *Connection, m *message) error {
	if !connection.Unjoined() {
		return errAlreadyJoined
	}
	collector, err := m.collector()
	if err != nil {
		return err
	}
	zone, known := c.zones[collector.Zone]
	if !known {
		return errUnknownZone
	}
	c.sessions.unjoined = without(c.sessions.unjoined, connection)
	connection.role = roleCollector
	connection.collectorZone = zone
	others := c.sessions.collectors[zone]
	if len(others) == collectorsPerZone { // the collector that has been silent the longest has probably lost its connection
		oldest := slices.MinFunc(others, func(a, b *Connection) int {
			return cmp.Compare(a.lastMessageMs, b.lastMessageMs)
		})
		c.startClosing(oldest, CloseReplacedCollector, nil)
		others = without(others, oldest)
	}
	c.sessions.collectors[zone] = append(others, connection)
	return nil
}
