package planner

import (
	"sync"

	"lichenpick/proto/order"
)

// maxCoalescedSamples bounds the count of server samples, and that of traffic class samples, in a coalesced report. A
// proxy's tables have far fewer entries.
const maxCoalescedSamples = 4096

// coalescedReports holds the load reports that the core has not taken yet, at most one per connection. A connection's reader
// merges later reports into the connection's waiting report. A lagging core thus takes the same samples in fewer reports,
// readers never wait for the core, and memory is bounded by one report per connection. If readers stopped reading instead,
// the writes of all proxies would time out, and all proxies would dial again at once. coalescedReports is safe for
// concurrent use.
type coalescedReports struct {
	available chan struct{} // signals that reports wait; of capacity 1; holds a token after each add

	mu     sync.Mutex
	queue  []*connection // connections with a waiting report, oldest report first; mu guards the queue and the reports
	merged uint64        // reports merged into a waiting report; guarded by mu
	lost   uint64        // server samples dropped because the waiting report was full; guarded by mu
}

// newCoalescedReports returns an empty set of reports.
func newCoalescedReports() *coalescedReports {
	return &coalescedReports{available: make(chan struct{}, 1)}
}

// coalescedReport is the waiting load report of one connection. The zero value is empty.
type coalescedReport struct {
	report      *order.Sums    // the waiting report; nil if none waits
	receivedMs  float64        // when the first of the merged reports was received
	serverIndex map[string]int // index in report.Servers by server; nil until a second report is merged
}

// add adds a report that was received at nowMs. It does not wait for the core.
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

// signal notifies the core's goroutine that reports wait for the core.
func (r *coalescedReports) signal() {
	select {
	case r.available <- struct{}{}:
	default: // a signal is already pending
	}
}

// take removes and returns the report that has waited longest, with its connection and the time when its first part was
// received, in ms. The connection is nil if no report waits.
func (r *coalescedReports) take() (c *connection, report *order.Sums, receivedMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		r.queue = nil // releases the connections that the backing array still refers to
		return nil, nil, 0
	}
	c = r.queue[0]
	r.queue = r.queue[1:]
	report = c.coalesced.report
	receivedMs = c.coalesced.receivedMs
	c.coalesced = coalescedReport{}
	return c, report, receivedMs
}

// counts returns how many reports were merged and how many server samples were lost since the start.
func (r *coalescedReports) counts() (merged, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merged, r.lost
}

// merge adds a later report to the waiting one and returns how many server samples it had to drop.
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

// indexServers builds serverIndex, which only merge needs. The first merge calls indexServers, because the core takes most
// reports before a later report is merged into them.
func (c *coalescedReport) indexServers() {
	c.serverIndex = map[string]int{}
	for index, sample := range c.report.Servers {
		c.serverIndex[sample.Server] = index
	}
}

// mergeServer adds a server's sample to the waiting report. It returns false if it dropped the sample, as the report is full.
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

// succeededAttempts returns the number of successful attempts in a sample. It is never negative, although a faulty peer may
// report more failures than attempts.
func succeededAttempts(sample *order.ServerSum) float64 {
	return float64(sample.Tries - min(sample.Dropped, sample.Tries))
}

// mergeClass adds a traffic class's sample to the waiting report. Once the report has maxCoalescedSamples classes, samples
// of further classes are dropped without being counted, as no correct proxy has so many classes.
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
