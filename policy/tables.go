package policy

import (
	"cmp"
	"math"
	"slices"
)

// solveIfDue solves once every solveIntervalMs, and sooner after servers changed or a proxy was assigned to the cohort of a
// table without demand.
func (p *Policy) solveIfDue() {
	servers := filter(p.servers, (*server).usable)
	sinceMs := p.nowMs - p.solvedMs
	tooSoon := sinceMs < minSolveIntervalMs || sinceMs < solveIntervalMs && !p.serversChanged && !p.joinsUnusedTable
	if len(servers) == 0 || p.settings.Sharded || tooSoon {
		return // without usable servers, tables stay as they are
	}
	if p.solves == 0 {
		p.createTables(p.cohortCount(servers))
	}
	p.evaluate() // evaluated again, as ejections may have reset load reports, and admission rates may have changed
	p.split(servers, p.serversChanged)
	p.recordSolve()
	p.observeSolve()
	for _, table := range p.tables {
		table.due = table.due || table.number%minCohorts == p.solves%minCohorts
	}
}

// cohortCount returns the number of cohorts in each zone. In a small fleet it is two. In a large fleet, there are enough
// cohorts for each server to be in two tables, as long as each cohort has at least two proxies.
func (p *Policy) cohortCount(servers []*server) int {
	proxies := float64(p.settings.Proxies) / math.Max(float64(p.settings.Zones*p.settings.Planners), 1)
	wanted := minCohorts * float64(len(servers)) / float64(p.maxTableSize(servers))
	return max(minCohorts, int(math.Min(wanted, proxies/minCohorts)))
}

// maxTableSize returns the number of entries that a table may hold. With this limit, the channel can send all tables within
// tableRefreshMs, servers accept the connections of proxies, and connections are reused before their idle timeout.
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

// split solves for all clients and sets the targets of their tables.
func (p *Policy) split(servers []*server, serversChanged bool) {
	demand, moved := p.updateDemand()
	clients := p.addUnobservedClients(slices.Clone(p.clients), demand)
	problem := p.newProblem(servers, clients, demand)
	problem.initCells(p.resetsCells(servers, serversChanged || moved > maxDemandShiftShare*demand))
	solve(problem.D, problem.C, problem.cost, problem.cells, maxLambda/float64(len(servers)))
	p.applySplit(&problem)
}

// addUnobservedClients adds a client in each zone for the proxies that do not report to this planner, because they joined
// another planner or are disconnected. These proxies are assumed to be spread evenly over zones, with the mean demand of the
// joined proxies. Without them, a planner with the proxies of one zone only would spread their requests over all servers, as
// if nobody used the other zones.
func (p *Policy) addUnobservedClients(clients []*client, demand float64) []*client {
	for zone := range p.settings.Zones {
		joined := filter(p.proxies, func(proxy *proxy) bool { return proxy.zone == zone })
		missing := math.Max(0, float64(p.settings.Proxies)/float64(p.settings.Zones)-float64(len(joined)))
		rate := missing * demand / math.Max(float64(len(p.proxies)), 1)
		clients = append(clients, &client{zone: zone, demand: rate})
	}
	return clients
}

// resetsCells reports whether the prices and shares of the last solve are dropped: after a shift of demand or servers, and
// while a server is on a ramp or was on one at the last solve. It updates rampedAtSolve.
func (p *Policy) resetsCells(servers []*server, shifted bool) bool {
	rampedAtSolve := slices.ContainsFunc(servers, func(server *server) bool { return p.ramp(server) < 1 })
	reset := shifted || rampedAtSolve || p.rampedAtSolve
	p.rampedAtSolve = rampedAtSolve
	return reset
}

// costs returns L of the paper, the cost of a request of the client at each server, which is higher outside of its zone.
func (p *Policy) costs(client *client, servers []*server, zoneLatencies []float64) []float64 {
	costs := make([]float64, len(servers))
	for j, server := range servers {
		L := zoneLatencies[server.Zone]
		if server.Zone != client.zone {
			L += p.settings.CrossZoneCost * p.latencyObjectiveMs
		}
		if !client.mayGoTo(server, p.settings.Classes) {
			L = math.Inf(1)
		}
		costs[j] = L / p.typicalLatency() / float64(len(servers)) * costScale
	}
	return costs
}

// applySplit sets the targets of each client's tables from its alphas.
func (p *Policy) applySplit(problem *splitProblem) {
	load := problem.load()
	// The older the load reports, the more a split follows capacities instead of zones: a shift of demand between zones shows
	// in late reports only after the servers of one zone are overloaded.
	staleness := math.Max(0, 1-minWindowMs/p.roundMs)
	minShare := minWeightChange / float64(len(problem.servers))
	limits := p.loadLimits(problem)
	bearable, demand := 0.0, 0.0
	for i, client := range p.clients {
		client.cells = map[*server]cell{}
		var wanted []*serverShare
		for j, server := range problem.servers {
			client.cells[server] = problem.cells[i][j]
			alpha := problem.cells[i][j].alpha
			share := alpha + staleness*(problem.C[j]/problem.capacity-alpha)
			// ADMM stops after 20 iterations, and its result may exceed capacities. That would make servers on a ramp fail.
			if load[j] > limits[j] {
				share *= limits[j] / load[j]
			}
			bearable += share * client.demand
			if !math.IsInf(problem.cost[i][j], 1) {
				wanted = append(wanted, &serverShare{server: server, share: share})
			}
		}
		demand += client.demand
		p.fillTables(client, wanted, p.maxTableSize(problem.servers), minShare)
	}
	p.bearableShare = 1
	if demand > 0 && slices.ContainsFunc(problem.servers, p.cold) {
		p.bearableShare = bearable / demand
	}
	if p.bearableShare > maxBearableShare {
		p.bearableShare = 1
	}
}

// fillTables distributes the servers of a client over its tables. In a small fleet, each table holds all of them.
func (p *Policy) fillTables(client *client, wanted []*serverShare, maxSize int, minShare float64) {
	shares, total := p.dropSmallShares(wanted, minShare)
	tables := filter(client.tables, func(table *table) bool { return table.rate > 0 || client.demand == 0 })
	clearTargets(tables)
	for _, table := range tables {
		table.selectServers(shares, len(tables), min(len(shares), maxSize))
	}
	for index, share := range shares {
		if len(share.entries) == 0 { // puts each server in some table
			share.entries = append(share.entries, tables[index%len(tables)].entryOf(share.server))
		}
	}
	p.balanceWeights(tables, shares, total)
}

// dropSmallShares drops shares below minShare, which are not worth their connections. It keeps a minimum number of servers,
// and smaller shares of servers on a ramp, as these shares will grow. It returns the kept shares, largest first, and their
// sum.
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

// selectServers selects the servers of a table from those of its client: first servers that the table holds already, as
// changes cost entries, then servers that the fewest tables hold.
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

// balanceWeights sets the targets so that all tables together, by their demand, give each server its share, and the weights
// of each table sum to 1. It scales the entries of servers and of tables in turn. The last iteration scales only the
// entries of servers on a ramp, and only down, as an overload would make these servers fail.
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

// demand returns the demand of the table, but at least minDemand, as a table without proxies needs usable weights, too.
func (t *table) demand() float64 { return math.Max(t.rate, minDemand) }

// assignCohort assigns a proxy without a table to the cohort of its zone that has the least demand.
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
