package policy

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// Prefixes of the orders that fakeHost records.
const (
	weightOrder      = "weight"
	acknowledgeOrder = "acknowledge"
)

// fakeHost carries out decisions as proxies would, and records them.
type fakeHost struct {
	planner                 *Policy
	nowMs                   float64
	weights                 map[int]map[string]float64 // by table number and server name
	assigned                map[string]int             // table number by "proxy/class"
	ejected                 map[string]bool
	admission               map[int]float64 // by traffic class
	retries                 map[int]int     // retry mode by traffic class
	polls                   []float64       // times of WatchEndpoints, in ms
	orders                  []string
	pendingAcknowledgements []int // numbers of the unanswered requests for acknowledgements
}

// serverReports returns the load report of a server for one second; no report is sent for a count of 0.
type serverReports func(server string) (count, failed int, latencyMs float64)

func testSettings() Settings {
	return Settings{
		Zones:            2,
		DefaultRetry:     RetryUnprocessed,
		PartialAdmission: true,
		AssumeNotifiedMs: 10000,
		Classes: []TrafficClass{
			{LatencyObjectiveMs: 600, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjectiveMs: 1000, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		EntriesPerSecond:     2500,
		MessageOverhead:      4,
		MaxBacklog:           3500,
		MaxMessages:          20,
		MessageWindowMs:      10000,
		MaxPropagationMs:     1000,
		ReportIntervalMs:     1000,
		ColdCapacity:         0.2,
		SlowStartMs:          16000,
		ColdOverloadWindowMs: 3000,
		DrainGraceMs:         3000,
		Proxies:              4,
		Planners:             1,
		MinServerConnections: 300,
		IdleTimeoutMs:        15000,
	}
}

func startPlanner(settings Settings) *fakeHost {
	f := &fakeHost{
		planner:   New(settings, 1),
		nowMs:     1e6,
		weights:   map[int]map[string]float64{},
		assigned:  map[string]int{},
		ejected:   map[string]bool{},
		admission: map[int]float64{},
		retries:   map[int]int{},
	}
	f.planner.SetTime(f.nowMs)
	return f
}

// readyServers returns the servers s0, s1 and so on, in zones 0 and 1 by turns.
func readyServers(count int) []Endpoint {
	var list []Endpoint
	for index := range count {
		list = append(list, Endpoint{Server: fmt.Sprint("s", index), Zone: index % 2, RelativeCapacity: 1})
	}
	return list
}

// startFleet starts a planner with a number of servers, and four proxies with assigned tables.
func startFleet(settings Settings, servers int) *fakeHost {
	f := startPlanner(settings)
	f.planner.UpdateEndpoints(RestoredUpdate, readyServers(servers))
	for id := range 4 {
		f.planner.AddProxy(id, id%2, 10)
	}
	f.decide()
	return f
}

// update sends the planner a delta update of the endpoint list.
func (f *fakeHost) update(changed ...Endpoint) { f.planner.UpdateEndpoints(DeltaUpdate, changed) }

// advance moves the time forward.
func (f *fakeHost) advance(byMs float64) {
	f.nowMs += byMs
	f.planner.SetTime(f.nowMs)
}

// decide makes the planner make all of its decisions for the current time.
func (f *fakeHost) decide() {
	const limit = 100_000
	for decisions := 0; f.planner.Next(f); decisions++ {
		if decisions > limit {
			panic("Next does not stop making decisions")
		}
	}
}

// run advances time by seconds. Servers send the given load reports, if any, and proxies report a constant demand.
func (f *fakeHost) run(seconds int, reports serverReports) {
	for step := range seconds * 5 {
		f.advance(200)
		f.acknowledgeAll()
		if step%5 == 0 {
			f.report(reports)
			f.reportDemand()
		}
		f.decide()
	}
}

func (f *fakeHost) report(reports serverReports) {
	if reports == nil {
		return
	}
	for _, server := range f.planner.servers {
		count, failed, latencyMs := reports(server.Server)
		if count > 0 {
			f.planner.RecordLoadReport(server.Server, server.Zone, count, failed, latencyMs, 1000)
		}
	}
}

func (f *fakeHost) reportDemand() {
	for proxy := range 4 {
		f.planner.RecordDemandReport(proxy, 0, 5, 0, 1000)
		f.planner.RecordDemandReport(proxy, 1, 5, 0, 1000)
	}
}

// healthy is the load report of a healthy server.
func healthy(string) (count, failed int, latencyMs float64) { return 5, 0, 100 }

// overloaded is the load report of a server in an overloaded fleet.
func overloaded(string) (count, failed int, latencyMs float64) { return 10, 5, 900 }

// except returns healthy load reports for all servers but one.
func except(name string, count, failed int, latencyMs float64) serverReports {
	return func(server string) (int, int, float64) {
		if server == name {
			return count, failed, latencyMs
		}
		return healthy(server)
	}
}

// share returns the share of a proxy's requests of a class that its table sends to a server, or NaN without a table.
func (f *fakeHost) share(proxy, class int, name string) float64 {
	table, known := f.assigned[fmt.Sprint(proxy, "/", class)]
	if !known {
		return math.NaN()
	}
	total := 0.0
	for server, weight := range f.weights[table] {
		if !f.ejected[server] {
			total += weight
		}
	}
	if f.ejected[name] || total == 0 {
		return 0
	}
	return f.weights[table][name] / total
}

// shares returns the share of a proxy's requests of the first class that go to the named servers together.
func (f *fakeHost) shares(proxy int, names ...string) float64 {
	total := 0.0
	for _, name := range names {
		total += f.share(proxy, 0, name)
	}
	return total
}

// countOrders returns the number of orders with a prefix.
func (f *fakeHost) countOrders(kind string) int {
	return len(slices.DeleteFunc(slices.Clone(f.orders), func(order string) bool { return !strings.HasPrefix(order, kind) }))
}

func (f *fakeHost) log(format string, args ...any) {
	f.orders = append(f.orders, fmt.Sprintf(format, args...))
}

func (f *fakeHost) SetWeight(table int, server string, weight float64) {
	f.log(weightOrder+" %d %s %g", table, server, weight)
	if f.weights[table] == nil {
		f.weights[table] = map[string]float64{}
	}
	f.weights[table][server] = weight
}

func (f *fakeHost) AssignTable(proxy, table int, classes []int, _ []string) {
	f.log("assign %d %d %d", proxy, table, classes)
	for _, class := range classes {
		f.assigned[fmt.Sprint(proxy, "/", class)] = table
	}
}

func (f *fakeHost) SetEjected(server string, ejected, _ bool) {
	f.log("eject %s %v", server, ejected)
	f.ejected[server] = ejected
}

func (f *fakeHost) SetAdmission(_, class int, rate float64, retry int) {
	f.log("admit %d %g %d", class, rate, retry)
	f.admission[class] = rate
	f.retries[class] = retry
}

func (f *fakeHost) RequestAcknowledgement(number int) {
	f.log(acknowledgeOrder+" %d", number)
	f.pendingAcknowledgements = append(f.pendingAcknowledgements, number)
}

// acknowledgeAll makes all proxies answer the pending requests for acknowledgements.
func (f *fakeHost) acknowledgeAll() {
	for _, number := range f.pendingAcknowledgements {
		for _, proxy := range f.planner.proxies {
			f.planner.Acknowledge(proxy.id, number, 300)
		}
	}
	f.pendingAcknowledgements = nil
}

func (f *fakeHost) RestoreServers(proxy int, servers []string) {
	f.log("restore %d %v", proxy, servers)
}

func (f *fakeHost) EjectServers(proxy int, servers []string) {
	f.log("eject at %d %v", proxy, servers)
	for _, server := range servers {
		f.ejected[server] = true
	}
}

func (f *fakeHost) WatchEndpoints() { f.polls = append(f.polls, f.nowMs) }

func (f *fakeHost) SetTimer(inMs float64) { f.log("timer %g", inMs) }

// checkNear fails the test unless got differs from want, which is computed by hand, by at most the last argument.
func checkNear(t *testing.T, what string, got, want, by float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > by {
		t.Errorf("%s is %.4f, want %.4f", what, got, want)
	}
}
