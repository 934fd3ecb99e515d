package policy

import (
	"math"
	"slices"
)

// splitProblem is what one solve works on: clients i, servers j, and the paper's letters for the rest.
type splitProblem struct {
	servers  []*server
	clients  []*client   // ours, then those of proxies that do not report to us
	D        []float64   // demand of each client, 1 on average
	C        []float64   // capacity of each server in the unit of D
	capacity float64     // sum of C
	cost     [][]float64 // of a client's request at a server; infinite where it may not go
	cells    [][]cell
}

// newProblem gives the solver its demand, capacities and costs. D averages 1, and costs are divided by the middle
// latency and the number of servers, as ADMM-20 converges by then with rho 1.
func (p *Policy) newProblem(servers []*server, clients []*client, demand float64) splitProblem {
	problem := splitProblem{
		servers: servers,
		clients: clients,
		C:       p.capacities(servers, demand),
		D:       make([]float64, len(clients)),
		cost:    make([][]float64, len(clients)),
		cells:   make([][]cell, len(clients)),
	}
	count := float64(len(clients))
	problem.capacity = sumBy(problem.C, func(C float64) float64 { return C }) * count
	for j := range servers {
		problem.C[j] *= count
	}
	total := sumBy(clients, func(client *client) float64 { return client.demand })
	mean := math.Max(total, minDemand) / count
	latencies := p.zoneLatencies(servers)
	for i, client := range clients {
		problem.D[i] = math.Max(client.demand/mean, minDemand)
		problem.cost[i] = p.costs(client, servers, latencies)
	}
	return problem
}

// initCells begins with what the last solve left, or anew with shares by capacity and no prices.
func (s *splitProblem) initCells(reset bool) {
	for i, client := range s.clients {
		s.cells[i] = make([]cell, len(s.servers))
		for j, server := range s.servers {
			last, known := client.cells[server]
			switch {
			case known && !reset:
				s.cells[i][j] = last
			case !math.IsInf(s.cost[i][j], 1):
				share := s.C[j] / s.capacity
				s.cells[i][j] = cell{alpha: share, beta: share}
			}
		}
	}
}

// load is what the split sends to each server, in the unit of C.
func (s *splitProblem) load() []float64 {
	load := make([]float64, len(s.servers))
	for i := range s.cells {
		for j := range s.cells[i] {
			load[j] += s.cells[i][j].alpha * s.D[i]
		}
	}
	return load
}

// serverShare is the share of a client's requests that a server should get, and its entries in the client's tables.
type serverShare struct {
	server  *server
	share   float64
	entries []*entry
	rank    int // in the order in which a table takes servers
}

// createTables gives each client so many cohorts, a table each.
func (p *Policy) createTables(cohorts int) {
	for _, client := range p.clients {
		for range cohorts {
			created := &table{number: len(p.tables), due: true, urgentMs: unset}
			client.tables = append(client.tables, created)
			p.tables = append(p.tables, created)
		}
	}
}

// entryOf gives the server's entry in a table, a new one where it has none.
func (t *table) entryOf(server *server) *entry {
	known := slices.IndexFunc(server.entries, func(entry *entry) bool { return entry.table == t })
	if known >= 0 {
		return server.entries[known]
	}
	created := &entry{server: server, table: t}
	t.entries = append(t.entries, created)
	server.entries = append(server.entries, created)
	return created
}

// uses says whether proxies of a table were sent a weight of the server.
func (t *table) uses(server *server) bool {
	return slices.ContainsFunc(server.entries, func(entry *entry) bool { return entry.table == t && entry.inUse() })
}

// live says whether an entry is wanted, or has to be taken back still.
func (e *entry) live() bool { return e.target > 0 || e.sent > 0 }

// demand is what an entry's target gives the server.
func (e *entry) demand() float64 { return e.target * e.table.demand() }

func (s *server) inAnyTable() bool { return slices.ContainsFunc(s.entries, (*entry).inUse) }

func clearTargets(tables []*table) {
	for _, table := range tables {
		for _, entry := range table.entries {
			entry.target = 0
		}
	}
}

// recordSolve records that tables are as of now.
func (p *Policy) recordSolve() {
	p.solvedMs = p.nowMs
	p.serversChanged = false
	p.joinsUnusedTable = false
	p.solves++
}

// eachEntry visits the entries of all shares, in their order.
func eachEntry(shares []*serverShare, visit func(share *serverShare, entry *entry)) {
	for _, share := range shares {
		for _, entry := range share.entries {
			visit(share, entry)
		}
	}
}
