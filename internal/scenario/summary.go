package scenario

import (
	"slices"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
)

// summarize returns the result of a run that has ended.
func (f *fleet) summarize(observed *observations) *Result {
	result := &Result{
		Decider:         f.hooks.deciderName(),
		Messages:        observed.messages,
		Entries:         observed.entries,
		Attempts:        observed.attempts,
		Violations:      observed.violations,
		ViolationCounts: map[string]int{},
		Closes:          map[string]uint64{},
		Unparsed:        observed.unparsed,
		Servers:         len(f.servers),
		Proxies:         len(f.proxyAddresses),
		Rejected:        observed.rejected,
		LeasesByPlanner: observed.leasesByPlanner,
		ResentEntries:   observed.resentEntries,
		CPUMs:           float64(f.plannerCPU) / float64(time.Millisecond),
		BytesUp:         observed.bytesUp,
		BytesDown:       observed.bytesDown,
	}
	for rule, count := range observed.violationCounts {
		result.ViolationCounts[rule.String()] = count
	}
	if f.hungPlanners > 0 {
		result.Unparsed[hungPlanners] = f.hungPlanners
	}
	for _, server := range f.servers {
		result.ColdOverloads += server.Counts().ColdOverloads
	}
	f.addRequests(result)
	f.addPlannerStatuses(result)
	result.addTakeovers(observed.takeovers)
	return result
}

// addRequests adds the outcomes of the clients' requests to a run's result.
func (f *fleet) addRequests(result *Result) {
	classes, seconds, requests := f.loadGenerator.Tallies()
	result.Requests = requests
	total := fake.Tally{}
	for n, tally := range classes {
		total.Value += tally.Value
		total.MaxValue += tally.MaxValue
		result.Classes = append(result.Classes, ClassResult{Name: f.script.Groups[n].Name, Tally: tally, Service: serviceOf(tally)})
	}
	result.Service = serviceOf(total)
	for _, tally := range seconds {
		if tally.Requested > 0 {
			result.Seconds = append(result.Seconds, serviceOf(tally))
		}
	}
}

// serviceOf returns the priority weight of requests that succeeded in time, as a fraction of the priority weight of all requests.
func serviceOf(tally fake.Tally) float64 { return tally.Value / max(tally.MaxValue, 1e-9) }

// addPlannerStatuses adds figures from the statuses of all planners to a run's result: the maxima of the planners' latencies and
// backlogs, and the total number of closed streams by close reason.
func (f *fleet) addPlannerStatuses(result *Result) {
	for _, status := range f.plannerStatuses {
		result.OrderMsP50 = max(result.OrderMsP50, status.OrderMsP50)
		result.OrderMsP99 = max(result.OrderMsP99, status.OrderMsP99)
		result.PeakBacklog = max(result.PeakBacklog, status.MaxBacklog)
		for reason, count := range status.Closes {
			result.Closes[string(reason)] += count
		}
	}
}

// addTakeovers adds to the result the number of takeovers, and quantiles of the times that proxies were without a leader.
func (r *Result) addTakeovers(grants []invariant.Takeover) {
	granted := map[string]bool{}
	var withoutLeaderMs []float64
	for _, grant := range grants {
		if granted[grant.Proxy] {
			withoutLeaderMs = append(withoutLeaderMs, max(grant.GrantedMs-grant.LastFrameMs, 0))
		}
		granted[grant.Proxy] = true
	}
	r.Takeovers = len(withoutLeaderMs)
	if r.Takeovers == 0 {
		return
	}
	slices.Sort(withoutLeaderMs)
	quantile := func(q float64) float64 { return withoutLeaderMs[int(q*float64(len(withoutLeaderMs)-1))] }
	r.WithoutLeaderP50 = quantile(0.5)
	r.WithoutLeaderP99 = quantile(0.99)
	r.WithoutLeaderMax = quantile(1)
}
