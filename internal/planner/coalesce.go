package planner

import (
	"sync"

	"lichenpick/proto/order"
)

// coalescedReports holds the reports that the core has not taken yet: one a stream, to which later ones are added by the stream's reader, on
// whatever core it runs. So a core that falls behind hears the same sums less often, readers never wait for it, and memory stays
// within a report a stream. Guards against readers that stop: proxies' writes would then time out, and all dial anew at once.
type coalescedReports struct {
	mu     sync.Mutex
	queue  []*stream // oldest first; each once
	signal chan struct{}

	merged, lost uint64 // reports added to one that waited; servers left out as one held too many
}

// maxMerged bounds the servers of a report that waits; tables hold far fewer.
const maxMerged = 4096

// coalescedReport is a stream's that waits.
type coalescedReport struct {
	m     *order.Sums
	since float64        // ms, when the first of it came
	index map[string]int // places of servers in m; made with the second report
}

// add takes in a report, and says nothing of when it will be heard.
func (r *coalescedReports) add(s *stream, m *order.Sums, now float64) {
	r.mu.Lock()
	if s.report.m == nil {
		s.report = coalescedReport{m: m, since: now}
		r.queue = append(r.queue, s)
	} else {
		r.merged++
		r.lost += s.report.merge(m)
	}
	r.mu.Unlock()
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// take gives the oldest report and since when it waited.
func (r *coalescedReports) take() (s *stream, m *order.Sums, since float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		r.queue = nil
		return nil, nil, 0
	}
	s, r.queue = r.queue[0], r.queue[1:]
	m, since, s.report = s.report.m, s.report.since, coalescedReport{}
	return s, m, since
}

// counts are reports merged and servers left out since the start.
func (r *coalescedReports) counts() (merged, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merged, r.lost
}

// merge adds a later report. It says how many servers found no place.
func (w *coalescedReport) merge(m *order.Sums) (lost uint64) {
	if w.index == nil {
		w.index = map[string]int{}
		for n, x := range w.m.Servers {
			w.index[x.Server] = n
		}
	}
	w.m.CoversMs += m.CoversMs
	for _, x := range m.Servers {
		n, known := w.index[x.Server]
		switch {
		case !known && len(w.m.Servers) >= maxMerged:
			lost++
		case !known:
			w.index[x.Server] = len(w.m.Servers)
			w.m.Servers = append(w.m.Servers, x)
		default:
			y := w.m.Servers[n]
			had, has := float64(y.Tries-min(y.Dropped, y.Tries)), float64(x.Tries-min(x.Dropped, x.Tries))
			if had+has > 0 {
				y.LatencyMs = (y.LatencyMs*had + x.LatencyMs*has) / (had + has)
			}
			y.Tries, y.Dropped = y.Tries+x.Tries, y.Dropped+x.Dropped
		}
	}
	for _, x := range m.Groups {
		found := false
		for _, y := range w.m.Groups {
			if y.Group == x.Group {
				y.Came, y.Dropped, found = y.Came+x.Came, y.Dropped+x.Dropped, true
			}
		}
		if !found && len(w.m.Groups) < maxMerged {
			w.m.Groups = append(w.m.Groups, x)
		}
	}
	return lost
}
