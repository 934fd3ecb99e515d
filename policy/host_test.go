package policy

import (
	"fmt"
	"math"
)

// fake is a host that keeps what it is told, as proxies would.
type fake struct {
	p       *Policy
	now     float64
	lines   map[int]map[string]float64
	bound   map[string]int // "proxy/group" to table
	out     map[string]bool
	levels  map[int]float64
	retries map[int]int
	follows []float64
	orders  []string
	asked   []int // receipts not answered yet
	most    int   // decisions in one tick
}

func settings() Settings {
	return Settings{
		Zones: 2, DefaultRetry: RetryUnprocessed, PartialAdmission: true, AssumeNotifiedMs: 10000,
		Classes: []TrafficClass{
			{LatencyObjectiveMs: 600, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjectiveMs: 1000, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		EntriesPerSecond: 2500, MessageOverhead: 4, MaxBacklog: 3500, MaxMessages: 20, MessageWindowMs: 10000,
		MaxPropagationMs: 1000, ReportIntervalMs: 1000, ColdCapacity: 0.2, SlowStartMs: 16000, ColdOverloadWindowMs: 3000, DrainGraceMs: 3000,
		Proxies: 4, Planners: 1, MinServerConnections: 300, IdleTimeoutMs: 15000,
	}
}

func start(set Settings) *fake {
	f := &fake{
		now: 1e6, lines: map[int]map[string]float64{}, bound: map[string]int{}, out: map[string]bool{},
		levels: map[int]float64{}, retries: map[int]int{}, p: New(set, 1),
	}
	f.p.SetTime(f.now)
	return f
}

// ready makes n entries over two zones.
func ready(n int) (list []Endpoint) {
	for i := 0; i < n; i++ {
		list = append(list, Endpoint{Server: fmt.Sprint("s", i), Zone: i % 2, RelativeCapacity: 1})
	}
	return list
}

// fleet starts a planner with n servers and four proxies, all bound.
func fleet(set Settings, n int) *fake {
	f := start(set)
	f.p.UpdateEndpoints(RestoredUpdate, ready(n))
	for i := 0; i < 4; i++ {
		f.p.AddProxy(i, i%2, 10)
	}
	f.pull()
	return f
}

func (f *fake) pull() {
	n := 0
	for f.p.Next(f) {
		n++
		if n > 100000 {
			panic("decisions without end")
		}
	}
	f.most = max(f.most, n)
}

// run lets seconds pass; hear is called for each server and second and gives tries, drops and latency.
func (f *fake) run(seconds int, hear func(s string) (count, failed int, latency float64)) {
	for i := 0; i < seconds*5; i++ {
		f.now += 200
		f.p.SetTime(f.now)
		f.answer()
		for _, s := range f.p.servers {
			if i%5 == 0 && hear != nil {
				if n, bad, ms := hear(s.Server); n > 0 {
					f.p.RecordReport(s.Server, s.Zone, n, bad, ms, 1000)
				}
			}
		}
		for q := 0; q < 4 && i%5 == 0; q++ {
			f.p.RecordDemand(q, 0, 5, 0, 1000)
			f.p.RecordDemand(q, 1, 5, 0, 1000)
		}
		f.pull()
	}
}

// fine is what a sound server is heard of.
func fine(string) (int, int, float64) { return 5, 0, 100 }

// but is a fleet of sound servers with one that is heard of differently.
func but(name string, count, failed int, latency float64) func(string) (int, int, float64) {
	return func(s string) (int, int, float64) {
		if s == name {
			return count, failed, latency
		}
		return fine(s)
	}
}

// share is the part of a proxy's flows of a group that may go to a server, as it would pick.
func (f *fake) share(proxy, group int, name string) float64 {
	t, known := f.bound[fmt.Sprint(proxy, "/", group)]
	if !known {
		return math.NaN()
	}
	sum := 0.0
	for s, w := range f.lines[t] {
		if !f.out[s] {
			sum += w
		}
	}
	if f.out[name] || sum == 0 {
		return 0
	}
	return f.lines[t][name] / sum
}

func (f *fake) log(format string, a ...any) { f.orders = append(f.orders, fmt.Sprintf(format, a...)) }

func (f *fake) SetWeight(table int, server string, weight float64) {
	f.log("line %d %s %g", table, server, weight)
	if f.lines[table] == nil {
		f.lines[table] = map[string]float64{}
	}
	f.lines[table][server] = weight
}

func (f *fake) AssignTable(proxy, table int, groups []int, omitted []string) {
	f.log("bind %d %d %d", proxy, table, groups)
	for _, g := range groups {
		f.bound[fmt.Sprint(proxy, "/", g)] = table
	}
}

func (f *fake) SetEjected(server string, out, includeUnassigned bool) {
	f.log("withdraw %s %v", server, out)
	f.out[server] = out
}

func (f *fake) SetAdmission(table, group int, share float64, retry int) {
	f.log("admit %d %g %d", group, share, retry)
	f.levels[group], f.retries[group] = share, retry
}

func (f *fake) RequestAcknowledgement(number int) {
	f.log("receipt %d", number)
	f.asked = append(f.asked, number)
}

// answer is what proxies say to the receipts asked for.
func (f *fake) answer() {
	for _, n := range f.asked {
		for _, q := range f.p.proxies {
			f.p.Acknowledge(q.id, n, 300)
		}
	}
	f.asked = nil
}

func (f *fake) RestoreServers(proxy int, servers []string) {
	f.log("restore %d %v", proxy, servers)
}

func (f *fake) WatchEndpoints()       { f.follows = append(f.follows, f.now) }
func (f *fake) SetTimer(inMs float64) { f.log("wake %g", inMs) }
