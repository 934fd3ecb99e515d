package policy

import "math"

// Observer is notified of what the policy has seen and decided about servers, for a log. Its methods must not call the Policy.
type Observer interface {
	// ServerChanged is called when the state of a server changes.
	ServerChanged(change ServerChange)
	// Solved is called after each solve.
	Solved(summary SolveSummary)
	// DrainsUnsent is called while proxies have not been sent ejections of draining servers although much of the drain grace
	// has passed, at most once a second.
	DrainsUnsent(late []UnsentDrain)
}

// ChangeReason is why the state of a server changed.
type ChangeReason int

// Reasons for a change of the state of a server.
const (
	ChangeListed     ChangeReason = iota // the endpoint list shows the server in another state, or for the first time
	ChangeRestarted                      // the endpoint list shows a new start of the server
	ChangeHeldBack                       // the server is ejected for a while because it is cold
	ChangeEjected                        // load reports, or their absence, show that the server fails
	ChangeReadmitted                     // the ejection of the server has ended
)

var changeReasonNames = map[ChangeReason]string{
	ChangeListed:     "listed",
	ChangeRestarted:  "restarted",
	ChangeHeldBack:   "held_back_cold",
	ChangeEjected:    "ejected",
	ChangeReadmitted: "readmitted",
}

// String returns the reason in snake case.
func (r ChangeReason) String() string { return changeReasonNames[r] }

// ServerChange is a change of the state of a server.
type ServerChange struct {
	Server    string
	Reason    ChangeReason
	State     State
	AgeMs     float64 // time since the start that the list shows; infinite if it shows none
	EjectedMs float64 // time for which the server is ejected from now on; 0 if it is not
}

// SolveSummary is what a solve was based on, and what it decided.
type SolveSummary struct {
	Warm, Cold, Unhealthy int     // ready servers: usable and warm, usable in slow start, and ejected
	ColdShare             float64 // share of the requests that tables are to send to servers in slow start
	DemandRate            float64 // requests per second that came to the proxies
	AdmittedRate          float64 // requests per second that are to be admitted
	BearableShare         float64 // share of these that the servers can bear, as far as servers in slow start limit it
}

// SetObserver sets the observer, which may be nil.
func (p *Policy) SetObserver(observer Observer) { p.observer = observer }

// observeChange notifies the observer of a change of a server.
func (p *Policy) observeChange(server *server, reason ChangeReason) {
	if p.observer == nil {
		return
	}
	change := ServerChange{Server: server.Server, Reason: reason, State: server.State, AgeMs: math.Inf(1)}
	if server.StartedMs > 0 {
		change.AgeMs = p.nowMs - server.StartedMs
	}
	if server.unhealthy {
		change.EjectedMs = math.Max(server.unhealthyUntilMs-p.nowMs, 0)
	}
	p.observer.ServerChanged(change)
}

// observeSolve notifies the observer of a solve.
func (p *Policy) observeSolve() {
	if p.observer == nil {
		return
	}
	summary := SolveSummary{AdmittedRate: p.admittedRate, BearableShare: p.bearableShare}
	for _, class := range p.admission {
		summary.DemandRate += class.demand
	}
	planned := 0.0
	cold := 0.0
	for _, server := range p.servers {
		load := server.plannedRate()
		planned += load
		switch {
		case server.State != Ready:
		case server.unhealthy:
			summary.Unhealthy++
		case p.cold(server):
			summary.Cold++
			cold += load
		default:
			summary.Warm++
		}
	}
	summary.ColdShare = cold / math.Max(planned, minClassDemand)
	p.observer.Solved(summary)
}

// plannedRate returns the requests per second that the targets of the tables send to the server.
func (s *server) plannedRate() float64 {
	return sumBy(s.entries, func(entry *entry) float64 { return entry.target * entry.table.rate })
}
