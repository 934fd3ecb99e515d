// Package platform connects the policy to the operators' platform: proxies and collectors of load reports, which speak lines
// of text on TCP streams, and an agent that serves the list of servers over HTTP.
//
// Core holds the policy and what the proxies were sent, and does no I/O; Run connects it to sockets, signals and the clock.
// The package decides nothing on weights, health, admission or pace: that is the policy's.
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

// Host carries out what the core decides. Each method is one decision, made in a call of Next, ShedConnection or Close. A
// method may call HandleDisconnect and Abort of the core, and nothing else of it.
type Host interface {
	// Send sends complete messages. The bytes are the core's again when it returns.
	Send(connection *Connection, messages []byte)
	// CloseConnection closes a connection once what was sent before is written. The cause says more than the reason; it
	// may be nil.
	CloseConnection(connection *Connection, reason CloseReason, cause error)
	// SetTimer asks for a call of Next at a time in Unix ms, in place of the time asked for before.
	SetTimer(atMs float64)
}

// Core is one planner. Its methods are called by one goroutine at a time: SetTime, then inputs, then Next until it returns
// false. Whoever shares it holds a lock that guards all of it, with its connections. Times are Unix ms by a clock that
// never jumps.
type Core struct {
	settings  simulator.Settings
	policy    *policy.Policy
	nowMs     float64
	zones     map[string]int // by name
	classes   map[string]int // traffic classes, by name
	sessions  sessionTable
	proxies   proxyTable
	endpoints endpointTable
	publisher publisher
	progress  channelProgress

	policyTimerMs float64 // when the policy is to be asked again
	hostTimerMs   float64 // what the host was asked for last
	buffer        []byte  // of messages to be sent

	// MaxPartialBytes limits the bytes of incomplete messages, of all connections together. It may be set before the first
	// connection.
	MaxPartialBytes int
	// Counts are what happened since NewCore.
	Counts Counts
	// OnReject is called with each message of a joined connection that is not accepted; the line is valid until it returns. It
	// may be nil, and is set before the first connection.
	OnReject func(err error, line []byte)
}

// NewCore makes a planner at a time in Unix ms. All chance comes from the seed.
func NewCore(settings simulator.Settings, seed int64, nowMs float64) *Core {
	settings.Policy.ReadmitByWeight = true // as policyHost does in SetWeight
	settings.Policy.OmitsEntries = true    // as policyHost does in AssignTable
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

// SetTime sets the time, which never goes back. What is decided until the next call leaves in one message a proxy.
func (c *Core) SetTime(nowMs float64) {
	c.nowMs = math.Max(nowMs, c.nowMs)
	c.policy.SetTime(c.nowMs)
}

// Next carries out at most one decision, and says whether it did.
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
	case len(c.publisher.pending) > 0: // when the policy has decided all
		p := c.publisher.pending[0]
		c.publisher.pending = c.publisher.pending[1:]
		c.publish(host, p)
		return true
	case c.deactivateSilent():
		return true
	}
	return c.setTimer(host)
}

// setTimer asks the host for the next call, and says whether that has changed.
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

// WriteState writes what the policy believes, and beside it what the sockets said since the last call: of each server its
// state, whether it is ejected, requests, failed ones and their mean latency. It is for traces; the first error ends it.
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
