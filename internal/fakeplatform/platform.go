// Package fakeplatform models the operators' platform around one or more planners: discovery, proxies with the channel to them,
// servers that warm up, clients that retry, and load reports. It speaks the platform's protocol, and knows of a planner no more
// than that. The model runs on events: in simulated time with planners in the same process, or on a real clock with planners
// that are processes of their own.
//
// All times are in ms since the start of the model, and all chance comes from one seed.
package fakeplatform

import (
	"fmt"
	"math/rand"
	"slices"

	"lichenpick/internal/eventqueue"
	"lichenpick/policy"
)

// Planner is a planner as the platform sees it. The model calls its methods from events.
type Planner interface {
	// Start starts the planner, which knows the list and nothing else. It need not be ready when Start returns.
	Start(known List)
	// Stop ends the planner, as by SIGTERM. Its connections end.
	Stop()
	// Notify passes an endpoint list from discovery.
	Notify(list List)
	// Connect opens a connection. It returns an error while the planner takes no connections.
	Connect(peer Peer) (Connection, error)
}

// Peer is the platform's end of a connection. The owner of a connection calls its methods from events.
type Peer interface {
	Receive(line string) // a line from the planner, without its line end
	Lost()               // the connection has ended, by the planner or by a fault
}

// Connection is a connection to a planner. Errors of Send show as a call of Peer.Lost.
type Connection interface {
	Send(line string) // sends a line, which is given without its line end
	Close()
}

// Platform is the state of the model. Run its event queue to play it. Only the goroutine that does so may use it.
type Platform struct {
	eventqueue.Queue
	config   Config
	random   *rand.Rand
	planners []*plannerSlot
	servers  []*server
	byName   map[string]*server
	proxies  []*proxy
	version  int64 // of the endpoint list

	// Violations are the broken rules, one line each, in order of time.
	Violations []string
	// Overloaded are the servers that failed under too much load while they warmed up, whoever sent it.
	Overloaded []string
	// Tally counts the requests of clients by their outcome.
	Tally Tally
	// Note, if not nil, is called with each event of the model.
	Note func(text string)
}

// plannerSlot is the place of a planner, and what the platform knows of it.
type plannerSlot struct {
	number          int
	process         Planner
	running         bool
	channelFreeMs   float64           // when the channel will have sent the updates that wait in it
	notifiedVersion int64             // version of the last list that the planner was notified of
	notifiedMs      map[int64]float64 // when the planner was notified, by version of the list
	notifyDueMs     float64           // when the last notification arrives; notifications arrive in order
	listDelayMs     float64           // by which it is notified late
	collectors      []*collector
	loads           map[loadKey]*load // load reports to be sent
	nextReport      int               // index of the pair whose report is sent next
}

// New returns a platform with planners that are not started yet.
func New(config Config, planners ...Planner) *Platform {
	p := &Platform{
		config:  config,
		random:  rand.New(rand.NewSource(config.Seed)),
		byName:  map[string]*server{},
		version: firstVersion,
	}
	for number, process := range planners {
		p.planners = append(p.planners, &plannerSlot{
			number:     number,
			process:    process,
			notifiedMs: map[int64]float64{},
			loads:      map[loadKey]*load{},

			listDelayMs: config.MaxListDelayMs * p.random.Float64(),
		})
	}
	for number := range config.Servers {
		p.addServer(number)
	}
	for id := range config.Proxies {
		p.addProxy(id)
	}
	return p
}

// Begin starts the planners, lets collectors and proxies connect once these are ready, and starts the clients.
func (p *Platform) Begin() {
	for _, slot := range p.planners {
		p.StartPlanner(slot.number)
	}
	for _, proxy := range p.proxies {
		p.After(p.config.ReadyMs+p.random.Float64()*joinSpreadMs, proxy.connect)
	}
	p.After(p.config.ReadyMs+clientDelayMs, p.scheduleRequest)
}

// StartPlanner starts a planner from the list that it was notified of last.
func (p *Platform) StartPlanner(number int) {
	slot := p.planners[number]
	slot.running = true
	slot.notifiedVersion = p.version
	slot.notifiedMs = map[int64]float64{}
	for version := range p.version + 1 {
		slot.notifiedMs[version] = p.NowMs()
	}
	slot.channelFreeMs = 0
	slot.loads = map[loadKey]*load{}
	slot.process.Start(p.list(p.servers, true))
	p.note("planner %d started", number)
	slot.collectors = nil
	for zone := range p.config.Zones {
		connecting := &collector{platform: p, slot: slot, zone: zone}
		slot.collectors = append(slot.collectors, connecting)
		p.After(p.config.ReadyMs/2, connecting.connect)
	}
	p.After(p.config.ReadyMs, func() { p.scheduleReports(slot) })
}

// StopPlanner ends a planner. Its proxies go elsewhere.
func (p *Platform) StopPlanner(number int) {
	slot := p.planners[number]
	slot.running = false
	p.note("planner %d stopped", number)
	slot.process.Stop()
}

// publish notifies each planner of changed servers after a delay.
func (p *Platform) publish(delayMs float64, changed ...*server) {
	p.After(delayMs, func() {
		p.version++
		for _, server := range changed {
			if server.listed == policy.Ready {
				server.leftReadyVersion = p.version
			}
			server.listed = server.state
			server.listedStartMs = server.StartedMs()
			server.listedVersion = p.version
			p.note("list v%d %s %s %s", p.version, server.name, p.zoneName(server.zone), stateNames[server.state])
		}
		list := p.list(changed, false)
		for _, slot := range p.planners {
			slot.notifyDueMs = max(slot.notifyDueMs, p.NowMs()+slot.listDelayMs+p.random.Float64()*notifySpreadMs)
			p.After(slot.notifyDueMs-p.NowMs(), func() { p.notify(slot, list) })
		}
	})
}

func (p *Platform) notify(slot *plannerSlot, list List) {
	if !slot.running || list.Version <= slot.notifiedVersion {
		return
	}
	slot.notifiedVersion = list.Version
	slot.notifiedMs[list.Version] = p.NowMs()
	slot.process.Notify(list)
}

// list returns the entries of servers as the list shows them.
func (p *Platform) list(servers []*server, full bool) List {
	list := List{Version: p.version, Full: full}
	for _, server := range servers {
		if full && server.listed == policy.Removed {
			continue
		}
		entry := Entry{
			ID:     server.name,
			Addr:   unusedAddress,
			Zone:   p.zoneName(server.zone),
			State:  stateNames[server.listed],
			Weight: server.listedWeight,
		}
		if server.listedStartMs > 0 {
			entry.StartedMs = int64(p.config.OriginUnixMs + server.listedStartMs)
		}
		list.Servers = append(list.Servers, entry)
	}
	return list
}

func (p *Platform) zoneName(zone int) string { return p.config.Zones[zone] }

func (p *Platform) note(format string, arguments ...any) {
	if p.Note != nil {
		p.Note(fmt.Sprintf("%8.3f ", p.NowMs()/millisecondsPerSecond) + fmt.Sprintf(format, arguments...))
	}
}

func (p *Platform) violate(format string, arguments ...any) {
	text := fmt.Sprintf("%8.3f ", p.NowMs()/millisecondsPerSecond) + fmt.Sprintf(format, arguments...)
	p.Violations = append(p.Violations, text)
	p.note("VIOLATION "+format, arguments...)
}

// runningPlanners returns the planners that are not stopped.
func (p *Platform) runningPlanners() []*plannerSlot {
	return slices.DeleteFunc(slices.Clone(p.planners), func(slot *plannerSlot) bool { return !slot.running })
}
