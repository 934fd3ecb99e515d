package policy

import (
	"math"
	"slices"
)

// splitProblem is the input and state of one solve, with the letters of the paper: i is a client, j a server.
type splitProblem struct {
	servers  []*server
	clients  []*client   // those of this planner, then one client of unobserved proxies for each zone
	D        []float64   // demand of each client, 1 on average
	C        []float64   // capacity of each server in the unit of D
	capacity float64     // sum of C
	demand   float64     // admitted requests per second of the proxies of this planner
	cost     [][]float64 // L of the paper, by i and j; infinite where the client may not use the server
	cells    [][]cell
}

// newProblem sets up demand, capacities and costs for the solver. D has a mean of 1, and costs are relative to the median
// baseline latency and divided by the number of servers; at this scale, ADMM-20 converges with rho 1.
func (p *Policy) newProblem(servers []*server, clients []*client, demand float64) splitProblem {
	problem := splitProblem{
		servers: servers,
		clients: clients,
		demand:  demand,
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

// initCells initializes the cells with those of the last solve. A new pair of client and server, and with reset every pair,
// starts with a share proportional to the capacity of the server, and without a price.
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

// load returns the load that the split sends to each server, in the unit of C.
func (s *splitProblem) load() []float64 {
	load := make([]float64, len(s.servers))
	for i := range s.cells {
		for j := range s.cells[i] {
			load[j] += s.cells[i][j].alpha * s.D[i]
		}
	}
	return load
}

// serverShare is the share of a client's requests that a server is to get, and its entries in the client's tables.
type serverShare struct {
	server  *server
	share   float64
	entries []*entry
	rank    int // a table selects the servers with the lowest ranks
}

// createTables creates the cohorts of each client, with one table each.
func (p *Policy) createTables(cohorts int) {
	for _, client := range p.clients {
		for range cohorts {
			created := &table{number: len(p.tables), due: true, urgentMs: unset}
			client.tables = append(client.tables, created)
			p.tables = append(p.tables, created)
		}
	}
}

// entryOf returns the entry of a server in the table, and creates the entry if there is none.
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

// uses reports whether the proxies of the table hold the server.
func (t *table) uses(server *server) bool {
	return slices.ContainsFunc(server.entries, func(entry *entry) bool { return entry.table == t && entry.inUse() })
}

// live reports whether the entry has a target, or proxies still hold it.
func (e *entry) live() bool { return e.target > 0 || e.sent > 0 }

// demand returns the requests per second that the target of the entry sends to the server.
func (e *entry) demand() float64 { return e.target * e.table.demand() }

func (s *server) inAnyTable() bool { return slices.ContainsFunc(s.entries, (*entry).inUse) }

func clearTargets(tables []*table) {
	for _, table := range tables {
		for _, entry := range table.entries {
			entry.target = 0
		}
	}
}

// recordSolve records that a solve has just set the targets of the tables.
func (p *Policy) recordSolve() {
	p.solvedMs = p.nowMs
	p.serversChanged = false
	p.joinsUnusedTable = false
	p.solves++
}

// eachEntry calls visit for the entries of all shares, in the order of the shares.
func eachEntry(shares []*serverShare, visit func(share *serverShare, entry *entry)) {
	for _, share := range shares {
		for _, entry := range share.entries {
			visit(share, entry)
		}
	}
}
