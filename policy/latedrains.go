package policy

// This file reports the drains that proxies have not been sent although a good part of their grace has passed.

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

// unsentReason returns why the ejection is not sent.
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
	startedByMs := p.nowMs - p.settings.DrainGraceMs*lateDrainShare
	late := p.unsentDrains(startedByMs, p.unassignedSince(startedByMs))
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
