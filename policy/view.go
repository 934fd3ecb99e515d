package policy

import (
	"fmt"
	"io"
	"strings"
)

// WriteState writes the state as of the last evaluation, one line for the fleet and one for each server. Traces compare it
// with the traffic that was counted at the sockets. WriteState changes nothing. Latencies are in ms, rates in requests per
// second. Errors of the writer are ignored: the writer's owner gets them at the next write.
func (p *Policy) WriteState(w io.Writer) {
	var text strings.Builder
	fmt.Fprintf(&text, "fleet proxies=%d servers=%d solves=%d round=%.0f", len(p.proxies), len(p.servers), p.solves, p.roundMs)
	fmt.Fprintf(&text, " latency=%.0f baseline=%.0f objective=%.0f failed=%.2f",
		p.latencyMs, p.baselineMs, p.latencyObjectiveMs, p.failureShare)
	fmt.Fprintf(&text, " admitted=%.0f capacity=%.0f bearable=%.2f unacknowledged=%.0f backlog=%.0f pending=%d admission=",
		p.admittedRate, p.capacityRate, p.bearableShare, p.unacknowledged(), p.backlog, len(p.pendingDecisions))
	for _, class := range p.admission {
		fmt.Fprintf(&text, "%.2f/%d(%.0f) ", class.target, class.retry, class.demand)
	}
	text.WriteByte('\n')
	for _, server := range p.servers {
		p.writeServer(&text, server)
	}
	_, _ = io.WriteString(w, text.String())
}

func (p *Policy) writeServer(text *strings.Builder, server *server) {
	target := server.plannedRate()
	sent := sumBy(server.entries, func(entry *entry) float64 { return entry.sent * entry.table.rate })
	fmt.Fprintf(text, "server %s zone=%d state=%d unhealthy=%t ejected=%t cold=%t ramp=%.2f capacity=%.2f",
		server.Server, server.Zone, server.State, server.unhealthy, server.ejected,
		p.cold(server), p.ramp(server), server.RelativeCapacity)
	fmt.Fprintf(text, " baseline=%.0f latency=%.0f attempts=%.0f failed=%.0f evidence=%.1f",
		server.baselineMs, server.windowed.latencyMs, server.windowed.attempts(), server.windowed.failed, p.evidence(server))
	fmt.Fprintf(text, " target=%.1f sent=%.1f entries=%d\n", target, sent, len(server.entries))
}
