package platform

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// modelProxy models a proxy by the protocol: it has a weight table for each traffic class, and ejected servers.
type modelProxy struct {
	id            int
	connection    *Connection // nil while the proxy is disconnected
	rejoinedMs    float64     // ms since the start; time at which the proxy last rejoined
	assigned      bool        // the proxy has applied a table since it joined
	weights       map[string]map[string]float64
	ejected       map[string]bool
	lastArrivalMs float64
	sentMs        []float64 // times of the recent updates on this stream
}

func newModelProxy(id int, classes []string) *modelProxy {
	p := &modelProxy{id: id, weights: map[string]map[string]float64{}, ejected: map[string]bool{}}
	for _, class := range classes {
		p.weights[class] = map[string]float64{}
	}
	return p
}

// inheritTables gives a proxy a random table and random ejections, as another planner may have left them.
func (p *modelProxy) inheritTables(random *rand.Rand, servers []policy.Endpoint) {
	const (
		inheritedEntries   = 25
		inheritedEjections = 10
	)
	for _, index := range random.Perm(len(servers))[:inheritedEntries] {
		for _, weights := range p.weights {
			weights[servers[index].Server] = 1.0 / inheritedEntries
		}
	}
	for _, index := range random.Perm(len(servers))[:inheritedEjections] {
		p.ejected[servers[index].Server] = true
	}
}

// apply applies an update, and returns the numbers of the acknowledgements that the update requests.
func (p *modelProxy) apply(update string) []string {
	var stamps []string
	for line := range strings.Lines(update) {
		classes := slices.Collect(maps.Keys(p.weights))
		for _, word := range strings.Fields(line)[1:] {
			name, value, _ := strings.Cut(word, "=")
			switch name {
			case "for":
				classes = strings.Split(value, "+")
			case "stamp":
				stamps = append(stamps, value)
			case "drop", "undrop":
				for server := range strings.SplitSeq(value, ",") {
					p.ejected[server] = name == "drop"
				}
			case "replace", "rows":
				p.assigned = p.assigned || name == "replace"
				for _, class := range classes {
					p.changeTable(class, name, value)
				}
			}
		}
	}
	return stamps
}

func (p *modelProxy) changeTable(class, field, value string) {
	if field == "replace" {
		p.weights[class] = map[string]float64{}
		return
	}
	for entry := range strings.SplitSeq(value, ",") {
		server, text, _ := strings.Cut(entry, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil {
			panic("entry with an invalid weight: " + entry)
		}
		if p.weights[class][server] = weight; weight == 0 {
			delete(p.weights[class], server)
		}
	}
}

// eligibleServers yields the servers that requests of a traffic class may be sent to.
func (p *modelProxy) eligibleServers(class string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for server := range p.weights[class] {
			if !p.ejected[server] && !yield(server) {
				return
			}
		}
	}
}

// countEntries returns the number of entries that the channel counts for an update, without the overhead of its message.
func countEntries(update string) int {
	count := 0
	for word := range strings.FieldsSeq(update) {
		switch name, value, _ := strings.Cut(word, "="); name {
		case "rows", "drop", "undrop":
			count += 1 + strings.Count(value, ",")
		case "replace", "gate", "stamp":
			count++
		}
	}
	return count
}

// delivery is an update in transit.
type delivery struct {
	proxy             *modelProxy
	connection        *Connection
	update            string
	sentMs, appliedMs float64 // ms since the start
}

// modelFleet simulates the proxies of one planner and the channel to them. The channel sends one update after another at
// EntriesPerSecond; each update then takes up to MaxPropagationMs to arrive. It implements Host.
type modelFleet struct {
	*Core
	t               *testing.T
	random          *rand.Rand
	atMs            float64 // ms since the start
	servers         []policy.Endpoint
	notReadySinceMs map[string]float64 // by server: when the planner was notified that the server drains or is removed
	proxies         []*modelProxy
	streams         map[*Connection]*modelProxy
	deliveries      []delivery
	channelFreeMs   float64 // when all waiting updates will have left the channel
	maxBacklog      float64 // highest number of entries that waited in the channel
	maxMessages     int     // highest number of messages to one proxy within MessageWindowMs
	latestPickMs    float64 // longest time for which a server could be picked after the planner was notified that it is not ready
	violations      map[string]bool
}

func newModelFleet(t *testing.T, site simulator.Settings, servers int, seed int64) *modelFleet {
	t.Helper()
	f := &modelFleet{
		Core:            NewCore(site, seed, testOriginMs),
		t:               t,
		random:          rand.New(rand.NewSource(seed)),
		servers:         testEndpoints(servers, policy.Ready),
		notReadySinceMs: map[string]float64{},
		streams:         map[*Connection]*modelProxy{},
		violations:      map[string]bool{},
	}
	f.UpdateEndpoints(policy.RestoredUpdate, f.servers)
	for id := range site.Policy.Proxies {
		f.proxies = append(f.proxies, newModelProxy(id, site.Classes))
	}
	return f
}

// Send adds an update to the channel.
func (f *modelFleet) Send(connection *Connection, update []byte) {
	p := f.streams[connection]
	limits := f.settings.Policy
	entries := float64(countEntries(string(update))) + limits.MessageOverhead
	f.channelFreeMs = max(f.channelFreeMs, f.atMs) + entries/limits.EntriesPerSecond*millisecondsPerSecond
	f.maxBacklog = max(f.maxBacklog, (f.channelFreeMs-f.atMs)*limits.EntriesPerSecond/millisecondsPerSecond)
	p.lastArrivalMs = max(p.lastArrivalMs, f.channelFreeMs+f.random.Float64()*limits.MaxPropagationMs)
	f.deliveries = append(f.deliveries, delivery{p, connection, string(update), f.atMs, p.lastArrivalMs})
	p.sentMs = slices.DeleteFunc(append(p.sentMs, f.atMs), func(atMs float64) bool { return atMs <= f.atMs-limits.MessageWindowMs })
	f.maxMessages = max(f.maxMessages, len(p.sentMs))
}

func (f *modelFleet) CloseConnection(_ *Connection, reason CloseReason, err error) {
	f.t.Errorf("stream closed: %v, %v", reason, err)
}

func (f *modelFleet) SetTimer(float64) {}

// join opens the stream of a proxy. With inherits, the proxy has tables of another planner.
func (f *modelFleet) join(p *modelProxy, inherits bool) {
	newFlag := 1
	if inherits {
		newFlag = 0
	}
	p.connection = &Connection{}
	p.assigned = false
	p.sentMs = nil
	f.streams[p.connection] = p
	f.HandleConnect(p.connection)
	f.HandleData(p.connection, fmt.Appendf(nil, "joined id=%d site=%s rps=8 new=%d\r\n", p.id, zoneNames[p.id%2], newFlag))
}

func (f *modelFleet) leave(p *modelProxy) {
	f.HandleDisconnect(p.connection)
	p.connection = nil
}

// drain notifies the planner that servers drain or, for every third server, that it is removed.
func (f *modelFleet) drain(servers []policy.Endpoint) {
	for index := range servers {
		servers[index].State = policy.Draining
		if index%3 == 0 {
			servers[index].State = policy.Removed
		}
		f.notReadySinceMs[servers[index].Server] = f.atMs
	}
	f.UpdateEndpoints(policy.DeltaUpdate, servers)
}

// deliver makes proxies apply and acknowledge the updates that have arrived. Updates of earlier streams are lost.
func (f *modelFleet) deliver() {
	slices.SortStableFunc(f.deliveries, func(a, b delivery) int { return cmp.Compare(a.appliedMs, b.appliedMs) })
	for len(f.deliveries) > 0 && f.deliveries[0].appliedMs <= f.atMs {
		d := f.deliveries[0]
		f.deliveries = f.deliveries[1:]
		if d.connection != d.proxy.connection {
			continue
		}
		for _, stamp := range d.proxy.apply(d.update) {
			f.HandleData(d.connection, fmt.Appendf(nil, "applied id=%d seq=%s ms=%.0f\r\n", d.proxy.id, stamp, d.appliedMs-d.sentMs))
		}
	}
}

// step advances the time by testStepMs, and then checks each proxy.
func (f *modelFleet) step() {
	f.atMs += testStepMs
	f.SetTime(testOriginMs + f.atMs)
	f.deliver()
	for f.Next(f) {
		continue
	}
	for _, p := range f.proxies {
		if p.connection != nil {
			f.checkPicks(p)
		}
	}
}

// checkPicks checks that a proxy with an assigned table can pick a ready server, and that it can pick no other server once
// the drain grace is over, counted from the notification of the planner or the return of the proxy, whichever is later.
func (f *modelFleet) checkPicks(p *modelProxy) {
	for _, class := range f.settings.Classes {
		ready := false
		for server := range p.eligibleServers(class) {
			sinceMs, notReady := f.notReadySinceMs[server]
			ready = ready || !notReady
			if !notReady {
				continue
			}
			lateMs := f.atMs - max(sinceMs, p.rejoinedMs)
			f.latestPickMs = max(f.latestPickMs, lateMs)
			if lateMs > f.settings.Policy.DrainGraceMs+graceSlackMs {
				f.violations[fmt.Sprintf("proxy %d may still pick %s", p.id, server)] = true
			}
		}
		if p.assigned && !ready {
			f.violations[fmt.Sprintf("proxy %d has no ready server", p.id)] = true
		}
	}
}

// checkComplete checks that each proxy holds the table that the planner has decided for it. Only the entries of ejected
// servers may still be omitted.
func (f *modelFleet) checkComplete() {
	f.t.Helper()
	for _, p := range f.proxies {
		for class, name := range f.settings.Classes {
			table := p.connection.proxy.tables[class]
			if table == nil {
				f.t.Errorf("proxy %d was not assigned a table", p.id)
				continue
			}
			decided := map[string]float64{}
			for _, entry := range table.Entries {
				ejected := f.publisher.registry.Ejected[entry.Server]
				if _, held := p.weights[name][entry.Server]; held && p.ejected[entry.Server] != ejected {
					f.t.Errorf("proxy %d: ejection of %s is %t", p.id, entry.Server, !ejected)
				} else if held || !ejected {
					decided[entry.Server] = entry.Weight
				}
			}
			if !maps.Equal(decided, p.weights[name]) {
				f.t.Errorf("proxy %d has table %v, want %v", p.id, p.weights[name], decided)
			}
		}
	}
}
