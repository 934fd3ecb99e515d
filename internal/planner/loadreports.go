package planner

import "lichenpick/proto/order"

// Thresholds at which the planner starts and stops lagging, as times for which a load report waits for the core. The two
// thresholds differ so that the planner does not start or stop lagging with each report.
const (
	laggingMs  = 1000.0 // above this wait, decisions would use outdated reports, so the planner lags
	caughtUpMs = 100.0  // below this wait, the planner no longer lags
)

// HandleLoadReport handles a proxy's load report. Samples of servers that were never listed are ignored.
func (c *Core) HandleLoadReport(s *Stream, report *order.Sums) {
	c.logInput(inputLoadReport, s, report)
	p := s.proxy
	if p == nil || s.ended {
		return
	}
	p.lastFrameMs = c.nowMs
	if !p.commanded {
		return
	}
	for _, sample := range report.Servers {
		c.addServerSample(p, sample)
	}
	if p.demand == nil {
		p.demand = c.newDemand(p)
	}
	for _, sample := range report.Groups {
		if int(sample.Group) < len(p.demand) { // the class comes from the proxy and has not been checked yet
			c.intake.add(p.demand[sample.Group], int(sample.Came), int(sample.Dropped), 0)
		}
	}
}

// addServerSample adds a proxy's sample of a server to the server's pending load from the proxy's zone.
func (c *Core) addServerSample(p *joinedProxy, sample *order.ServerSum) {
	endpoint := c.endpoints.byServer[sample.Server]
	if endpoint == nil || sample.Tries == 0 {
		c.Counts.Ignored++
		return
	}
	if endpoint.loads == nil {
		endpoint.loads = make([]*pendingLoad, len(c.zones.names))
	}
	load := endpoint.loads[p.zone]
	if load == nil {
		load = &pendingLoad{server: sample.Server, zone: p.zone}
		endpoint.loads[p.zone] = load
	}
	c.Counts.LoadReports++
	c.intake.add(load, int(sample.Tries), int(sample.Dropped), sample.LatencyMs)
}

// newDemand returns empty pending loads for a proxy, one for each traffic class.
func (c *Core) newDemand(p *joinedProxy) []*pendingLoad {
	demand := make([]*pendingLoad, len(c.registry.Admission))
	for class := range demand {
		demand[class] = &pendingLoad{proxy: p, class: class}
	}
	return demand
}

// RecordLag records how long load reports waited for the core, in ms, and notifies the policy when the planner starts or
// stops lagging.
func (c *Core) RecordLag(ms float64) {
	c.reportLagMs = ms
	begins := !c.lagging && ms > laggingMs
	ends := c.lagging && ms < caughtUpMs
	if begins || ends {
		c.lagging = begins
		c.policy.SetLagging(c.lagging)
	}
}

// nextLoad passes one load to the policy, if the intake's rate allows it, and reports whether it did.
func (c *Core) nextLoad() bool {
	load := c.intake.next()
	if load == nil {
		return false
	}
	sample := load.take()
	if load.proxy != nil {
		c.policy.RecordDemandReport(load.proxy.id, load.class, sample.count, sample.failed, load.coversMs)
	} else {
		c.policy.RecordLoadReport(load.server, load.zone, sample.count, sample.failed, sample.meanLatencyMs(), load.coversMs)
	}
	c.Counts.Shed = uint64(c.intake.shed)
	return true
}
