package planner

import (
	"sync"

	"lichenpick/proto/order"
)

// maxCoalescedSamples bounds the servers, and the traffic classes, of a coalesced report; tables hold far fewer.
const maxCoalescedSamples = 4096

// coalescedReports holds the load reports that the core has not taken yet: one per connection, to which the connection's
// reader adds later ones. A core that lags takes the same samples less often, readers never wait for it, and memory stays
// within one report per connection. It guards against readers that stop: writes of proxies would time out then, and all
// proxies would dial anew at once. It is safe for use by several goroutines.
type coalescedReports struct {
	available chan struct{} // of capacity 1; holds a token after each add

	mu     sync.Mutex
	queue  []*connection // with a report, oldest first; guarded by mu, as are their reports
	merged uint64        // reports added to one that waited; guarded by mu
	lost   uint64        // samples of servers dropped as their report was full; guarded by mu
}

// newCoalescedReports makes one that is empty.
func newCoalescedReports() *coalescedReports {
	return &coalescedReports{available: make(chan struct{}, 1)}
}

// coalescedReport is what waits of one connection. The zero value is empty.
type coalescedReport struct {
	report      *order.Sums    // nil: nothing waits
	receivedMs  float64        // when the first one came
	serverIndex map[string]int // of servers in the report; nil until a second one comes
}

// add adds a report that came at a time, in ms. It does not wait for the core.
func (r *coalescedReports) add(c *connection, report *order.Sums, nowMs float64) {
	r.mu.Lock()
	if c.coalesced.report == nil {
		c.coalesced = coalescedReport{report: report, receivedMs: nowMs}
		r.queue = append(r.queue, c)
	} else {
		r.merged++
		r.lost += c.coalesced.merge(report)
	}
	r.mu.Unlock()
	r.signal()
}

// signal has the core's goroutine take reports.
func (r *coalescedReports) signal() {
	select {
	case r.available <- struct{}{}:
	default: // it has been signalled already
	}
}

// take removes the report that has waited longest. The connection is nil if none waits.
func (r *coalescedReports) take() (c *connection, report *order.Sums, receivedMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		r.queue = nil // releases what the array still refers to
		return nil, nil, 0
	}
	c = r.queue[0]
	r.queue = r.queue[1:]
	report = c.coalesced.report
	receivedMs = c.coalesced.receivedMs
	c.coalesced = coalescedReport{}
	return c, report, receivedMs
}

// counts returns the reports merged and the samples lost since the start.
func (r *coalescedReports) counts() (merged, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merged, r.lost
}

// merge adds a later report and returns how many samples of servers it had to drop.
func (c *coalescedReport) merge(later *order.Sums) (lost uint64) {
	if c.serverIndex == nil {
		c.indexServers()
	}
	c.report.CoversMs += later.CoversMs
	for _, sample := range later.Servers {
		if !c.mergeServer(sample) {
			lost++
		}
	}
	for _, sample := range later.Groups {
		c.mergeClass(sample)
	}
	return lost
}

// indexServers prepares for merging; most reports are taken before a second one comes.
func (c *coalescedReport) indexServers() {
	c.serverIndex = map[string]int{}
	for index, sample := range c.report.Servers {
		c.serverIndex[sample.Server] = index
	}
}

// mergeServer adds a sample of a server and reports whether there was room for it.
func (c *coalescedReport) mergeServer(sample *order.ServerSum) bool {
	index, known := c.serverIndex[sample.Server]
	if !known {
		if len(c.report.Servers) >= maxCoalescedSamples {
			return false
		}
		c.serverIndex[sample.Server] = len(c.report.Servers)
		c.report.Servers = append(c.report.Servers, sample)
		return true
	}
	sum := c.report.Servers[index]
	succeededBefore := succeededAttempts(sum)
	succeededLater := succeededAttempts(sample)
	if succeeded := succeededBefore + succeededLater; succeeded > 0 {
		sum.LatencyMs = (sum.LatencyMs*succeededBefore + sample.LatencyMs*succeededLater) / succeeded
	}
	sum.Tries += sample.Tries
	sum.Dropped += sample.Dropped
	return true
}

// succeededAttempts counts those of a sample; a peer may state more failures than attempts.
func succeededAttempts(sample *order.ServerSum) float64 {
	return float64(sample.Tries - min(sample.Dropped, sample.Tries))
}

// mergeClass adds a sample of a traffic class. Beyond the bound it drops it uncounted: no honest proxy reports so many.
func (c *coalescedReport) mergeClass(sample *order.GroupSum) {
	found := false
	for _, sum := range c.report.Groups {
		if sum.Group == sample.Group {
			sum.Came += sample.Came
			sum.Dropped += sample.Dropped
			found = true
		}
	}
	if !found && len(c.report.Groups) < maxCoalescedSamples {
		c.report.Groups = append(c.report.Groups, sample)
	}
}
