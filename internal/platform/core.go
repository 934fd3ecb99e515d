// Package platform connects the policy to the operators' platform: to proxies and collectors of load reports, which
// exchange lines of text with the planner over TCP, and to a discovery agent, which serves the list of servers over HTTP.
//
// Core holds the policy and tracks what each proxy was sent; it does no I/O. Run connects it to sockets, signals and the
// clock. Weights, health, admission and pacing are decided by the policy alone.
package platform

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// Host carries out the decisions of the core, which calls it from Next, ShedConnection and Close. During such a call, a host
// may call HandleDisconnect and Abort of the core, and no other method of it.
type Host interface {
	// Send sends complete messages. It must not keep the slice, which the core reuses.
	Send(connection *Connection, messages []byte)
	// CloseConnection closes a connection after all messages sent to it have been written. The cause gives details of the
	// reason; it may be nil.
	CloseConnection(connection *Connection, reason CloseReason, cause error)
	// SetTimer requests a call of Next at a time in Unix ms. It replaces the previous request.
	SetTimer(atMs float64)
}

// Core is one planner. It is not safe for concurrent use: goroutines that share it need a lock for it and all its
// connections. Callers use SetTime, then pass in inputs, then call Next until it returns false. Times are Unix ms of a
// clock that never jumps.
type Core struct {
	settings  simulator.Settings
	policy    *policy.Policy
	nowMs     float64
	zones     map[string]int // indices of the zones by name
	classes   map[string]int // indices of the traffic classes by name
	sessions  sessionTable
	proxies   proxyTable
	endpoints endpointTable
	publisher publisher
	progress  channelProgress

	policyTimerMs float64 // Unix ms of the next evaluation of the policy
	hostTimerMs   float64 // last time passed to Host.SetTimer
	buffer        []byte  // reused for the messages of one Host.Send

	// MaxPartialBytes limits the bytes of incomplete messages of all connections together. The limit may only be set before
	// the first connection.
	MaxPartialBytes int
	// Counts counts events since NewCore.
	Counts Counts
	// OnReject, if not nil, is called with each rejected message of a joined connection. The line is valid until OnReject
	// returns. OnReject may only be set before the first connection.
	OnReject func(err error, line []byte)
}

// NewCore creates a planner at a time in Unix ms. All its randomness comes from the seed.
func NewCore(settings simulator.Settings, seed int64, nowMs float64) *Core {
	settings.Policy.ReadmitByWeight = true // policyHost.SetWeight readmits a server with its first weight
	settings.Policy.OmitsEntries = true    // policyHost.AssignTable can omit entries
	settings.Policy.EjectsSingly = true    // policyHost.EjectServers
	core := &Core{
		settings:        settings,
		policy:          policy.New(settings.Policy, seed),
		zones:           indexByName(settings.Zones),
		classes:         indexByName(settings.Classes),
		sessions:        newSessionTable(len(settings.Zones)),
		proxies:         proxyTable{byID: make([]*proxy, settings.Policy.Proxies)},
		endpoints:       newEndpointTable(settings.Policy.Proxies),
		publisher:       newPublisher(settings.Classes, settings.Policy.EntriesPerSecond),
		hostTimerMs:     math.Inf(1),
		MaxPartialBytes: math.MaxInt,
	}
	core.publisher.endpoints = &core.endpoints
	core.SetTime(nowMs)
	return core
}

func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for index, name := range names {
		indices[name] = index
	}
	return indices
}

// SetTime sets the time, which never goes back. All decisions that are made for a proxy before the next call of SetTime are
// sent in one message.
func (c *Core) SetTime(nowMs float64) {
	c.nowMs = math.Max(nowMs, c.nowMs)
	c.policy.SetTime(c.nowMs)
}

// Next carries out at most one decision, and reports whether there was one.
func (c *Core) Next(host Host) bool {
	switch {
	case len(c.sessions.replies) > 0:
		connection := c.sessions.replies[0]
		c.sessions.replies = c.sessions.replies[1:]
		c.sendReplies(host, connection)
		return true
	case c.closeOverdue():
		return true
	case c.policy.Next(policyHost{c}):
		return true
	case len(c.publisher.pending) > 0: // updates are sent only when the policy has no more decisions
		p := c.publisher.pending[0]
		c.publisher.pending = c.publisher.pending[1:]
		c.publish(host, p)
		return true
	case c.deactivateSilent():
		return true
	}
	c.Counts.MaxUnsentDrains = max(c.Counts.MaxUnsentDrains, uint64(c.policy.UnsentDrains()))
	return c.setTimer(host)
}

// setTimer requests from the host the next call of Next, and reports whether the time of that call has changed.
func (c *Core) setTimer(host Host) bool {
	dueMs := c.policyTimerMs
	if len(c.sessions.unjoined) > 0 {
		dueMs = math.Min(dueMs, c.sessions.unjoined[0].openedMs+joinTimeoutMs)
	}
	dueMs = math.Max(dueMs, c.nowMs)
	if dueMs == c.hostTimerMs {
		return false
	}
	c.hostTimerMs = dueMs
	host.SetTimer(dueMs)
	return true
}

// SetObserver sets an observer of what the policy decides about servers, which may be nil.
func (c *Core) SetObserver(observer policy.Observer) { c.policy.SetObserver(observer) }

// WriteState writes the state of the policy for a trace, followed by the backlog of the channel and, for each server, its
// state, whether it is ejected, and the requests, failures and mean latency that were reported since the last call of
// WriteState. It stops at the first write error.
func (c *Core) WriteState(w io.Writer) error {
	c.policy.WriteState(w)
	if _, err := fmt.Fprintf(w, "channel backlog=%.0f\n", c.publisher.channel.backlog(c.nowMs)); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(c.endpoints.byName)) {
		e := c.endpoints.byName[name]
		meanMs := e.latencySumMs / math.Max(e.requests-e.failed, 1)
		_, err := fmt.Fprintf(w, "reported %s state=%d ejected=%t requests=%.0f failed=%.0f mean_ms=%.0f\n",
			name, e.state, c.publisher.registry.Ejected[name], e.requests, e.failed, meanMs)
		if err != nil {
			return err
		}
		e.requests = 0
		e.failed = 0
		e.latencySumMs = 0
	}
	return nil
}
