package policy_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"lichenpick/internal/golden"
	"lichenpick/policy"
)

const (
	startMs                = 1e6     // policy time in ms at which a scenario begins
	stepMs                 = 250.0   // ms between two calls of SetTime
	quietStepMs            = 2000.0  // step from quietFromMs to quietUntilMs, while the scenario only waits
	scenarioMs             = 825e3   // length of a scenario; over forgetRemovedMs (600 s) remain after the removal of drainAtMs
	digestMs               = 30e3    // ms that a line of the digest covers
	reportEveryMs          = 1000.0  // ms between two reports on a server, and between two reports of a proxy
	lateReportMs           = 6000.0  // ms between two reports in a scenario with lateReports
	randomChangeIntervalMs = 12e3    // mean time in ms between random changes
	maxDecisions           = 100_000 // limit of decisions at one time; reaching it fails the test, as Next would not stop
)

// Times and durations of the phases of a scenario, in ms; times are from its start. All other events are random, by the seed of
// the scenario.
const (
	listAtMs               = 2e3   // discovery sends its first full update
	failAtMs               = 30e3  // a warm server fails all requests for failForMs
	failForMs              = 20e3  // ms for which a warm server fails all requests
	slowAtMs               = 55e3  // a server is slowdownFactor times slower for slowForMs
	slowForMs              = 15e3  // ms for which a server is slow
	slowdownFactor         = 6.0   // factor by which the slow server is slower
	earlyRestartMs         = 72e3  // the planner restarts, if earlyRestart is set
	coldAtMs               = 80e3  // a cold server joins
	unknownAtMs            = 85e3  // a server without a start time joins, and fails all requests
	surgeAtMs              = 100e3 // demand is surgeFactor times as high for surgeForMs
	surgeForMs             = 30e3  // ms for which demand is higher in the surge
	surgeFactor            = 2.6   // factor by which demand is higher in the surge
	drainAtMs              = 140e3 // a server drains, and is removed goneAfterMs later
	goneAfterMs            = 5e3   // ms from the drain of a server to its removal
	unlistAtMs             = 150e3 // a full update omits a server
	takeOverAtMs           = 160e3 // half of the proxies are taken over from another planner
	zoneShiftAtMs          = 170e3 // demand moves to zone 0 for zoneShiftForMs
	zoneShiftForMs         = 20e3  // ms for which demand is moved to zone 0
	slowChannelAtMs        = 195e3 // acknowledgements take 4 s longer for slowChannelForMs
	slowChannelForMs       = 25e3  // ms for which acknowledgements take longer
	lagAtMs                = 225e3 // load reports are late for lagForMs
	lagForMs               = 10e3  // ms for which load reports are late
	rollingDrainAtMs       = 200e3 // a third of the servers drains, one each rollingDrainIntervalMs, for rollingDrainForMs
	rollingDrainIntervalMs = 750.0 // ms between the drains of two servers in the rolling drain
	rollingDrainForMs      = 12e3  // ms of the rolling drain, after which all of its servers are ready again
	failedListsAtMs        = 240e3 // polls of the endpoint list fail
	coldRestartsAtMs       = 250e3 // all but four servers restart under their names
	quietFromMs            = 262e3 // start of the time with only random changes, in which the policy deletes removed servers
	quietUntilMs           = 740e3 // end of the time with only random changes
	returnAtMs             = 780e3 // a server that the policy has deleted is listed again
	lateRestartMs          = 795e3 // the planner restarts, unless earlyRestart is set
)

// scenario is a seeded fleet and the settings of its planner.
type scenario struct {
	name         string
	seed         int64
	serverCount  int
	proxyCount   int
	requestRate  float64 // requests per second and proxy, without a surge
	earlyRestart bool
	lateReports  bool // a report is sent every lateReportMs, and covers that time
	settings     policy.Settings
}

func scenarios() []scenario {
	small := digestSettings(2, 6)
	wide := digestSettings(3, 9)
	wide.Classes = append(wide.Classes, policy.TrafficClass{LatencyObjectiveMs: 400, PriorityWeight: 3, Idempotency: policy.Deduplicated, SameZoneOnly: true})
	wide.CrossZoneCost = 0.1
	wide.WatchRequired = true
	many := digestSettings(1, 12)
	many.EntriesPerSecond = 150
	many.DefaultRetry = policy.RetryTwice
	many.ReadmitByWeight = true
	shared := digestSettings(4, 16)
	shared.Planners = 2
	shared.ReadmitByWeight = true
	tight := digestSettings(2, 8)
	tight.MaxMessages = 5
	tight.MaxBacklog = 140
	tight.EntriesPerSecond = 60
	tight.DefaultRetry = policy.RetryOnce
	narrow := digestSettings(2, 8)
	narrow.MaxBacklog = 130
	narrow.EntriesPerSecond = 50
	return []scenario{
		{name: "two zones", seed: 1, serverCount: 8, proxyCount: 6, requestRate: 20, settings: small},
		{name: "three zones, one traffic class stays in its zone", seed: 2, serverCount: 12, proxyCount: 9, requestRate: 15, settings: wide},
		{name: "short tables", seed: 3, serverCount: 22, proxyCount: 12, requestRate: 12, settings: many},
		{name: "half the proxies of two planners", seed: 4, serverCount: 14, proxyCount: 8, requestRate: 18, earlyRestart: true, lateReports: true, settings: shared},
		{name: "narrow channel and few messages", seed: 5, serverCount: 10, proxyCount: 8, requestRate: 25, settings: tight},
		{name: "narrow channel", seed: 6, serverCount: 10, proxyCount: 8, requestRate: 25, settings: narrow},
	}
}

func digestSettings(zones, proxies int) policy.Settings {
	return policy.Settings{
		Zones: zones,
		Classes: []policy.TrafficClass{
			{LatencyObjectiveMs: 600, PriorityWeight: 1, Idempotency: policy.Idempotent},
			{LatencyObjectiveMs: 1000, PriorityWeight: 5, Idempotency: policy.NonIdempotent},
		},
		DefaultRetry:         policy.RetryUnprocessed,
		PartialAdmission:     true,
		AssumeNotifiedMs:     10e3,
		EntriesPerSecond:     2500,
		MessageOverhead:      4,
		MaxBacklog:           3500,
		MaxMessages:          20,
		MessageWindowMs:      10e3,
		MaxPropagationMs:     1000,
		ReportIntervalMs:     1000,
		ColdCapacity:         0.2,
		SlowStartMs:          16e3,
		DrainGraceMs:         3000,
		ColdOverloadWindowMs: 3000,
		Proxies:              proxies,
		Planners:             1,
		MinServerConnections: 300,
		IdleTimeoutMs:        15e3,
	}
}

// simServer is a simulated server. Its latency rises with its load, and requests beyond its capacity fail.
type simServer struct {
	policy.Endpoint
	baseMs      float64
	capacity    float64 // requests per second
	phase       int     // step within a report period at which the server reports
	failUntilMs float64
	slowUntilMs float64
	firstWeight float64 // first weight that was sent since the last start of the server
	unlisted    bool    // the server is omitted from full updates
}

// simProxy is a simulated proxy.
type simProxy struct {
	id, zone     int
	tables       []map[string]float64 // weights by server name, by traffic class; nil without a table
	messageTimes []float64            // policy times of the messages that assigned the proxy's tables
	joined       bool
}

type acknowledgement struct {
	atMs, tookMs  float64
	proxy, number int
}

// observed counts events. Most kinds of events must occur in each scenario, so that the digest of the scenario covers them.
type observed struct {
	ejections, readmissions              int // ejections of warm ready servers, and readmissions of warm or cold ready servers
	slowStarts                           int // weights sent for a cold server that are at least twice its first weight
	admissionCuts, admissionRaises       int
	overloads                            int // load reports of servers with more load than capacity
	drains, forgotten                    int
	assignments, acknowledgementRequests int
	polls                                int
	maxDecisionsAtOnce                   int // highest number of decisions at one time
}

// simulation runs a planner in a closed loop: its decisions change the simulated load, which is reported to the planner. It
// records each decision.
type simulation struct {
	scenario
	planner       *policy.Policy
	random        *rand.Rand // random numbers for the simulation only
	nowMs         float64    // policy time
	servers       []*simServer
	proxies       []*simProxy
	tables        map[int]map[string]float64 // weights by table number and server name, since the last start of the planner
	ejected       map[string]bool
	admission     []float64
	answers       []acknowledgement
	listRequested bool // a poll of the endpoint list awaits its answer
	slowChannel   bool
	digest        *golden.Digest
	observed      observed
}

func newSimulation(s scenario) *simulation {
	simulated := &simulation{
		scenario: s,
		random:   rand.New(rand.NewSource(s.seed)),
		nowMs:    startMs,
		digest:   golden.NewDigest(fmt.Sprintf("seed=%d", s.seed), digestMs),
	}
	for index := range s.serverCount {
		name := fmt.Sprint("s", index)
		simulated.servers = append(simulated.servers, simulated.newServer(name, index%s.settings.Zones))
	}
	for id := range s.proxyCount {
		simulated.proxies = append(simulated.proxies, &simProxy{id: id, zone: id % s.settings.Zones})
	}
	simulated.startPlanner(s.seed)
	return simulated
}

// newServer returns a server of random size. Without a surge, the fleet has about 1.6 times the capacity that the demand
// needs.
func (s *simulation) newServer(name string, zone int) *simServer {
	size := 0.6 + 0.8*s.random.Float64()
	demand := s.requestRate * float64(s.proxyCount) / float64(s.serverCount)
	return &simServer{
		Endpoint: policy.Endpoint{Server: name, Zone: zone, RelativeCapacity: size},
		baseMs:   60 + 60*s.random.Float64(),
		capacity: 1.6 * size * demand,
		phase:    s.random.Intn(s.reportPhases()),
	}
}

// startPlanner starts a new planner. Proxies keep the tables that they hold.
func (s *simulation) startPlanner(seed int64) {
	s.planner = policy.New(s.settings, seed)
	s.planner.SetTime(s.nowMs)
	s.tables = map[int]map[string]float64{}
	s.ejected = map[string]bool{}
	s.admission = slices.Repeat([]float64{1}, len(s.settings.Classes))
	s.answers = nil
	s.planner.UpdateEndpoints(policy.RestoredUpdate, s.list())
}

// list returns the endpoint list of discovery: all servers except unlisted and removed servers.
func (s *simulation) list() []policy.Endpoint {
	var entries []policy.Endpoint
	for _, server := range s.servers {
		if !server.unlisted && server.State != policy.Removed {
			entries = append(entries, server.Endpoint)
		}
	}
	return entries
}

// stepMs returns the time in ms to the next step.
func (s *simulation) stepMs() float64 {
	if within(s.elapsed(), quietFromMs, quietUntilMs-quietFromMs) {
		return quietStepMs
	}
	return stepMs
}

func (s *simulation) reportEveryMs() float64 {
	if s.lateReports {
		return lateReportMs
	}
	return reportEveryMs
}

// reportPhases returns the number of steps between two reports. Servers and proxies report at different steps.
func (s *simulation) reportPhases() int { return int(s.reportEveryMs() / stepMs) }

// periodMs returns the time in ms that a report covers.
func (s *simulation) periodMs() float64 { return math.Max(s.reportEveryMs(), s.stepMs()) }

func (s *simulation) elapsed() float64 { return s.nowMs - startMs }

func (s *simulation) record(format string, args ...any) {
	s.digest.Add(s.elapsed(), format, args...)
}

func (s *simulation) find(name string) *simServer {
	index := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.Server == name })
	return s.servers[index]
}

// The following methods implement policy.Host: they carry out decisions as proxies would.

func (s *simulation) SetWeight(table int, name string, weight float64) {
	s.record("weight %d %s %g", table, name, weight)
	if s.tables[table] == nil {
		s.tables[table] = map[string]float64{}
	}
	s.tables[table][name] = weight
	server := s.find(name)
	if weight == 0 || server.StartedMs == 0 {
		return
	}
	if server.firstWeight == 0 {
		server.firstWeight = weight
	} else if s.nowMs-server.StartedMs < 2*s.settings.SlowStartMs && weight >= 2*server.firstWeight {
		s.observed.slowStarts++
	}
}

func (s *simulation) AssignTable(proxy, table int, classes []int, omitted []string) {
	s.record("bind %d %d %d", proxy, table, classes)
	if len(omitted) > 0 {
		s.record("omit %v", omitted)
	}
	for _, class := range classes {
		s.proxies[proxy].tables[class] = s.tables[table]
	}
	s.proxies[proxy].messageTimes = append(s.proxies[proxy].messageTimes, s.nowMs)
	s.observed.assignments++
}

func (s *simulation) SetEjected(name string, ejected, _ bool) {
	s.record("withdraw %s %t", name, ejected)
	s.ejected[name] = ejected
	server := s.find(name)
	warm := s.nowMs-server.StartedMs > s.settings.SlowStartMs
	switch {
	case ejected && server.State == policy.Ready && warm:
		s.observed.ejections++
	case ejected && server.State != policy.Ready:
		s.observed.drains++
	case !ejected && server.State == policy.Ready:
		s.observed.readmissions++
	case !ejected && server.State == policy.Removed:
		s.observed.forgotten++
	}
}

func (s *simulation) SetAdmission(table, class int, share float64, retry int) {
	s.record("admit %d %d %g %d", table, class, share, retry)
	if share < s.admission[class] {
		s.observed.admissionCuts++
	}
	if share > s.admission[class] {
		s.observed.admissionRaises++
	}
	s.admission[class] = share
}

// RequestAcknowledgement makes every joined proxy answer the request, as the simulation does not record which proxies were
// sent a message. A random part of the answers is lost.
func (s *simulation) RequestAcknowledgement(number int) {
	s.record("acknowledge %d", number)
	s.observed.acknowledgementRequests++
	for _, proxy := range s.proxies {
		tookMs := 100 + 500*s.random.Float64()
		if s.slowChannel {
			tookMs += 4000
		}
		if proxy.joined && s.random.Float64() < 0.95 {
			s.answers = append(s.answers, acknowledgement{s.nowMs + tookMs, tookMs, proxy.id, number})
		}
	}
}

// RestoreServers is only recorded: simulated proxies hold no ejections of other planners, and have all entries of their tables.
func (s *simulation) RestoreServers(proxy int, servers []string) {
	s.record("restore %d %v", proxy, servers)
}

// EjectServers is never called, as the settings do not set EjectsSingly.
func (s *simulation) EjectServers(int, []string) { panic("the host cannot eject at single proxies") }

func (s *simulation) WatchEndpoints() {
	s.record("follow")
	s.observed.polls++
	s.listRequested = true
}

func (s *simulation) SetTimer(inMs float64) { s.record("wake %g", inMs) }

// load returns the requests per second that reach each server, by the zone of the proxies.
func (s *simulation) load() [][]float64 {
	load := make([][]float64, len(s.servers))
	for index := range load {
		load[index] = make([]float64, s.settings.Zones)
	}
	for _, proxy := range s.proxies {
		for class, table := range proxy.tables {
			if proxy.joined {
				s.spread(load, proxy.zone, table, s.demand(proxy)*s.admission[class])
			}
		}
	}
	return load
}

// demand returns the requests per second of each traffic class that clients send to a proxy.
func (s *simulation) demand(proxy *simProxy) float64 {
	demand := s.requestRate / float64(len(s.settings.Classes))
	if within(s.elapsed(), surgeAtMs, surgeForMs) {
		demand *= surgeFactor
	}
	if within(s.elapsed(), zoneShiftAtMs, zoneShiftForMs) {
		if proxy.zone == 0 {
			demand *= 1.5
		} else {
			demand *= 0.6
		}
	}
	return demand
}

func within(at, from, span float64) bool { return at >= from && at < from+span }

// spread distributes the rate of a proxy and traffic class over servers, by the weights of its table, and adds it to load.
func (s *simulation) spread(load [][]float64, zone int, table map[string]float64, rate float64) {
	weights := make([]float64, len(s.servers))
	total := 0.0
	for index, server := range s.servers {
		if weight := table[server.Server]; weight > 0 && !s.ejected[server.Server] {
			weights[index] = weight
			total += weight
		}
	}
	if total == 0 {
		return
	}
	for index, weight := range weights {
		load[index][zone] += rate * weight / total
	}
}

// report sends the load reports of a server for its last period, one for each zone.
func (s *simulation) report(server *simServer, load []float64) {
	total := 0.0
	for _, requests := range load {
		total += requests
	}
	utilization := total / server.capacity
	if utilization > 1 {
		s.observed.overloads++
	}
	failed := math.Max(0, 1-1/math.Max(utilization, 1))
	latencyMs := server.baseMs / (1 - math.Min(utilization, 0.92)) * (0.9 + 0.2*s.random.Float64())
	if s.nowMs < server.slowUntilMs {
		latencyMs *= slowdownFactor
	}
	if s.nowMs < server.failUntilMs || server.State == policy.Removed {
		failed = 1
	}
	for zone, requests := range load {
		count := int(requests*s.periodMs()/1000 + s.random.Float64())
		failures := min(count, int(float64(count)*failed+s.random.Float64()*0.9))
		s.planner.RecordLoadReport(server.Server, zone, count, failures, math.Round(latencyMs), s.periodMs())
	}
}

func (s *simulation) reportDemand(proxy *simProxy) {
	for class := range s.settings.Classes {
		count := int(s.demand(proxy)*s.periodMs()/1000 + s.random.Float64())
		s.planner.RecordDemandReport(proxy.id, class, count, s.random.Intn(2)*count/10, s.periodMs())
	}
}

func (s *simulation) join(proxy *simProxy, messageTimes ...float64) {
	proxy.joined = true
	if proxy.tables == nil {
		proxy.tables = make([]map[string]float64, len(s.settings.Classes))
	}
	s.planner.AddProxy(proxy.id, proxy.zone, s.requestRate, messageTimes...)
}

func (s *simulation) leave(proxy *simProxy) {
	proxy.joined = false
	proxy.tables = nil
	s.planner.RemoveProxy(proxy.id)
}

// sendUpdate sends the planner a delta update for one server.
func (s *simulation) sendUpdate(server *simServer) {
	s.planner.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{server.Endpoint})
}

func (s *simulation) add(name string, startedMs float64) {
	server := s.newServer(name, s.random.Intn(s.settings.Zones))
	server.StartedMs = startedMs
	s.servers = append(s.servers, server)
	s.sendUpdate(server)
}

func (s *simulation) restartServer(server *simServer) {
	server.StartedMs = s.nowMs
	server.State = policy.Ready
	server.firstWeight = 0
	s.sendUpdate(server)
}

func (s *simulation) restartPlanner() {
	s.startPlanner(s.seed + 100)
	for _, proxy := range s.proxies {
		if !proxy.joined {
			continue
		}
		recent := slices.DeleteFunc(slices.Clone(proxy.messageTimes), func(at float64) bool { return at < s.nowMs-s.settings.MessageWindowMs })
		s.join(proxy, recent...)
		s.planner.ExpectInheritedEjections(proxy.id)
	}
	s.planner.UpdateEndpoints(policy.FullUpdate, s.list())
}

// phases starts the phases that begin at this time. Most phases change servers that no other phase changes, so that phases
// do not interfere.
func (s *simulation) phases() {
	s.serverPhases()
	s.listPhases()
	s.plannerPhases()
	s.rollingDrain()
	s.slowChannel = within(s.elapsed(), slowChannelAtMs, slowChannelForMs)
}

// begins reports whether a phase begins in this step.
func (s *simulation) begins(atMs float64) bool { return within(s.elapsed(), atMs, stepMs) }

// serverPhases starts faults, new servers and restarts of servers.
func (s *simulation) serverPhases() {
	switch {
	case s.begins(failAtMs):
		s.servers[0].failUntilMs = s.nowMs + failForMs
	case s.begins(slowAtMs):
		s.servers[1].slowUntilMs = s.nowMs + slowForMs
	case s.begins(coldAtMs):
		s.add("cold", s.nowMs)
	case s.begins(unknownAtMs):
		s.add("unknown", 0)
		s.find("unknown").failUntilMs = s.nowMs + failForMs
	case s.begins(coldRestartsAtMs):
		for _, server := range s.servers[4:] {
			s.restartServer(server)
		}
	case s.begins(returnAtMs):
		s.restartServer(s.servers[2])
	}
}

// listPhases sends updates of the endpoint list, and failures of polls.
func (s *simulation) listPhases() {
	switch {
	case s.begins(listAtMs):
		elsewhere := policy.Endpoint{Server: "elsewhere", Zone: 99, RelativeCapacity: 1}
		s.planner.UpdateEndpoints(policy.FullUpdate, append(s.list(), elsewhere))
	case s.begins(drainAtMs):
		s.servers[2].State = policy.Draining
		s.sendUpdate(s.servers[2])
	case s.begins(drainAtMs + goneAfterMs):
		s.servers[2].State = policy.Removed
		s.sendUpdate(s.servers[2])
	case s.begins(unlistAtMs):
		s.servers[3].unlisted = true
		s.servers[3].State = policy.Removed
		s.planner.UpdateEndpoints(policy.FullUpdate, s.list())
	case s.begins(failedListsAtMs), s.begins(failedListsAtMs + 1000), s.begins(failedListsAtMs + 3000):
		s.planner.UpdateEndpoints(policy.FailedUpdate, nil)
	}
}

// plannerPhases starts restarts of the planner, takeovers and the lag of load reports.
func (s *simulation) plannerPhases() {
	restartAtMs := lateRestartMs
	if s.earlyRestart {
		restartAtMs = earlyRestartMs
	}
	switch {
	case s.begins(restartAtMs):
		s.restartPlanner()
	case s.begins(takeOverAtMs), s.begins(slowChannelAtMs + slowChannelForMs/2):
		s.takeOver()
	case s.begins(lagAtMs), s.begins(lagAtMs + lagForMs):
		s.planner.SetLagging(s.begins(lagAtMs))
	}
}

// rollingDrain drains a third of the servers one after another, and makes all of them ready again together.
func (s *simulation) rollingDrain() {
	draining := s.servers[4 : 4+len(s.servers)/3]
	for index, server := range draining {
		if s.begins(rollingDrainAtMs + rollingDrainIntervalMs*float64(index)) {
			server.State = policy.Draining
			s.sendUpdate(server)
		}
		if s.begins(rollingDrainAtMs + rollingDrainForMs) {
			server.State = policy.Ready
			s.sendUpdate(server)
		}
	}
}

// takeOver makes half of the proxies rejoin as taken over from another planner, with the times of the messages that the
// other planner sent them.
func (s *simulation) takeOver() {
	for _, proxy := range s.proxies[:len(s.proxies)/2] {
		s.leave(proxy)
		s.join(proxy, s.nowMs-4000, s.nowMs-2500, s.nowMs-900)
		s.planner.ExpectInheritedEjections(proxy.id)
	}
}

// randomChange makes a random change now and then: a proxy leaves or joins, or a server fails, is slow or restarts.
func (s *simulation) randomChange() {
	if s.elapsed() < failAtMs || s.random.Float64() >= s.stepMs()/randomChangeIntervalMs {
		return
	}
	proxy := s.proxies[s.random.Intn(len(s.proxies))]
	server := s.servers[6+s.random.Intn(len(s.servers)-6)]
	forMs := 2e3 + 15e3*s.random.Float64()
	switch s.random.Intn(5) {
	case 0:
		s.leave(proxy)
	case 1:
		s.join(proxy)
	case 2:
		server.failUntilMs = s.nowMs + forMs
	case 3:
		server.slowUntilMs = s.nowMs + forMs
	case 4:
		s.restartServer(server)
	}
}

// sendInvalidInputs sends inputs that must change nothing: about unknown servers, proxies, zones and traffic classes.
func (s *simulation) sendInvalidInputs() {
	s.planner.RecordLoadReport("nobody", 0, 5, 1, 100, 1000)
	s.planner.RecordLoadReport(s.servers[0].Server, -1, 5, 1, 100, 1000)
	s.planner.RecordLoadReport(s.servers[0].Server, 0, 0, 0, 0, 1000)
	s.planner.RecordDemandReport(999, 0, 5, 0, 1000)
	s.planner.RecordDemandReport(0, 99, 5, 0, 1000)
	s.planner.Acknowledge(999, 1, 100)
	s.planner.ExpectInheritedEjections(999)
	s.planner.RemoveProxy(999)
	s.planner.AddProxy(998, 99, 10)
}

func (s *simulation) acknowledge() {
	var later []acknowledgement
	for _, answer := range s.answers {
		if answer.atMs > s.nowMs {
			later = append(later, answer)
			continue
		}
		s.planner.Acknowledge(answer.proxy, answer.number, answer.tookMs)
	}
	s.answers = later
}

// step moves the time forward, sends all inputs of this time, and makes the planner decide.
func (s *simulation) step(number int) {
	s.nowMs += s.stepMs()
	s.planner.SetTime(s.nowMs)
	if s.listRequested && !within(s.elapsed(), failedListsAtMs, 5000) {
		s.listRequested = false
		s.planner.UpdateEndpoints(policy.FullUpdate, s.list())
	}
	s.phases()
	s.randomChange()
	if number < len(s.proxies) { // proxies join one by one in the first steps
		s.join(s.proxies[number])
	}
	s.acknowledge()
	s.reports(number % s.reportPhases())
	if number%100 == 0 {
		s.sendInvalidInputs()
	}
	s.decide()
}

// reports sends the reports of servers and proxies: of all of them if a step is as long as a report period, otherwise of
// those with the given phase.
func (s *simulation) reports(phase int) {
	all := s.stepMs() >= s.reportEveryMs()
	load := s.load()
	for index, server := range s.servers {
		if all || server.phase == phase {
			s.report(server, load[index])
		}
	}
	for _, proxy := range s.proxies {
		if proxy.joined && (all || proxy.id%s.reportPhases() == phase) {
			s.reportDemand(proxy)
		}
	}
}

func (s *simulation) decide() {
	decisions := 0
	for decisions < maxDecisions && s.planner.Next(s) {
		decisions++
	}
	s.observed.maxDecisionsAtOnce = max(s.observed.maxDecisionsAtOnce, decisions)
}

func (s *simulation) run() []byte {
	for number := 0; s.elapsed() < scenarioMs; number++ {
		s.step(number)
	}
	return s.digest.Finish(s.elapsed())
}

// TestDigest compares all decisions of seeded scenarios, and their times, with the digests in testdata. Update these with
// go test ./policy -run Digest -update, and only in a commit that states which behaviour changed and why.
func TestDigest(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(fmt.Sprint("seed", s.seed), func(t *testing.T) {
			t.Parallel()
			simulated := newSimulation(s)
			lines := simulated.run()
			simulated.observed.check(t, s)
			golden.Check(t, fmt.Sprintf("testdata/digest-%d.txt", s.seed), lines)
		})
	}
}

// check fails the test if an event that the digest is to cover did not occur.
func (o observed) check(t *testing.T, s scenario) {
	t.Helper()
	t.Logf("%s: %+v", s.name, o)
	occurrences := []struct {
		what  string
		count int
	}{
		{"ejections of warm servers", o.ejections},
		{"readmissions", o.readmissions},
		{"weight increases of cold servers", o.slowStarts},
		{"cuts of admission rates", o.admissionCuts},
		{"increases of admission rates", o.admissionRaises},
		{"load reports of overloaded servers", o.overloads},
		{"ejections of draining servers", o.drains},
		{"readmissions of removed servers", o.forgotten},
		{"assigned tables", o.assignments},
		{"requests for acknowledgements", o.acknowledgementRequests},
	}
	for _, occurrence := range occurrences {
		if occurrence.count == 0 {
			t.Errorf("%s: no %s occurred", s.name, occurrence.what)
		}
	}
	if s.settings.WatchRequired != (o.polls > 0) {
		t.Errorf("%s: the endpoint list was polled %d times", s.name, o.polls)
	}
	if o.maxDecisionsAtOnce >= maxDecisions {
		t.Errorf("%s: Next does not stop making decisions", s.name)
	}
}
