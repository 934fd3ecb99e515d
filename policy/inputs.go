package policy

import (
	"maps"
	"math"
	"math/rand"
	"slices"
)

// The input methods only update the state; Next makes the decisions that follow from it.

// New returns a Policy without servers and proxies. The seed only affects the random waits between polls. The Policy keeps
// settings.Classes, which the caller must not change afterwards.
func New(settings Settings, seed int64) *Policy {
	p := &Policy{
		settings:         settings,
		random:           rand.New(rand.NewSource(seed)),
		byName:           map[string]*server{},
		byID:             map[int]*proxy{},
		pollBackoff:      pollBackoffMs,
		serversChanged:   true,
		bearableShare:    1,
		solvedMs:         unset,
		admissionMs:      unset,
		evaluatedMs:      unset,
		timerMs:          unset,
		reportedMs:       unset,
		unsentReportedMs: unset,
	}
	for _, class := range settings.Classes {
		p.admission = append(p.admission, newAdmission(class, settings.DefaultRetry))
	}
	p.sheddingOrder = sheddingOrder(settings.Classes)
	classGroups := classesByDestination(settings.Classes)
	p.classGroups = len(classGroups)
	for zone := range settings.Zones {
		for _, classes := range classGroups {
			p.clients = append(p.clients, &client{zone: zone, classes: classes})
		}
	}
	return p
}

// classesByDestination groups the traffic classes that may go to the same servers. The classes of a group share tables.
func classesByDestination(classes []TrafficClass) [][]int {
	var anyZone, sameZone []int
	for index, class := range classes {
		if class.SameZoneOnly {
			sameZone = append(sameZone, index)
		} else {
			anyZone = append(anyZone, index)
		}
	}
	return filter([][]int{anyZone, sameZone}, func(group []int) bool { return len(group) > 0 })
}

// SetTime sets the time in ms, counted from any origin; it never goes back. Orders to a proxy until the next SetTime share
// one message.
func (p *Policy) SetTime(nowMs float64) { p.nowMs = nowMs }

// UpdateEndpoints records an update of the endpoint list from discovery, or that a poll of it failed. The list is not
// retained. Endpoints of zones that the settings do not have are ignored.
func (p *Policy) UpdateEndpoints(kind UpdateKind, list []Endpoint) {
	if kind == FailedUpdate {
		p.backOffPolling()
		return
	}
	if kind != RestoredUpdate {
		p.pollBackoff = pollBackoffMs
		p.watching = true
	}
	p.serversChanged = true
	p.dirty = true
	seen := map[*server]bool{}
	for _, endpoint := range list {
		if endpoint.Zone >= 0 && endpoint.Zone < p.settings.Zones {
			seen[p.updateEndpoint(kind, endpoint)] = true
		}
	}
	for _, server := range p.servers {
		if kind != DeltaUpdate && !seen[server] {
			p.remove(server)
		}
	}
	p.forgetRemoved()
}

func (p *Policy) updateEndpoint(kind UpdateKind, endpoint Endpoint) *server {
	known := p.byName[endpoint.Server]
	reason := ChangeListed
	changed := known == nil || known.State != endpoint.State
	if known == nil {
		known = &server{
			discoveredLate: kind != RestoredUpdate && p.solves > 0,
			evidenceFromMs: p.nowMs,
			listedMs:       p.nowMs,
			readmittedMs:   unset,
			addedMs:        unset,
		}
		p.byName[endpoint.Server] = known
		p.servers = append(p.servers, known)
	} else if endpoint.StartedMs > known.StartedMs {
		p.restartServer(known, endpoint.StartedMs)
		reason = ChangeRestarted
		changed = true
	}
	p.setState(known, endpoint.State)
	known.Endpoint = endpoint
	known.RelativeCapacity = limit(endpoint.RelativeCapacity, minRelativeCapacity, maxRelativeCapacity)
	if changed {
		p.observeChange(known, reason)
	}
	return known
}

// remove records that a complete list does not hold a server.
func (p *Policy) remove(server *server) {
	if server.State == Removed {
		return
	}
	p.setState(server, Removed)
	p.observeChange(server, ChangeListed)
}

// setState records a change of a server's state in the list. A server that ceases to be ready is to be ejected at all proxies
// that hold it, even if it was ejected while ready: proxies whose tables it was added to since then may not have been notified.
// The drain grace of a server that drained and is now removed goes on: it started when the drain was listed.
func (p *Policy) setState(server *server, state State) {
	if state == server.State {
		return
	}
	if server.State == Ready {
		server.leftReadyMs = p.nowMs
	}
	server.drainOrdered = server.drainOrdered && state != Ready
	server.State = state
	server.stateChangedMs = p.nowMs
}

// forgetRemoved deletes servers that were removed long ago, once their ejections have ended.
func (p *Policy) forgetRemoved() {
	p.servers = filter(p.servers, func(server *server) bool {
		if server.ejected || !p.expired(server) {
			return true
		}
		delete(p.byName, server.Server)
		for _, proxy := range p.proxies {
			delete(proxy.ejected, server)
		}
		return false
	})
}

// AddProxy records that a proxy joined or rejoined: its id, its zone, the requests per second that it expects, and the times
// in ms of the messages that another planner sent it, oldest first. These messages count towards Settings.MaxMessages. A
// proxy of a zone that the settings do not have is ignored. A rate out of range counts as the nearest rate within it.
func (p *Policy) AddProxy(id, zone int, usualRate float64, messageTimes ...float64) {
	p.RemoveProxy(id)
	if zone < 0 || zone >= p.settings.Zones {
		return
	}
	joined := &proxy{
		id:               id,
		zone:             zone,
		cohort:           -1,
		expectedRate:     limit(usualRate, 0, maxRequestRate),
		joinedMs:         p.nowMs,
		addedMs:          p.nowMs,
		messageTimes:     slices.Clone(messageTimes),
		acknowledgements: map[int]float64{},
		ejected:          map[*server]bool{},
		demand:           make([][]sample, len(p.admission)),
		tables:           make([]*table, p.classGroups),
	}
	// A proxy taken over from another planner is not new: it reported its demand to that planner, and this planner has
	// received load reports.
	if p.anySuccess && len(messageTimes) > 0 {
		joined.joinedMs = math.Min(joined.joinedMs, messageTimes[0])
	}
	p.byID[id] = joined
	p.proxies = append(p.proxies, joined)
	p.dirty = true
}

// ExpectInheritedEjections records that a joined proxy may hold tables and ejections of another planner. Assigned tables
// replace these tables, and Host.RestoreServers ends these ejections.
func (p *Policy) ExpectInheritedEjections(id int) {
	if proxy := p.byID[id]; proxy != nil {
		proxy.inheritedEjections = true
	}
}

// RemoveProxy records that a proxy left. Its unacknowledged entries count as backlog until the channel has drained them.
func (p *Policy) RemoveProxy(id int) {
	leaving := p.byID[id]
	if leaving == nil {
		return
	}
	delete(p.byID, id)
	p.updateBacklog()
	p.departedBacklog += leaving.ordered - leaving.acknowledged
	p.proxies = filter(p.proxies, func(proxy *proxy) bool { return proxy != leaving })
}

// RecordLoadReport records a load report of a server: the number of attempts from the proxies of a zone in a period of
// coversMs, how many of them failed, and the mean latency in ms of the successful ones. A report of an unknown server or
// zone, without attempts, or with a number out of range is ignored.
func (p *Policy) RecordLoadReport(name string, zone, count, failed int, latencyMs, coversMs float64) {
	server := p.byName[name]
	if server == nil || zone < 0 || zone >= p.settings.Zones || !isUsableLoad(count, failed, latencyMs, coversMs) {
		return
	}
	p.reportedMs = p.nowMs
	server.hasSucceeded = server.hasSucceeded || failed < count
	p.anySuccess = p.anySuccess || server.hasSucceeded
	p.reportCoversMs = appendBounded(p.reportCoversMs, coversMs, maxSamples)
	report := sample{
		zone:      zone,
		atMs:      p.nowMs,
		succeeded: float64(count - failed),
		failed:    float64(failed),
		latencyMs: latencyMs,
		coversMs:  coversMs,
	}
	server.samples = appendBounded(server.samples, report, maxSamples*min(p.settings.Zones, maxSampleZones))
}

// RecordDemandReport records a demand report of a proxy: the number of requests of a traffic class that it received in a
// period of coversMs, and how many of them failed. A report of an unknown proxy or class, or with a number out of range, is
// ignored.
func (p *Policy) RecordDemandReport(id, class, count, failed int, coversMs float64) {
	proxy := p.byID[id]
	if proxy == nil || class < 0 || class >= len(proxy.demand) || !isUsableDemand(count, failed, coversMs) {
		return
	}
	report := sample{
		zone:      proxy.zone,
		atMs:      p.nowMs,
		succeeded: float64(count - failed),
		failed:    float64(failed),
		coversMs:  coversMs,
	}
	proxy.demand[class] = appendBounded(proxy.demand[class], report, maxSamples)
}

// Acknowledge records that a proxy answered Host.RequestAcknowledgement, tookMs after the request. All orders to the proxy
// before that request have arrived, also those before earlier requests whose answers were lost.
func (p *Policy) Acknowledge(id, number int, tookMs float64) {
	p.observeChannel(tookMs)
	proxy := p.byID[id]
	if proxy == nil {
		return
	}
	proxy.acknowledged = math.Max(proxy.acknowledged, proxy.acknowledgements[number])
	maps.DeleteFunc(proxy.acknowledgements, func(_ int, entries float64) bool {
		return entries <= proxy.acknowledged
	})
}

// SetLagging records whether load reports reach the planner late. While they are late, no deferrable entries are sent, and
// only necessary acknowledgements are requested.
func (p *Policy) SetLagging(on bool) { p.lagging = on }
