package proxy

import (
	"cmp"
	"slices"

	"lichenpick/proto/order"
)

// serverStats counts the attempts at one server that ended since the last load report.
type serverStats struct {
	attempts  int
	failed    int
	latencyMs float64 // sum of the latencies of the successful attempts, in ms
}

// classStats counts the requests of one traffic class since the last load report.
type classStats struct {
	requests int // requests that arrived, whether or not they were admitted
	failed   int // admitted requests without a successful attempt
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

// TakeLoadReport returns the statistics since the previous call, with the servers sorted by name, and resets the statistics.
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
		// A request can arrive in one report interval and fail in a later one, but planners reject a report with more failures
		// than requests.
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
