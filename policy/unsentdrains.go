package policy

import (
	"math"
	"slices"
)

// This file finds joined proxies that may still send to a draining or removed server, because they have not been sent its
// ejection.

// UnsentReason is why a proxy has not been sent the ejection of a draining or removed server.
type UnsentReason int

// Reasons for an ejection that a proxy has not been sent.
const (
	UnsentMessageLimit UnsentReason = iota // the proxy was sent as many messages as it may be sent
	UnsentNoRoom                           // the channel has no room for the ejection
	UnsentNotOrdered                       // the proxy holds the server in an assigned table, and was not among the recipients
	UnsentUnassigned                       // the proxy goes by a table of before, and awaits one of this planner
	UnsentNoTable                          // the same, and this planner has no servers for that table
)

var unsentReasonNames = map[UnsentReason]string{
	UnsentMessageLimit: "message_limit",
	UnsentNoRoom:       "no_room",
	UnsentNotOrdered:   "not_ordered",
	UnsentUnassigned:   "awaits_table",
	UnsentNoTable:      "no_servers_for_table",
}

// String returns the reason in snake case.
func (r UnsentReason) String() string { return unsentReasonNames[r] }

// UnsentDrain is an ejection that a proxy has not been sent although a good part of its drain grace has passed.
type UnsentDrain struct {
	Server          string
	Proxy           int
	AgeMs           float64 // time since the drain began or the proxy joined, whichever is later
	Reason          UnsentReason
	JoinedAfterward bool // the proxy joined after the ejection had been ordered at other proxies
}

// unsentDrain is a draining or removed server that a proxy may send to, as the proxy has not been sent its ejection.
type unsentDrain struct {
	proxy  *proxy
	server *server
}

// unsentDrains returns the unsent drains of all joined proxies whose drain grace began at startedByMs or before.
func (p *Policy) unsentDrains(startedByMs float64) []unsentDrain {
	var unsent []unsentDrain
	unassigned := filter(p.proxies, func(proxy *proxy) bool {
		return proxy.addedMs <= startedByMs && slices.Contains(proxy.tables, nil)
	})
	for _, server := range p.servers {
		if server.State == Ready || server.leftReadyMs > startedByMs || p.expired(server) {
			continue
		}
		for _, proxy := range server.holders() {
			if proxy.addedMs <= startedByMs && !proxy.ejected[server] {
				unsent = append(unsent, unsentDrain{proxy, server})
			}
		}
		for _, proxy := range unassigned {
			if !proxy.ejected[server] && !proxy.mayUse(server, false) && p.mayHoldUnassigned(proxy, server) {
				unsent = append(unsent, unsentDrain{proxy, server})
			}
		}
	}
	return unsent
}

// holders returns the proxies whose assigned tables hold the server, each once.
func (s *server) holders() []*proxy {
	var holders []*proxy
	seen := map[*proxy]bool{}
	for _, entry := range s.entries {
		if !entry.inUse() {
			continue
		}
		for _, proxy := range entry.table.proxies {
			if !seen[proxy] {
				seen[proxy] = true
				holders = append(holders, proxy)
			}
		}
	}
	return holders
}

// mayHoldUnassigned reports whether a table that this planner did not assign to the proxy may hold the server: a table of
// another planner, or the one that the proxy started with.
func (p *Policy) mayHoldUnassigned(proxy *proxy, server *server) bool {
	for group, table := range proxy.tables {
		if table == nil && p.clientOf(proxy, group).mayGoTo(server, p.settings.Classes) {
			return true
		}
	}
	return false
}

// graceStartMs returns when the drain grace of the server began for the proxy.
func (d unsentDrain) graceStartMs() float64 { return math.Max(d.proxy.addedMs, d.server.leftReadyMs) }

// reason returns why the ejection is not sent.
func (p *Policy) unsentReason(drain unsentDrain) UnsentReason {
	recipient := single(drain.proxy)
	switch {
	case !p.withinMessageLimit(recipient, drainEjection):
		return UnsentMessageLimit
	case !p.hasRoom(1+p.settings.MessageOverhead, drainEjection):
		return UnsentNoRoom
	case drain.proxy.mayUse(drain.server, false):
		return UnsentNotOrdered
	case p.hasTables(drain.proxy):
		return UnsentUnassigned
	}
	return UnsentNoTable
}

// lateDrains describes unsent drains for the observer.
func (p *Policy) lateDrains(unsent []unsentDrain) []UnsentDrain {
	var late []UnsentDrain
	for _, drain := range unsent {
		late = append(late, UnsentDrain{
			Server:          drain.server.Server,
			Proxy:           drain.proxy.id,
			AgeMs:           p.nowMs - drain.graceStartMs(),
			Reason:          p.unsentReason(drain),
			JoinedAfterward: drain.server.ejected && drain.server.ejectedMs < drain.proxy.addedMs,
		})
	}
	return late
}

// observeUnsentDrains counts the late drains, and notifies the observer of them at most once every unsentReportIntervalMs.
func (p *Policy) observeUnsentDrains() {
	late := p.unsentDrains(p.nowMs - p.settings.DrainGraceMs*lateDrainShare)
	p.unsentCount = len(late)
	if p.observer == nil || len(late) == 0 || p.nowMs-p.unsentReportedMs < unsentReportIntervalMs {
		return
	}
	p.unsentReportedMs = p.nowMs
	p.observer.DrainsUnsent(p.lateDrains(late))
}

// UnsentDrains returns, as of the last evaluation, the number of pairs of a joined proxy and a draining or removed server of
// which the proxy has not been sent the ejection, although lateDrainShare of the drain grace has passed.
func (p *Policy) UnsentDrains() int { return p.unsentCount }
