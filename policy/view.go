package policy

import (
	"fmt"
	"io"
)

// WriteState writes what the planner believes as of its last look, a line for the fleet and one a server: for traces, which
// set it beside what was counted off the sockets. It decides nothing and changes nothing. Latencies in ms, flows per
// second.
func (p *Policy) WriteState(w io.Writer) {
	fmt.Fprintf(w, "fleet proxies=%d servers=%d solves=%d round=%.0f latency=%.0f floor=%.0f budget=%.0f drops=%.2f let=%.0f able=%.0f unsure=%.0f waiting=%.0f todo=%d levels=",
		len(p.proxies), len(p.servers), p.solves, p.round, p.latency, p.baselineLatency, p.latencyObjective, p.failureShare, p.admittedRate, p.capacityRate, p.unsure(), p.backlog, len(p.pendingDecisions))
	for _, l := range p.admission {
		fmt.Fprintf(w, "%.2f/%d(%.0f) ", l.target, l.retry, l.demand)
	}
	fmt.Fprintln(w)
	for _, s := range p.servers {
		want, sent := 0.0, 0.0
		for _, r := range s.entries {
			want, sent = want+r.target*r.table.rate, sent+r.sent*r.table.rate
		}
		fmt.Fprintf(w, "server %s zone=%d state=%d bad=%t out=%t cold=%t ramp=%.2f size=%.2f own=%.0f latency=%.0f tries=%.0f failed=%.0f evidence=%.1f want=%.1f sent=%.1f lines=%d\n",
			s.Server, s.Zone, s.State, s.unhealthy, s.ejected, p.cold(s), p.ramp(s), s.RelativeCapacity, s.baseline, s.windowed.latencyMs, s.windowed.attempts(), s.windowed.failed, p.evidence(s), want, sent, len(s.entries))
	}
}
