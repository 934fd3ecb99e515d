package platform

import "lichenpick/internal/weighttable"

// proxy is the state of a joined proxy, and of what the proxy was sent. It belongs to the core and is guarded by the core's
// lock.
type proxy struct {
	id             int
	zone           int
	expectedRate   float64 // requests per second that the proxy stated when it joined
	connection     *Connection
	tables         []*weighttable.Table[*proxy] // by traffic class; nil if no table was assigned on this stream
	pending        *pendingUpdate               // update that is decided but not yet sent; may be nil
	updateTimesMs  []float64                    // times of recent updates on this stream; the message limit is per stream
	unacknowledged []acknowledgementRequest     // unanswered requests for acknowledgements, oldest first
	inactive       bool                         // the proxy is removed from the policy because it was silent
}

// proxyTable holds the joined proxies. It belongs to the core and is guarded by the core's lock.
type proxyTable struct {
	byID   []*proxy // by proxy id; nil if the proxy is not joined
	joined []*proxy // joined proxies, in the order of joining
}

// proxySet is a bit set of proxy ids.
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

// add adds the proxies of another set.
func (s proxySet) add(other proxySet) {
	for word, bits := range other {
		s[word] |= bits
	}
}

// addProxy registers a proxy that joins on a connection. No proxy with its id may be joined.
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

// removeProxy removes a proxy from the policy, from its tables and from the joined proxies.
func (c *Core) removeProxy(p *proxy) {
	c.deactivate(p)
	c.proxies.byID[p.id] = nil
	c.proxies.joined = without(c.proxies.joined, p)
}

// deactivate removes a proxy from the policy and its tables, and discards its pending update. Its stream may stay open.
func (c *Core) deactivate(p *proxy) {
	c.publisher.remove(p)
	p.unacknowledged = nil
	c.policy.RemoveProxy(p.id)
}

// reactivate adds a deactivated proxy to the policy again. It is unknown which updates have reached the proxy.
func (c *Core) reactivate(p *proxy) {
	p.inactive = false
	c.endpoints.markPossiblyNotified(p.id)
	c.policy.AddProxy(p.id, p.zone, p.expectedRate, p.updateTimesMs...)
	c.policy.ExpectInheritedEjections(p.id)
}
