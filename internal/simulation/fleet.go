package simulation

import (
	"fmt"
	"math"
	"math/rand"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/fake"
	"lichenpick/internal/planner"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

const (
	wayMs   = 0.3  // ms of a flow's way, each way; assumed for loopback
	orderMs = 2.0  // ms of a frame's way on an order stream
	epoch   = 1e12 // unix ms at which a day begins
)

// Result of a day.
type Result struct {
	Classes       []fake.Tally
	Seconds       []fake.Tally // by second of asking
	Service       float64      // utility within the latency budget, over utility asked for
	Messages      int
	Entries       float64
	ColdOverloads int
	Events        int
}

type fleet struct {
	sim
	script  *script.Script
	chance  *rand.Rand
	core    *planner.Core
	wakeAt  float64
	servers []*server
	byName  map[string]*server
	edges   []*edge
	factor  float64
	result  Result
	shares  []float64
	failed  error
}

// edge is a proxy: the product's core, and its stream.
type edge struct {
	f      *fleet
	core   *proxy.Core
	stream *planner.Stream
}

// Play plays a script's day with one planner. A trouble that is not emulated is an error.
func Play(s *script.Script) (*Result, error) {
	f := &fleet{script: s, chance: rand.New(rand.NewSource(int64(s.GetSeed()))), byName: map[string]*server{}, factor: 1, wakeAt: math.Inf(1)}
	if err := f.begin(); err != nil {
		return nil, err
	}
	warm, length := settings.Milliseconds(s.Warm), settings.Milliseconds(s.Length)
	for _, t := range s.Troubles {
		if err := f.trouble(t, warm); err != nil {
			return nil, err
		}
	}
	f.result.Classes, f.result.Seconds = make([]fake.Tally, len(s.Groups)), make([]fake.Tally, int(length/1000)+1)
	f.after(warm, func() { f.client(warm, warm+length) })
	last := 0.0 // flows in hand still end
	for _, g := range s.Groups {
		last = max(last, settings.Milliseconds(g.Expiry))
	}
	f.run(warm + length + last + 1000)
	if f.failed != nil {
		return nil, f.failed
	}
	r := &f.result
	possible := 0.0
	for _, t := range r.Classes {
		r.Service, possible = r.Service+t.Value, possible+t.MaxValue
	}
	r.Service /= math.Max(possible, 1e-9)
	for _, x := range f.servers {
		r.ColdOverloads += x.fell
	}
	r.Events = f.count
	return r, nil
}

func (f *fleet) begin() error {
	s := f.script
	set := &pb.Planner{
		Name: "planner-1", Listen: "127.0.0.1:1", Groups: s.Groups, Channel: s.Channel, Reports: s.Reports, Servers: s.Limits,
		Streams: &pb.Streams{}, List: &pb.ListSource{From: &pb.ListSource_File{File: &pb.FileList{Path: "x"}}},
	}
	proxies := 0
	for _, p := range s.Places {
		set.Zones = append(set.Zones, &pb.Zone{Name: p.Name})
		proxies += int(p.GetProxies())
	}
	set.Proxies = proto.Uint32(uint32(max(proxies, 1)))
	full := &pb.Planner{}
	if err := settings.Parse("planner of the emulator", []byte(settings.Format(set)), full); err != nil {
		return err
	}
	f.core = planner.NewCore(full, planner.NewPolicy(full), 1, 0)
	for zone, p := range s.Places {
		for range p.GetServers() {
			if _, err := f.add(zone); err != nil {
				return err
			}
		}
	}
	f.tellList(0, policy.FullUpdate, f.servers)
	total := 0.0
	for g := range s.Groups {
		x := 1.0
		if g < len(s.Traffic.Shares) {
			x = s.Traffic.Shares[g]
		} else if len(s.Traffic.Shares) > 0 {
			x = 0
		}
		f.shares, total = append(f.shares, x), total+x
	}
	for g := range f.shares {
		f.shares[g] /= total
	}
	for _, p := range s.Places {
		for k := range p.GetProxies() {
			e := &edge{f: f, stream: &planner.Stream{Address: netip.MustParseAddr("127.0.0.1")}}
			e.stream.Transport = e
			set := &pb.Proxy{
				Name: fmt.Sprintf("edge-%s-%d", p.Name, k), Listen: "127.0.0.1:1", Planners: []string{"127.0.0.1:1"}, Zone: p.Name, Groups: s.Groups,
				Pick: s.Pick, ReportEvery: s.Reports.Every, Seed: proto.Uint64(uint64(f.chance.Int63())),
			}
			full := &pb.Proxy{}
			if err := settings.Parse("proxy of the emulator", []byte(settings.Format(set)), full); err != nil {
				return err
			}
			e.core = proxy.NewCore(full, 0)
			f.edges = append(f.edges, e)
			join := &order.Join{Proxy: full.Name, Zone: p.Name, UsualPerS: settings.PerSecond(s.Traffic.Rate) / float64(proxies), Incarnation: 1, Stream: 1, Groups: uint32(len(s.Groups))}
			f.after(1+f.chance.Float64()*20, func() { f.hear(func() { f.core.HandleJoin(e.stream, join) }) })
			f.after(f.chance.Float64()*settings.Milliseconds(full.ReportEvery), func() { e.report(settings.Milliseconds(full.ReportEvery)) })
		}
	}
	return nil
}

// add makes a server that is long warm.
func (f *fleet) add(zone int) (*server, error) {
	m := f.script.Servers
	n := len(f.servers)
	set := &pb.Server{
		Name: fmt.Sprintf("node-%d", n), Listen: fmt.Sprintf("127.9.%d.%d:8000", n/250, n%250+1), Cores: m.Cores, Work: m.Work, Waiting: m.Waiting,
		Speed: proto.Float64(m.GetSlowest() + (m.GetFastest()-m.GetSlowest())*f.chance.Float64()), ColdShare: f.script.Limits.ColdShare, WarmUp: f.script.Limits.WarmUp,
		FallWindow: f.script.Limits.FallWindow, FallMultiple: m.FallMultiple,
	}
	full := &pb.Server{}
	if err := settings.Parse("server of the emulator", []byte(settings.Format(set)), full); err != nil {
		return nil, err
	}
	s := &server{sim: &f.sim, name: full.Listen, zone: zone, set: full, chance: rand.New(rand.NewSource(f.chance.Int63())), slow: 1}
	f.servers, f.byName[s.name] = append(f.servers, s), s
	return s, nil
}

// tellList has the planner hear of servers as they are now, after some ms.
func (f *fleet) tellList(ms float64, form policy.UpdateKind, servers []*server) {
	u := discovery.Update{Kind: form, AsOfMs: uint64(epoch + f.now)}
	for _, s := range servers {
		e := discovery.Endpoint{Server: s.name, Zone: f.script.Places[s.zone].Name, RelativeCapacity: float64(s.set.GetCores())} // speed shows in floors only
		switch {
		case s.down:
			e.State = policy.Removed
		case s.drained:
			e.State = policy.Draining
		}
		if s.born > 0 {
			e.StartedUnixMs = uint64(epoch + s.born)
		}
		u.Endpoints = append(u.Endpoints, e)
	}
	f.after(ms, func() { f.hear(func() { f.core.UpdateEndpoints(u) }) })
}

// hear gives the core an input, and lets it decide.
func (f *fleet) hear(input func()) {
	f.core.SetTime(f.now, time.UnixMilli(int64(epoch+f.now)))
	if input != nil {
		input()
	}
	for f.core.Next(f) {
	}
}

// SetTimer, Send, End and Reserve carry out the core's decisions.
func (f *fleet) SetTimer(at float64) {
	f.wakeAt = at
	f.after(at-f.now, func() {
		if f.wakeAt == at {
			f.hear(nil)
		}
	})
}

func (f *fleet) Send(s *planner.Stream, _ controlstream.FrameKind, m proto.Message) {
	e := s.Transport.(*edge)
	f.after(orderMs, func() { e.obey(m) })
}

func (f *fleet) Close(s *planner.Stream, why *controlstream.CloseError) {
	if f.failed == nil {
		f.failed = fmt.Errorf("at %.0f ms the planner ended the stream of %s: %w", f.now, s.Name(), why)
	}
}

func (f *fleet) ReserveEpochs(uint64) {}

func (e *edge) obey(m proto.Message) {
	a := &order.Applied{}
	switch m := m.(type) {
	case *order.Welcome:
		e.core.StartSession(m)
	case *order.Orders:
		a.Number, a.Receipts = m.Number, e.core.ApplyOrders(m)
		e.f.result.Messages++
		e.f.result.Entries += m.Lines
	default:
		return
	}
	e.f.after(orderMs, func() { e.f.hear(func() { e.f.core.HandleAck(e.stream, a) }) })
}

func (e *edge) report(every float64) {
	f := e.f
	m := e.core.TakeLoadReport(f.now)
	f.after(orderMs, func() { f.hear(func() { f.core.HandleLoadReport(e.stream, m) }) })
	f.after(every, func() { e.report(every) })
}

// client draws the next flow, and itself again, until the day ends.
func (f *fleet) client(from, until float64) {
	f.after(f.chance.ExpFloat64()/(settings.PerSecond(f.script.Traffic.Rate)*math.Max(f.factor, 1e-3))*1000, func() {
		if f.now >= until {
			return
		}
		group, x := 0, f.chance.Float64()
		for group < len(f.shares)-1 && x >= f.shares[group] {
			x -= f.shares[group]
			group++
		}
		f.ask(f.edges[f.chance.Intn(len(f.edges))], &flow{group: group, begun: f.now, second: int((f.now - from) / 1000), pause: settings.Milliseconds(f.script.Traffic.Pause)})
		f.client(from, until)
	})
}

// flow is a client's, over all its asks.
type flow struct {
	group, second, asks int
	begun, pause        float64
}

func (f *fleet) ask(e *edge, c *flow) {
	c.asks++
	x, in := e.core.Admit(f.now, c.group)
	if !in {
		f.answer(c, "blocked")
		return
	}
	e.next(c, x)
}

// next makes a flow's next try.
func (e *edge) next(c *flow, x *proxy.Request) {
	f := e.f
	to, within, ok := e.core.Pick(f.now, x)
	if !ok {
		e.core.RecordNoServer(x)
		f.answer(c, "bare")
		return
	}
	begun, over := f.now, false
	end := func(o proxy.Outcome) {
		if over {
			return
		}
		over = true
		again := e.core.FinishAttempt(f.now, x, to, o, f.now-begun)
		switch {
		case o == proxy.Succeeded:
			f.answer(c, "ok")
		case again:
			e.next(c, x)
		default:
			f.answer(c, "dropped")
		}
	}
	f.after(math.Max(within, 1), func() { end(proxy.Failed) })
	f.after(wayMs, func() {
		s := f.byName[to]
		if s == nil {
			f.after(wayMs, func() { end(proxy.Unprocessed) })
			return
		}
		s.take(&try{done: func(o outcome) {
			switch o {
			case delivered:
				f.after(wayMs, func() { end(proxy.Succeeded) })
			case refused:
				f.after(wayMs, func() { end(proxy.Unprocessed) })
			}
		}})
	})
}

// answer is what the client of a flow gets; it asks another proxy where it may.
func (f *fleet) answer(c *flow, outcome string) {
	g := f.script.Groups[c.group]
	took, safe := f.now-c.begun, g.Repeat == pb.Repeat_RETRIABLE || outcome == "blocked" || outcome == "bare"
	if outcome != "ok" && safe && c.asks <= int(f.script.Traffic.GetRepeats()) && took+c.pause <= 0.8*settings.Milliseconds(g.Expiry) {
		wait := c.pause * (0.5 + f.chance.Float64())
		c.pause *= 2
		f.after(wait, func() { f.ask(f.edges[f.chance.Intn(len(f.edges))], c) })
		return
	}
	f.result.Classes[c.group].Record(g, outcome, took)
	f.result.Seconds[c.second].Record(g, outcome, took)
}
