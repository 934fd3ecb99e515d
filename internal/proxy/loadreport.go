package proxy

import (
	"cmp"
	"slices"

	"lichenpick/proto/order"
)

// serverStats is what attempts at one server met since the last load report.
type serverStats struct {
	attempts  int
	failed    int
	latencyMs float64 // summed over those that succeeded
}

// classStats is what became of one traffic class's requests since the last load report.
type classStats struct {
	requests int
	failed   int // admitted, and without an answer
}

func (c *Core) recordAttempt(server string, outcome Outcome, tookMs float64) {
	stats := c.statsByServer[server]
	if stats == nil {
		stats = &serverStats{}
		c.statsByServer[server] = stats
	}
	stats.attempts++
	if outcome == Succeeded {
		stats.latencyMs += tookMs
	} else {
		stats.failed++
	}
}

// TakeLoadReport gives what was met since the last call, servers by name, and starts anew.
func (c *Core) TakeLoadReport(nowMs float64) *order.Sums {
	report := &order.Sums{CoversMs: nowMs - c.lastReportMs}
	for name, stats := range c.statsByServer {
		server := &order.ServerSum{Server: name, Tries: uint32(stats.attempts), Dropped: uint32(stats.failed)}
		if succeeded := stats.attempts - stats.failed; succeeded > 0 {
			server.LatencyMs = stats.latencyMs / float64(succeeded)
		}
		report.Servers = append(report.Servers, server)
	}
	slices.SortFunc(report.Servers, func(a, b *order.ServerSum) int { return cmp.Compare(a.Server, b.Server) })
	for class, stats := range c.statsByClass {
		// A request may fail in a later interval than it came in; planners reject more failures than requests.
		failed := min(stats.failed, stats.requests)
		report.Groups = append(report.Groups, &order.GroupSum{
			Group: uint32(class), Came: uint32(stats.requests), Dropped: uint32(failed),
		})
	}
	clear(c.statsByClass)
	c.statsByServer = map[string]*serverStats{}
	c.lastReportMs = nowMs
	return report
}
