package fakeplatform

import "lichenpick/policy"

// Delays until the list shows a change, in ms.
const (
	minListedMs = 660.0
	maxListedMs = 2300.0
	startupMs   = 40.0 // from the end of a server to its next start
)

// Release is a rolling release: servers drain in batches, end, and start again cold under their old names.
type Release struct {
	AtMs            float64 // when the list shows the first batch as draining
	BatchIntervalMs float64
	Batches         int
	BatchSize       int
	DrainMs         float64 // from the list's notice of a drain to the end of the server
}

// ScheduleRelease schedules a release of servers drawn by chance. No server is released twice.
func (p *Platform) ScheduleRelease(release Release) {
	order := p.random.Perm(len(p.servers))
	for batch := range release.Batches {
		var servers []*server
		for _, index := range order[batch*release.BatchSize : min((batch+1)*release.BatchSize, len(order))] {
			servers = append(servers, p.servers[index])
		}
		p.After(release.AtMs+float64(batch)*release.BatchIntervalMs, func() { p.replace(servers, release.DrainMs) })
	}
}

// ScheduleZoneDrain schedules that all servers of a zone drain at once. They go on to serve until the end of the day.
func (p *Platform) ScheduleZoneDrain(atMs float64, zone int) {
	p.After(atMs, func() {
		var drained []*server
		for _, server := range p.servers {
			if server.zone == zone && server.state == policy.Ready {
				server.state = policy.Draining
				drained = append(drained, server)
			}
		}
		p.publish(0, drained...)
	})
}

// replace drains servers and starts them again.
func (p *Platform) replace(servers []*server, drainMs float64) {
	for _, server := range servers {
		server.state = policy.Draining
	}
	p.publish(0, servers...)
	p.After(drainMs, func() {
		for _, server := range servers {
			server.Stop()
			server.state = policy.Removed
		}
		p.publish(0, servers...)
		p.After(startupMs, func() {
			for _, server := range servers {
				server.restart()
			}
			p.publish(p.listedMs(), servers...)
		})
	})
}

func (p *Platform) listedMs() float64 {
	return minListedMs + p.random.Float64()*(maxListedMs-minListedMs)
}

// ScheduleCrash schedules that servers drawn by chance end without notice, and start again so soon that the list only shows their
// new start time.
func (p *Platform) ScheduleCrash(atMs, downMs float64, count int) {
	p.After(atMs, func() {
		var crashed []*server
		for _, index := range p.random.Perm(len(p.servers)) {
			if server := p.servers[index]; server.state == policy.Ready && len(crashed) < count {
				crashed = append(crashed, server)
			}
		}
		for _, server := range crashed {
			server.Stop()
		}
		p.After(downMs, func() {
			for _, server := range crashed {
				server.restart()
				p.publish(p.listedMs(), server)
			}
		})
	})
}

// ScheduleRestart schedules that a planner is stopped and started again.
func (p *Platform) ScheduleRestart(number int, atMs, downMs float64) {
	p.After(atMs, func() { p.StopPlanner(number) })
	p.After(atMs+downMs, func() { p.StartPlanner(number) })
}

// Fleet is the state of the fleet at a time, for a trace.
type Fleet struct {
	Warm, Cold, Draining, Down int
	Capacity                   float64 // present capacity of the servers that are listed as ready, as a share of the full fleet's
}

// Fleet returns the present state of the fleet.
func (p *Platform) Fleet() Fleet {
	var fleet Fleet
	full := 0.0
	for _, server := range p.servers {
		full += server.fullCapacity()
		share := server.capacityShare()
		switch {
		case server.listed == policy.Draining:
			fleet.Draining++
		case share == 0 || server.listed == policy.Removed:
			fleet.Down++
		case share < 1:
			fleet.Cold++
		default:
			fleet.Warm++
		}
		if server.listed == policy.Ready {
			fleet.Capacity += share * server.fullCapacity()
		}
	}
	fleet.Capacity /= full
	return fleet
}
