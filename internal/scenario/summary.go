package scenario

import (
	"slices"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
)

// summarize returns the result of a run that has ended.
func (f *fleet) summarize(observed *observations) *Result {
	day := &Result{
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
		LeasesByPlanner: observed.leasesByController,
		ResentEntries:   observed.resentEntries,
		CPUMs:           float64(f.plannerCPU) / float64(time.Millisecond),
		BytesUp:         observed.bytesUp,
		BytesDown:       observed.bytesDown,
	}
	for rule, count := range observed.violationCounts {
		day.ViolationCounts[rule.String()] = count
	}
	if f.hungPlanners > 0 {
		day.Unparsed[hungPlanners] = f.hungPlanners
	}
	for _, server := range f.servers {
		day.ColdOverloads += server.Counts().ColdOverloads
	}
	f.addRequests(day)
	f.addPlannerStatuses(day)
	day.addTakeovers(observed.takeovers)
	return day
}

// addRequests adds how the requests of clients ended.
func (f *fleet) addRequests(day *Result) {
	classes, seconds, requests := f.loadGenerator.Tallies()
	day.Requests = requests
	total := fake.Tally{}
	for n, tally := range classes {
		total.Value += tally.Value
		total.MaxValue += tally.MaxValue
		day.Classes = append(day.Classes, ClassResult{Name: f.script.Groups[n].Name, Tally: tally, Service: serviceOf(tally)})
	}
	day.Service = serviceOf(total)
	for _, tally := range seconds {
		if tally.Requested > 0 {
			day.Seconds = append(day.Seconds, serviceOf(tally))
		}
	}
}

// serviceOf returns the priority weight that was earned, as a part of the weight that there was.
func serviceOf(tally fake.Tally) float64 { return tally.Value / max(tally.MaxValue, 1e-9) }

// addPlannerStatuses adds what planners said of themselves, the worst of each.
func (f *fleet) addPlannerStatuses(day *Result) {
	for _, status := range f.plannerStatuses {
		day.OrderMsP50 = max(day.OrderMsP50, status.OrderMsP50)
		day.OrderMsP99 = max(day.OrderMsP99, status.OrderMsP99)
		day.PeakBacklog = max(day.PeakBacklog, status.MaxBacklog)
		for reason, count := range status.Closes {
			day.Closes[string(reason)] += count
		}
	}
}

// addTakeovers adds the takeovers, and how long the proxies were without a leader.
func (d *Result) addTakeovers(grants []invariant.Takeover) {
	granted := map[string]bool{}
	var withoutLeaderMs []float64
	for _, grant := range grants {
		if granted[grant.Proxy] {
			withoutLeaderMs = append(withoutLeaderMs, max(grant.GrantedMs-grant.LastFrameMs, 0))
		}
		granted[grant.Proxy] = true
	}
	d.Takeovers = len(withoutLeaderMs)
	if d.Takeovers == 0 {
		return
	}
	slices.Sort(withoutLeaderMs)
	quantile := func(q float64) float64 { return withoutLeaderMs[int(q*float64(len(withoutLeaderMs)-1))] }
	d.WithoutLeaderP50 = quantile(0.5)
	d.WithoutLeaderP99 = quantile(0.99)
	d.WithoutLeaderMax = quantile(1)
}
