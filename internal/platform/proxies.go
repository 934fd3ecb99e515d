package platform

import "lichenpick/internal/weighttable"

// proxy is one that has joined, and what it was sent. It is the core's, and under its lock.
type proxy struct {
	id             int
	zone           int
	expectedRate   float64 // requests per second
	connection     *Connection
	tables         []*weighttable.Table[*proxy] // by traffic class; nil where none was assigned on this stream
	pending        *pendingUpdate               // decided in this evaluation, and not sent; may be nil
	updateTimesMs  []float64                    // times of the last updates on this stream: the limit of messages counts from joining
	unacknowledged []acknowledgementRequest     // oldest first
	inactive       bool                         // silent for so long that it was removed from the policy
}

// proxyTable holds the joined proxies. It is part of the core, and under its lock.
type proxyTable struct {
	byID   []*proxy // nil where not joined
	joined []*proxy // in the order of joining
}

// proxySet is a set of proxies, by id.
type proxySet []uint64

const proxiesPerWord = 64

func newProxySet(proxies int) proxySet {
	return make(proxySet, (proxies+proxiesPerWord-1)/proxiesPerWord)
}

func (s proxySet) contains(id int) bool { return s[id/proxiesPerWord]>>(id%proxiesPerWord)&1 == 1 }

func (s proxySet) set(id int, member bool) {
	bit := uint64(1) << (id % proxiesPerWord)
	if member {
		s[id/proxiesPerWord] |= bit
	} else {
		s[id/proxiesPerWord] &^= bit
	}
}

// addProxy takes in a proxy that has joined on a connection. None with its id is joined.
func (c *Core) addProxy(connection *Connection, join JoinMessage, zone int) {
	p := &proxy{
		id:           join.ProxyID,
		zone:         zone,
		expectedRate: join.RequestRate,
		connection:   connection,
		tables:       make([]*weighttable.Table[*proxy], len(c.settings.Classes)),
	}
	connection.role = roleProxy
	connection.proxy = p
	c.proxies.byID[p.id] = p
	c.proxies.joined = append(c.proxies.joined, p)
	c.Counts.Joins++
	c.endpoints.resetNotified(p.id, !join.New)
	c.policy.AddProxy(p.id, p.zone, p.expectedRate)
	if !join.New {
		c.policy.ExpectInheritedEjections(p.id)
	}
}

// removeProxy ends a proxy's part in all that is kept.
func (c *Core) removeProxy(p *proxy) {
	c.deactivate(p)
	c.proxies.byID[p.id] = nil
	c.proxies.joined = without(c.proxies.joined, p)
}

// deactivate takes a proxy off the policy and its tables. Its stream may stay open.
func (c *Core) deactivate(p *proxy) {
	c.publisher.remove(p)
	p.unacknowledged = nil
	c.policy.RemoveProxy(p.id)
}

// reactivate takes a proxy back that was silent. What of the updates has reached it is not known.
func (c *Core) reactivate(p *proxy) {
	p.inactive = false
	c.endpoints.markPossiblyNotified(p.id)
	c.policy.AddProxy(p.id, p.zone, p.expectedRate, p.updateTimesMs...)
	c.policy.ExpectInheritedEjections(p.id)
}
