package fakeplatform

import "fmt"

const (
	reportIntervalMs  = 1000.0
	minReportDelayMs  = 350.0
	maxReportDelayMs  = 1500.0
	collectorRedialMs = 200.0
)

// collector is the collector of a zone, which passes load reports to a planner.
type collector struct {
	platform   *Platform
	slot       *plannerSlot
	zone       int
	connection Connection
}

func (c *collector) connect() {
	if !c.slot.running {
		return
	}
	connection, err := c.slot.process.Connect(c)
	if err != nil {
		c.platform.After(collectorRedialMs, c.connect)
		return
	}
	c.connection = connection
	connection.Send("collector site=" + c.platform.zoneName(c.zone))
}

// Receive implements Peer. Planners write nothing to collectors.
func (c *collector) Receive(line string) {
	c.platform.violate("planner %d wrote to a collector: %s", c.slot.number, line)
}

// Lost implements Peer.
func (c *collector) Lost() { c.connection = nil }

// loadKey names a server as met by the proxies of a zone.
type loadKey struct {
	zone   int
	server *server
}

// load is what proxies met at a server since the last report.
type load struct {
	attempts, failed int
	latencySumMs     float64 // of the attempts that succeeded
	sinceMs          float64
}

// record counts an attempt of a joined proxy.
func (s *plannerSlot) record(p *Platform, x *proxy, server *server, succeeded bool, tookMs float64) {
	if s == nil {
		return // the proxy is disconnected
	}
	key := loadKey{x.zone, server}
	met := s.loads[key]
	if met == nil {
		met = &load{sinceMs: p.NowMs() - reportIntervalMs}
		s.loads[key] = met
	}
	met.attempts++
	if succeeded {
		met.latencySumMs += tookMs
	} else {
		met.failed++
	}
}

// scheduleReports sends the report of one pair after another, at the rate of the planner's intake. A pair is a zone and a server,
// or a proxy and a class, in turn. Each report covers the time since the last one of its pair.
func (p *Platform) scheduleReports(slot *plannerSlot) {
	if !slot.running {
		return
	}
	pairs := len(p.config.Zones)*len(p.servers) + len(p.proxies)*len(p.config.Classes)
	spacingMs := max(millisecondsPerSecond/p.config.ReportLinesPerS, reportIntervalMs/float64(pairs))
	for range pairs {
		index := slot.nextReport
		slot.nextReport = (slot.nextReport + 1) % pairs
		if p.sendReport(slot, index) {
			break
		}
	}
	started := slot.collectors
	p.After(spacingMs, func() {
		if len(started) == 0 || len(slot.collectors) == 0 || &started[0] == &slot.collectors[0] { // the planner has not restarted
			p.scheduleReports(slot)
		}
	})
}

// sendReport sends the report of a pair, and reports whether there was one.
func (p *Platform) sendReport(slot *plannerSlot, index int) bool {
	zones := len(p.config.Zones)
	if index < zones*len(p.servers) {
		return p.sendLoadReport(slot, loadKey{index % zones, p.servers[index/zones]})
	}
	index -= zones * len(p.servers)
	return p.sendDemandReport(slot, p.proxies[index%len(p.proxies)], index/len(p.proxies))
}

func (p *Platform) sendLoadReport(slot *plannerSlot, key loadKey) bool {
	met := slot.loads[key]
	if met == nil || p.NowMs()-met.sinceMs < reportIntervalMs {
		return false
	}
	delete(slot.loads, key)
	mean := 0.0
	if met.attempts > met.failed {
		mean = met.latencySumMs / float64(met.attempts-met.failed)
	}
	line := fmt.Sprintf("heard site=%s target=%s count=%d fail=%d mean=%.1f over=%.1f", p.zoneName(key.zone), key.server.name,
		met.attempts, met.failed, mean, p.NowMs()-met.sinceMs)
	p.deliverReport(func() Connection { return slot.collectors[key.zone].connection }, line)
	return true
}

func (p *Platform) sendDemandReport(slot *plannerSlot, x *proxy, class int) bool {
	coversMs := p.NowMs() - x.reportsMs[class]
	if x.slot != slot || coversMs < reportIntervalMs || x.received[class] == 0 {
		return false
	}
	line := fmt.Sprintf("usage id=%d lane=%s count=%d fail=%d over=%.1f", x.id, p.config.Classes[class].Name,
		x.received[class], min(x.failed[class], x.received[class]), coversMs)
	x.received[class] = 0
	x.failed[class] = 0
	x.reportsMs[class] = p.NowMs()
	p.deliverReport(func() Connection {
		if x.slot != slot {
			return nil
		}
		return x.connection
	}, line)
	return true
}

// deliverReport sends a report after a delay, unless its connection has ended by then.
func (p *Platform) deliverReport(connection func() Connection, line string) {
	p.After(minReportDelayMs+p.random.Float64()*(maxReportDelayMs-minReportDelayMs), func() {
		if open := connection(); open != nil {
			open.Send(line)
		}
	})
}
