// Package rehearsal plays scripted days on loopback: a real planner, plain proxies, stand-in servers and clients, with
// all links through relays, and the rules judged from what passed.
package rehearsal

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"path/filepath"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/list"
	"lichenpick/internal/orders"
	"lichenpick/internal/planner"
	"lichenpick/internal/proxy"
	"lichenpick/internal/rules"
	"lichenpick/internal/settings"
	"lichenpick/internal/standin"
	"lichenpick/proto/order"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

const plannerName = "planner-1"

// node is a server with its relay, under the address that the list shows.
type node struct {
	name    string
	zone    int
	server  *standin.Server
	set     *pb.Server
	relay   *standin.Relay
	address string
	size    float64
	fault   standin.Fault
	taken   bool // a trouble has it
}

// Hooks plant faults, to prove that the checker sees them.
type Hooks struct {
	Decider  func(planner.Decider) planner.Decider // wraps what decides
	Proxy    func(set *pb.Proxy)
	Planner  func(set *pb.Planner)
	Baseline string // even, size; empty: the module
}

// fleet is one running day.
type fleet struct {
	script *script.Script
	hooks  Hooks
	clock  clock.Clock
	net    clock.Network
	log    *slog.Logger
	chance *rand.Rand
	dir    string
	judge  *judge
	group  *errgroup.Group

	registry     *standin.Registry
	listRelay    *standin.Relay
	plannerRelay *standin.Relay
	crowd        *standin.Crowd

	mu      sync.Mutex
	nodes   []*node
	proxies []string // HTTP addresses
	names   []string // of proxies
	links   map[int]linkRule
	rule    int
	replica int
	stopper func() // ends the planner that runs now
	ended   chan struct{}
	status  []*planner.Status
	refused error
}

// linkRule says what is wrong with links from a zone's address to a server's zone, or to the planner.
type linkRule func(from netip.Addr, to *node) standin.Link

func zoneAddress(zone int) string { return fmt.Sprintf("127.%d.0.1", zone+1) }

func newFleet(s *script.Script, h Hooks, dir string, log *slog.Logger) *fleet {
	c := clock.NewReal()
	f := &fleet{script: s, hooks: h, clock: c, net: clock.TCP{}, log: log, chance: rand.New(rand.NewSource(int64(s.GetSeed()))),
		dir: dir, links: map[int]linkRule{}}
	lim := rules.Limits{BareMs: settings.Ms(s.BareWithin), GraceMs: settings.Ms(s.Limits.DrainGrace), WarmUpMs: settings.Ms(s.Limits.WarmUp),
		MissingMs: 10000, FallMs: settings.Ms(s.Limits.FallWindow), FallMultiple: s.Servers.GetFallMultiple(),
		WorkMs: settings.Ms(s.Servers.Work), HandshakeMs: settings.Ms(s.Servers.Handshake),
		MostWaiting: float64(s.Channel.GetMostWaiting()), MostMessages: int(s.Channel.GetMostMessages()),
		SpanMs: settings.Ms(s.Channel.MessageSpan), SlackMs: 100, Capacity: f.coldCapacity}
	for _, g := range s.Groups {
		lim.Repeats = append(lim.Repeats, map[pb.Repeat]rules.Repeat{pb.Repeat_NON_RETRIABLE: rules.Never, pb.Repeat_DEDUPED: rules.Keyed,
			pb.Repeat_RETRIABLE: rules.Always}[g.Repeat])
		lim.OnlyZone = append(lim.OnlyZone, g.OnlyZone)
	}
	wall := float64(c.Wall().UnixMicro())/1000 - c.Mono()
	f.judge = &judge{checker: rules.NewChecker(lim), odd: map[string]int{}, toMono: func(us uint64) float64 { return float64(us)/1000 - wall }}
	return f
}

// coldCapacity is what the checker asks of a cold stand-in, in ms of work a ms; 0 for a warm one.
func (f *fleet) coldCapacity(address string, at float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.address == address {
			born := n.server.Born()
			if born == 0 || at-born >= settings.Ms(n.set.WarmUp) {
				return 0
			}
			return standin.Capacity(n.set, at-born, true)
		}
	}
	return 0
}

// start brings up everything but the clients.
func (f *fleet) start(ctx context.Context, group *errgroup.Group) error {
	f.group = group
	f.registry = &standin.Registry{Clock: f.clock, LateMs: settings.Ms(f.script.ListedLate)}
	at, err := f.registry.Start(ctx, f.net)
	if err != nil {
		return err
	}
	f.listRelay = &standin.Relay{Clock: f.clock, Network: f.net, Watch: func(netip.Addr) standin.Watch {
		return &listWatch{j: f.judge, planner: plannerName, down: orders.NewDecoder(watchedFrame)}
	}}
	if _, err = f.listRelay.Start(ctx, "127.0.0.1:0", at); err != nil {
		return err
	}
	for zone, p := range f.script.Places {
		for range p.GetServers() {
			if _, err := f.add(ctx, zone, false); err != nil {
				return err
			}
		}
	}
	f.plannerRelay = &standin.Relay{Clock: f.clock, Network: f.net, Watch: func(netip.Addr) standin.Watch { return newStreamWatch(f.judge, plannerName) }}
	if _, err := f.plannerRelay.Start(ctx, "127.0.0.1:0", ""); err != nil {
		return err
	}
	if err := f.startPlanner(ctx); err != nil {
		return err
	}
	return f.startProxies(ctx)
}

// add starts a server, and lists it.
func (f *fleet) add(ctx context.Context, zone int, cold bool) (*node, error) {
	s := f.script.Servers
	f.mu.Lock()
	f.replica++
	name := fmt.Sprintf("%s-%d", f.script.Places[zone].Name, f.replica)
	speed := s.GetSlowest() + f.chance.Float64()*(s.GetFastest()-s.GetSlowest())
	seed := uint64(f.chance.Int63())
	f.mu.Unlock()
	set := &pb.Server{Name: name, Listen: zoneAddress(zone) + ":0", Zone: f.script.Places[zone].Name, Cores: s.Cores, Speed: &speed, Work: s.Work,
		Waiting: s.Waiting, Connections: f.script.Limits.LeastConnections, Handshake: s.Handshake, ColdShare: f.script.Limits.ColdShare,
		WarmUp: f.script.Limits.WarmUp, FallWindow: f.script.Limits.FallWindow, FallMultiple: s.FallMultiple, DedupWindow: "2.5s", Seed: &seed}
	n := &node{name: name, zone: zone, set: set, size: float64(s.GetCores()), server: standin.NewServer(set, f.clock, f.net, f.log, &standin.Dedup{})}
	at, err := n.server.Start(ctx, cold)
	if err != nil {
		return nil, err
	}
	groups := map[string]int{}
	for g, row := range f.script.Groups {
		groups[row.Name] = g
	}
	n.relay = &standin.Relay{Clock: f.clock, Network: f.net, Watch: func(netip.Addr) standin.Watch {
		f.judge.mu.Lock()
		f.judge.checker.Connected(n.address, f.clock.Mono())
		f.judge.mu.Unlock()
		return &flowWatch{j: f.judge, server: n.address, groups: groups}
	}}
	if n.address, err = n.relay.Start(ctx, zoneAddress(zone)+":0", at); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.relink()
	f.show(n, 0)
	return n, nil
}

// show puts a server's state into the list.
func (f *fleet) show(n *node, state uint32) {
	born := uint64(0)
	if b := n.server.Born(); b > 0 {
		born = uint64(float64(f.clock.Wall().UnixMilli()) - (f.clock.Mono() - b))
	}
	f.registry.Set(n.address, f.script.Places[n.zone].Name, state, n.size, born)
}

// relink tells all relays what is wrong with their links now.
func (f *fleet) relink() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]linkRule, 0, len(f.links))
	for n := range f.rule {
		if r := f.links[n]; r != nil {
			all = append(all, r)
		}
	}
	join := func(to *node) func(netip.Addr) standin.Link {
		if len(all) == 0 {
			return nil
		}
		return func(from netip.Addr) (sum standin.Link) {
			for _, r := range all {
				l := r(from, to)
				sum.DelayMs, sum.ConnectMs = max(sum.DelayMs, l.DelayMs), max(sum.ConnectMs, l.ConnectMs)
				sum.Cut, sum.Stall, sum.After = sum.Cut || l.Cut, sum.Stall || l.Stall, max(sum.After, l.After)
			}
			return sum
		}
	}
	for _, n := range f.nodes {
		n.relay.Set(join(n))
	}
	if f.plannerRelay != nil {
		f.plannerRelay.Set(join(nil))
	}
}

// link adds what is wrong with links, and gives how to end it.
func (f *fleet) link(r linkRule) (end func()) {
	f.mu.Lock()
	n := f.rule
	f.rule, f.links[n] = n+1, r
	f.mu.Unlock()
	f.relink()
	return func() {
		f.mu.Lock()
		delete(f.links, n)
		f.mu.Unlock()
		f.relink()
	}
}

func (f *fleet) plannerSettings() *pb.Planner {
	s := f.script
	proxies := uint32(0)
	set := &pb.Planner{Name: plannerName, Listen: "127.0.0.1:0", Groups: s.Groups, Channel: s.Channel, Reports: s.Reports, Servers: s.Limits,
		Streams: &pb.Streams{}, List: &pb.ListSource{Keep: filepath.Join(f.dir, "list.txtpb"),
			From: &pb.ListSource_Stream{Stream: &pb.StreamList{Address: "127.0.0.1:1", Redial: "200ms"}}},
		Dump: filepath.Join(f.dir, "dump.txt")}
	for n, p := range s.Places {
		proxies += p.GetProxies()
		set.Zones = append(set.Zones, &pb.Zone{Name: p.Name, Prefixes: []string{fmt.Sprintf("127.%d.0.0/16", n+1)}})
	}
	set.Proxies = &proxies
	if f.hooks.Planner != nil {
		f.hooks.Planner(set)
	}
	return set
}

// startPlanner runs a planner and points the proxies' way at it.
func (f *fleet) startPlanner(ctx context.Context) error {
	set := &pb.Planner{}
	// Read back through the check, which fills in what the script leaves to the settings' own defaults.
	if err := settings.Parse("planner of the rehearsal", []byte(settings.Print(f.plannerSettings())), set); err != nil {
		return err
	}
	var decider planner.Decider
	switch f.hooks.Baseline {
	case "":
		decider = planner.NewModule(set)
	default:
		decider = newEven(f.hooks.Baseline == "size", len(set.Groups))
	}
	if f.hooks.Decider != nil {
		decider = f.hooks.Decider(decider)
	}
	running, cancel := context.WithCancel(ctx)
	ready := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	ended := make(chan struct{})
	f.group.Go(func() error {
		defer close(ended)
		err := planner.Run(running, planner.Options{Settings: set, Clock: f.clock, Network: f.net, Log: f.log, Decider: decider,
			Source: &list.Stream{Address: f.listRelay.Address(), RedialMs: 200, SilentMs: 5000, FrameBytes: 16 << 20, Clock: f.clock, Network: f.net},
			Ready:  func(a net.Addr) { ready <- a },
			Status: func(s *planner.Status) {
				f.mu.Lock()
				f.status = append(f.status, s)
				f.mu.Unlock()
			}})
		if err != nil {
			failed <- err
		}
		return err
	})
	select {
	case a := <-ready:
		f.plannerRelay.Target(a.String())
	case err := <-failed:
		cancel()
		return err
	case <-ctx.Done():
		cancel()
		return ctx.Err()
	}
	f.mu.Lock()
	f.stopper, f.ended = cancel, ended
	f.mu.Unlock()
	return nil
}

// stopPlanner ends the planner, by a goodbye or without a word after some bytes of each stream.
func (f *fleet) stopPlanner(kill bool, after int) {
	f.mu.Lock()
	stop, ended := f.stopper, f.ended
	f.mu.Unlock()
	relinked := func() {}
	if kill {
		relinked = f.link(func(_ netip.Addr, to *node) standin.Link { return standin.Link{Cut: to == nil, After: after} })
		if after > 0 {
			clock.Sleep(context.Background(), f.clock, 50)
		}
	}
	stop()
	<-ended
	f.plannerRelay.Break(func(netip.Addr) bool { return true })
	relinked()
	f.judge.mu.Lock()
	f.judge.checker.PlannerGone(plannerName, f.clock.Mono())
	f.judge.mu.Unlock()
}

func (f *fleet) startProxies(ctx context.Context) error {
	var all []*order.Listing_Entry = f.registry.Entries()
	for zone, p := range f.script.Places {
		var near []string
		var any []string
		for _, e := range all {
			if any = append(any, e.Server); e.Zone == p.Name {
				near = append(near, e.Server)
			}
		}
		if len(near) < 3 {
			near = any
		}
		for k := range p.GetProxies() {
			set := &pb.Proxy{Name: fmt.Sprintf("edge-%s-%d", p.Name, k), Listen: zoneAddress(zone) + ":0", Zone: p.Name, From: zoneAddress(zone),
				Planners: []string{f.plannerRelay.Address()}, Groups: cloneGroups(f.script.Groups), Pick: f.script.Pick, ReportEvery: f.script.Reports.Every,
				ConnectionIdle: f.script.Limits.ConnectionIdle, Seed: proto.Uint64(uint64(f.chance.Int63())),
				Usual: fmt.Sprintf("%g/s", max(settings.PerS(f.script.Traffic.Rate)/float64(max(f.count(), 1)), 0.001))}
			for _, i := range f.chance.Perm(len(near))[:min(int(f.script.GetStanding()), len(near))] {
				set.Standing = append(set.Standing, near[i])
			}
			if f.hooks.Proxy != nil {
				f.hooks.Proxy(set)
			}
			full := &pb.Proxy{}
			if err := settings.Parse("proxy of the rehearsal", []byte(settings.Print(set)), full); err != nil {
				return err
			}
			ready := make(chan net.Addr, 1)
			x := proxy.New(proxy.Options{Settings: full, Clock: f.clock, Network: f.net, Log: f.log, Ready: func(a net.Addr) { ready <- a }})
			failed := make(chan error, 1)
			f.group.Go(func() error {
				err := x.Run(ctx)
				failed <- err
				return err
			})
			select {
			case a := <-ready:
				f.proxies, f.names = append(f.proxies, a.String()), append(f.names, full.Name)
			case err := <-failed:
				return err
			}
		}
	}
	return nil
}

func cloneGroups(groups []*pb.Group) (out []*pb.Group) {
	for _, g := range groups {
		out = append(out, proto.Clone(g).(*pb.Group))
	}
	return out
}

func (f *fleet) count() (n int) {
	for _, p := range f.script.Places {
		n += int(p.GetProxies())
	}
	return n
}

// quiet is a log that goes nowhere.
func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
