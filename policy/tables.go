package policy

import (
	"cmp"
	"math"
	"slices"
)

// solveIfDue solves every few seconds, and soon after servers came or left or a proxy got an unused table.
func (p *Policy) solveIfDue() {
	servers := filter(p.servers, (*server).usable)
	sinceMs := p.nowMs - p.solvedMs
	tooSoon := sinceMs < minSolveIntervalMs || sinceMs < solveIntervalMs && !p.serversChanged && !p.joinsUnusedTable
	if len(servers) == 0 || p.settings.Sharded || tooSoon {
		return // with no server to use, tables keep what they hold
	}
	if p.solves == 0 {
		p.createTables(p.cohortCount(servers))
	}
	p.evaluate() // anew, as ejections void load reports and admission rates change demand
	p.split(servers, p.serversChanged)
	p.recordSolve()
	for _, table := range p.tables {
		table.due = table.due || table.number%minCohorts == p.solves%minCohorts
	}
}

// cohortCount is two, or in a large fleet as many as give each server two entries with two proxies a cohort.
func (p *Policy) cohortCount(servers []*server) int {
	proxies := float64(p.settings.Proxies) / math.Max(float64(p.settings.Zones*p.settings.Planners), 1)
	wanted := minCohorts * float64(len(servers)) / float64(p.maxTableSize(servers))
	return max(minCohorts, int(math.Min(wanted, proxies/minCohorts)))
}

// maxTableSize is the number of entries that a table should hold: so few that the channel can send all in a
// second, that servers accept the connections, and that these are used before they idle out.
func (p *Policy) maxTableSize(servers []*server) int {
	proxies := math.Max(float64(p.settings.Proxies), 1)
	joined := float64(len(p.proxies))
	ownProxies := math.Max(proxies/math.Max(float64(p.settings.Planners), 1), joined)
	sendable := p.settings.EntriesPerSecond * tableRefreshMs / 1000 / ownProxies
	connectable := p.settings.MinServerConnections * connectionQuota * float64(len(servers)) / proxies
	size := math.Min(sendable, connectable)
	if joined > 0 {
		rate := sumBy(p.proxies, func(proxy *proxy) float64 { return proxy.expectedRate }) / joined
		size = math.Min(size, rate*p.settings.IdleTimeoutMs/1000/minRequestsPerConnection)
	}
	return max(int(size), minTableEntries)
}

// split solves for all clients and sets what their tables should hold.
func (p *Policy) split(servers []*server, serversChanged bool) {
	demand, moved := p.updateDemand()
	clients := p.addUnobservedClients(slices.Clone(p.clients), demand)
	problem := p.newProblem(servers, clients, demand)
	problem.initCells(p.resetsCells(servers, serversChanged || moved > maxDemandShift*demand))
	solve(problem.D, problem.C, problem.cost, problem.cells, maxLambda/float64(len(servers)))
	p.applySplit(&problem)
}

// addUnobservedClients adds proxies that do not report to us: other planners', or cut off. They are taken to
// be spread evenly and to have as much demand as ours. Guards against a planner with the proxies of one zone
// that spreads these over all servers, as if nobody else used the rest.
func (p *Policy) addUnobservedClients(clients []*client, demand float64) []*client {
	for zone := range p.settings.Zones {
		joined := filter(p.proxies, func(proxy *proxy) bool { return proxy.zone == zone })
		missing := math.Max(0, float64(p.settings.Proxies)/float64(p.settings.Zones)-float64(len(joined)))
		rate := missing * demand / math.Max(float64(len(p.proxies)), 1)
		clients = append(clients, &client{zone: zone, demand: rate})
	}
	return clients
}

// resetsCells says whether old prices and shares are forgotten: after a shift of demand or servers, and while
// a server is on its ramp, or was at the last solve.
func (p *Policy) resetsCells(servers []*server, shifted bool) bool {
	rampedAtSolve := slices.ContainsFunc(servers, func(server *server) bool { return p.ramp(server) < 1 })
	reset := shifted || rampedAtSolve || p.rampedAtSolve
	p.rampedAtSolve = rampedAtSolve
	return reset
}

// costs are the paper's L of a client's request at each server, with a price for leaving the zone.
func (p *Policy) costs(client *client, servers []*server, zoneLatencies []float64) []float64 {
	costs := make([]float64, len(servers))
	sameZoneOnly := len(client.classes) > 0 && p.settings.Classes[client.classes[0]].SameZoneOnly
	for j, server := range servers {
		L := zoneLatencies[server.Zone]
		if server.Zone != client.zone {
			L += p.settings.CrossZoneCost * p.latencyObjectiveMs
		}
		if server.Zone != client.zone && sameZoneOnly {
			L = math.Inf(1)
		}
		costs[j] = L / p.typicalLatency() / float64(len(servers)) * costScale
	}
	return costs
}

// applySplit turns each client's alphas into what its tables should hold.
func (p *Policy) applySplit(problem *splitProblem) {
	load := problem.load()
	// Late reports are relied on less: when a shift between zones shows, the servers of one are full.
	staleness := math.Max(0, 1-minWindowMs/p.roundMs)
	minShare := minWeightChange / float64(len(problem.servers))
	for i, client := range p.clients {
		client.cells = map[*server]cell{}
		var wanted []*serverShare
		for j, server := range problem.servers {
			client.cells[server] = problem.cells[i][j]
			alpha := problem.cells[i][j].alpha
			share := alpha + staleness*(problem.C[j]/problem.capacity-alpha)
			// Guards a cold server: ADMM that is cut off after 20 iterations may exceed its capacity.
			if p.ramp(server) < 1 && load[j] > problem.C[j] {
				share *= problem.C[j] / load[j]
			}
			if !math.IsInf(problem.cost[i][j], 1) {
				wanted = append(wanted, &serverShare{server: server, share: share})
			}
		}
		p.fillTables(client, wanted, p.maxTableSize(problem.servers), minShare)
	}
}

// fillTables shares a client's servers out over its tables, all to each in a small fleet.
func (p *Policy) fillTables(client *client, wanted []*serverShare, maxSize int, minShare float64) {
	shares, total := p.dropSmallShares(wanted, minShare)
	tables := filter(client.tables, func(table *table) bool { return table.rate > 0 || client.demand == 0 })
	clearTargets(tables)
	for _, table := range tables {
		table.selectServers(shares, len(tables), min(len(shares), maxSize))
	}
	for index, share := range shares {
		if len(share.entries) == 0 { // no server is left out
			share.entries = append(share.entries, tables[index%len(tables)].entryOf(share.server))
		}
	}
	p.balanceWeights(tables, shares, total)
}

// dropSmallShares leaves out shares that are not worth their connections, but keeps a few of each client, and
// those of warming servers, which are small for a time only. It gives the rest, largest first, and the total.
func (p *Policy) dropSmallShares(wanted []*serverShare, minShare float64) (kept []*serverShare, total float64) {
	slices.SortStableFunc(wanted, func(a, b *serverShare) int { return cmp.Compare(b.share, a.share) })
	kept = wanted[:0]
	for _, share := range wanted {
		warming := p.ramp(share.server) < 1 && share.share > minShare/warmingShareDivisor
		if share.share >= minShare || len(kept) < minEntries || warming {
			share.share = math.Max(share.share, minShare/warmingShareDivisor)
			kept = append(kept, share)
			total += share.share
		}
	}
	return kept, total
}

// selectServers chooses the servers of one table out of those of its client: first, as changes cost entries,
// those that it holds, then those that the fewest tables hold.
func (t *table) selectServers(shares []*serverShare, tables, count int) {
	for _, share := range shares {
		share.rank = len(share.entries)
		if !t.uses(share.server) {
			share.rank += tables
		}
	}
	byRank := slices.Clone(shares)
	slices.SortStableFunc(byRank, func(a, b *serverShare) int { return a.rank - b.rank })
	for _, share := range byRank[:count] {
		share.entries = append(share.entries, t.entryOf(share.server))
	}
}

// balanceWeights sets weights with which tables, by the demand of each, together give each server its share.
// Servers and tables are scaled in turn; the last time only servers on a ramp are, and down only.
func (p *Policy) balanceWeights(tables []*table, shares []*serverShare, total float64) {
	demand := sumBy(tables, (*table).demand)
	eachEntry(shares, func(share *serverShare, entry *entry) { entry.target = share.share })
	for iteration := range balanceIterations + 1 {
		totals := map[*table]float64{}
		for _, share := range shares {
			factor := share.share / total / (sumBy(share.entries, (*entry).demand) / demand)
			if iteration == balanceIterations && (factor > 1 || p.ramp(share.server) >= 1) {
				factor = 1
			}
			for _, entry := range share.entries {
				entry.target *= factor
				totals[entry.table] += entry.target
			}
		}
		eachEntry(shares, func(_ *serverShare, entry *entry) { entry.target /= totals[entry.table] })
	}
	eachEntry(shares, func(_ *serverShare, entry *entry) {
		entry.target = math.Max(math.Round(entry.target*weightSteps), 1) / weightSteps
	})
}

// demand is a table's in the balance; one without proxies needs sound weights, too.
func (t *table) demand() float64 { return math.Max(t.rate, minDemand) }

// assignCohort gives a proxy that follows no table yet the cohort of its zone that has the least demand.
func (p *Policy) assignCohort(proxy *proxy) {
	if p.classGroups == 0 || proxy.cohort >= 0 && proxy.tables[0] != nil {
		return
	}
	tables := p.clients[proxy.zone*p.classGroups].tables
	for number, table := range tables {
		if proxy.cohort < 0 || table.rate < tables[proxy.cohort].rate {
			proxy.cohort = number
		}
	}
}
