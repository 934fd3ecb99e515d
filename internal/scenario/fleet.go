// Package scenario plays scripted days on loopback: a real planner, plain proxies, stand-in servers and clients, with
// all links through relays, and the rules judged from what passed.
package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"os/exec"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
	"lichenpick/internal/planner"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// node is a server with its relay, under the address that the list shows.
type node struct {
	name    string
	zone    int
	server  *fake.Server
	set     *pb.Server
	relay   *fake.Relay
	address string
	size    float64
	fault   fake.Fault
	taken   bool // a trouble has it
	control *control
}

// Hooks plant faults, to prove that the checker sees them.
type Hooks struct {
	Spawn          func(file string) *exec.Cmd           // runs a planner as a process, with log to standard error; needed for more than one
	DisableFencing bool                                  // proxies do not check epochs
	SinglePlanner  bool                                  // one planner, whatever the script says
	Unshared       bool                                  // several that share nothing
	Decider        func(planner.Decider) planner.Decider // wraps what decides
	Proxy          func(set *pb.Proxy)
	Planner        func(set *pb.Planner)
	Baseline       string // even, size; empty: the module
}

// fleet is one running day.
type fleet struct {
	script  *script.Script
	hooks   Hooks
	clock   clock.Clock
	net     clock.Network
	log     *slog.Logger
	chance  *rand.Rand
	dir     string
	judge   *judge
	group   *errgroup.Group
	running context.Context // of the whole day

	registry *fake.EndpointRegistry
	controls []*control
	crowd    *fake.LoadGenerator

	mu      sync.Mutex
	nodes   []*node
	proxies []string // HTTP addresses
	names   []string // of proxies
	links   map[int]linkRule
	rule    int
	replica int
	status  []*planner.Status
	hung    int     // planners that did not end when told
	cpuMs   float64 // of planners that run as processes
}

// linkRule says what is wrong with links from a zone's address to a server, or to a planner: a node with a control.
type linkRule func(from netip.Addr, to *node) fake.LinkFault

// zoneAddress is where a zone's proxies dial from, and listenAddress where its parties listen: a port that is listened at
// again after a restart must not have gone to a connection meanwhile.
func zoneAddress(zone int) string   { return fmt.Sprintf("127.%d.0.1", zone+1) }
func listenAddress(zone int) string { return fmt.Sprintf("127.%d.1.1", zone+1) }

func newFleet(s *script.Script, h Hooks, dir string, log *slog.Logger) *fleet {
	c := clock.NewReal()
	f := &fleet{
		script: s, hooks: h, clock: c, net: clock.TCP{}, log: log, chance: rand.New(rand.NewSource(int64(s.GetSeed()))),
		dir: dir, links: map[int]linkRule{},
	}
	lim := invariant.Limits{
		NoServerMs: settings.Milliseconds(s.BareWithin), DrainGraceMs: settings.Milliseconds(s.Limits.DrainGrace), SlowStartMs: settings.Milliseconds(s.Limits.WarmUp),
		MissingMs: 10000, ColdOverloadWindowMs: settings.Milliseconds(s.Limits.FallWindow), ColdOverloadMultiple: s.Servers.GetFallMultiple(),
		WorkMs: settings.Milliseconds(s.Servers.Work), HandshakeMs: settings.Milliseconds(s.Servers.Handshake),
		MaxBacklog: float64(s.Channel.GetMostWaiting()), MaxMessages: int(s.Channel.GetMostMessages()),
		MessageWindowMs: settings.Milliseconds(s.Channel.MessageSpan), SlackMs: 100, Capacity: f.coldCapacity,
	}
	for _, g := range s.Groups {
		lim.Idempotency = append(lim.Idempotency, map[pb.Repeat]invariant.Idempotency{
			pb.Repeat_NON_RETRIABLE: invariant.NonIdempotent, pb.Repeat_DEDUPED: invariant.Deduplicated,
			pb.Repeat_RETRIABLE: invariant.Idempotent,
		}[g.Repeat])
		lim.SameZoneOnly = append(lim.SameZoneOnly, g.OnlyZone)
	}
	wall := float64(c.WallTime().UnixMicro())/1000 - c.Monotonic()
	f.judge = &judge{checker: invariant.NewChecker(lim), odd: map[string]int{}, toMono: func(us uint64) float64 { return float64(us)/1000 - wall }}
	return f
}

// coldCapacity is what the checker asks of a cold stand-in, in ms of work a ms; 0 for a warm one.
func (f *fleet) coldCapacity(address string, at float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.address == address {
			born := n.server.StartedMs()
			if born == 0 || at-born >= settings.Milliseconds(n.set.WarmUp) {
				return 0
			}
			return fake.Capacity(n.set, at-born, true)
		}
	}
	return 0
}

// start brings up everything but the clients.
func (f *fleet) start(ctx context.Context, group *errgroup.Group) error {
	f.group, f.running = group, ctx
	f.registry = &fake.EndpointRegistry{Clock: f.clock, DelayMs: settings.Milliseconds(f.script.ListedLate)}
	at, err := f.registry.Start(ctx, f.net)
	if err != nil {
		return err
	}
	for zone, p := range f.script.Places {
		for range p.GetServers() {
			if _, err := f.add(ctx, zone, false); err != nil {
				return err
			}
		}
	}
	for n := range f.planners() {
		c, err := f.newControl(ctx, n, at)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, c)
	}
	for _, c := range f.controls {
		if err := c.start(ctx); err != nil {
			return err
		}
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
	set := &pb.Server{
		Name: name, Listen: listenAddress(zone) + ":0", Zone: f.script.Places[zone].Name, Cores: s.Cores, Speed: &speed, Work: s.Work,
		Waiting: s.Waiting, Connections: f.script.Limits.LeastConnections, Handshake: s.Handshake, ColdShare: f.script.Limits.ColdShare,
		WarmUp: f.script.Limits.WarmUp, FallWindow: f.script.Limits.FallWindow, FallMultiple: s.FallMultiple, DedupWindow: "2.5s", Seed: &seed,
	}
	n := &node{name: name, zone: zone, set: set, size: float64(s.GetCores()), server: fake.NewServer(set, f.clock, f.net, f.log, &fake.Deduplicator{})}
	at, err := n.server.Start(ctx, cold)
	if err != nil {
		return nil, err
	}
	groups := map[string]int{}
	for g, row := range f.script.Groups {
		groups[row.Name] = g
	}
	n.relay = &fake.Relay{Clock: f.clock, Network: f.net, Observe: func(netip.Addr) fake.Observer {
		f.judge.mu.Lock()
		f.judge.checker.RecordConnection(n.address, f.clock.Monotonic())
		f.judge.mu.Unlock()
		return &flowWatch{j: f.judge, server: n.address, groups: groups}
	}}
	if n.address, err = n.relay.Start(ctx, listenAddress(zone)+":0", at); err != nil {
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
	if b := n.server.StartedMs(); b > 0 {
		born = uint64(float64(f.clock.WallTime().UnixMilli()) - (f.clock.Monotonic() - b))
	}
	f.registry.SetEndpoint(n.address, f.script.Places[n.zone].Name, state, n.size, born)
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
	join := func(to *node) func(netip.Addr) fake.LinkFault {
		if len(all) == 0 {
			return nil
		}
		return func(from netip.Addr) (sum fake.LinkFault) {
			for _, r := range all {
				l := r(from, to)
				sum.DelayMs, sum.ConnectMs = max(sum.DelayMs, l.DelayMs), max(sum.ConnectMs, l.ConnectMs)
				sum.Cut, sum.Stall, sum.After = sum.Cut || l.Cut, sum.Stall || l.Stall, max(sum.After, l.After)
			}
			return sum
		}
	}
	for _, n := range f.nodes {
		n.relay.SetFaults(join(n))
	}
	for _, c := range f.controls {
		c.relay.SetFaults(join(c.node))
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

func (f *fleet) startProxies(ctx context.Context) error {
	all := f.registry.Endpoints()
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
			var planners []string // its own first, where nothing is shared
			for n := range f.controls {
				planners = append(planners, f.controls[(len(f.proxies)+n)%len(f.controls)].relay.Address())
			}
			set := &pb.Proxy{
				Name: fmt.Sprintf("edge-%s-%d", p.Name, k), Listen: listenAddress(zone) + ":0", Zone: p.Name, From: zoneAddress(zone),
				Planners: planners, Sharing: f.shared(), Groups: cloneGroups(f.script.Groups), Pick: f.script.Pick, ReportEvery: f.script.Reports.Every,
				ConnectionIdle: f.script.Limits.ConnectionIdle, Seed: proto.Uint64(uint64(f.chance.Int63())),
				Usual: fmt.Sprintf("%g/s", max(settings.PerSecond(f.script.Traffic.Rate)/float64(max(f.count(), 1)), 0.001)),
			}
			for _, i := range f.chance.Perm(len(near))[:min(int(f.script.GetStanding()), len(near))] {
				set.Standing = append(set.Standing, near[i])
			}
			if f.hooks.Proxy != nil {
				f.hooks.Proxy(set)
			}
			full := &pb.Proxy{}
			if err := settings.Parse("proxy of the rehearsal", []byte(settings.Format(set)), full); err != nil {
				return err
			}
			ready := make(chan net.Addr, 1)
			x := proxy.New(proxy.Options{
				Settings: full, Clock: f.clock, Network: f.net, Log: f.log, DisableFencing: f.hooks.DisableFencing,
				Ready: func(a net.Addr) { ready <- a },
			})
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

// discardLogger is a log that goes nowhere.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
