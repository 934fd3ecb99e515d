package proxy

import (
	"cmp"
	"slices"

	"lichenpick/proto/order"
)

// serverSample is what attempts at one server met since the last load report.
type serverSample struct {
	attempts  int
	failed    int
	latencyMs float64 // summed over those that succeeded
}

// classSample is what became of one traffic class's requests since the last load report.
type classSample struct {
	requests int
	failed   int // admitted, and without an answer
}

func (c *Core) recordAttempt(server string, outcome Outcome, tookMs float64) {
	sample := c.serverSamples[server]
	if sample == nil {
		sample = &serverSample{}
		c.serverSamples[server] = sample
	}
	sample.attempts++
	if outcome == Succeeded {
		sample.latencyMs += tookMs
	} else {
		sample.failed++
	}
}

// TakeLoadReport gives what was met since the last call, servers by name, and starts anew.
func (c *Core) TakeLoadReport(nowMs float64) *order.Sums {
	report := &order.Sums{CoversMs: nowMs - c.reportedMs}
	for name, sample := range c.serverSamples {
		server := &order.ServerSum{Server: name, Tries: uint32(sample.attempts), Dropped: uint32(sample.failed)}
		if succeeded := sample.attempts - sample.failed; succeeded > 0 {
			server.LatencyMs = sample.latencyMs / float64(succeeded)
		}
		report.Servers = append(report.Servers, server)
	}
	slices.SortFunc(report.Servers, func(a, b *order.ServerSum) int { return cmp.Compare(a.Server, b.Server) })
	for class, sample := range c.classSamples {
		// A request may fail in a later interval than it came in; planners reject more failures than requests.
		failed := min(sample.failed, sample.requests)
		report.Groups = append(report.Groups, &order.GroupSum{
			Group: uint32(class), Came: uint32(sample.requests), Dropped: uint32(failed),
		})
	}
	clear(c.classSamples)
	c.serverSamples = map[string]*serverSample{}
	c.reportedMs = nowMs
	return report
}
