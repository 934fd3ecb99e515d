package fake

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/discovery"
	"lichenpick/internal/proxy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Swarm is many proxies that only speak the order stream: they obey tables, make up flows by the weights that they hold,
// report and answer, by the product's own follower. It loads a planner at sizes at which real flows would need more than one machine.
type Swarm struct {
	Clock    clock.Clock
	Network  clock.Network
	Planners []string // addresses
	Sharing  bool
	Zones    []string // proxy n is in zone n modulo their number
	Groups   []*pb.Group
	Proxies  int
	Servers  int     // written to the list file
	List     string  // path; empty: not written
	PerS     float64 // flows a proxy and second
	EveryMs  float64 // reports
	FlipMs   float64 // a server drains, or is ready again, this often; 0: never
	Seed     int64
	JoinOver float64 // ms over which the joins are spread

	mu      sync.Mutex
	applied *hdrhistogram.Histogram // us from the decision to the obeying
	bare    *hdrhistogram.Histogram // us from the last word of a commander to the grant of the next
	result  SwarmResult

	up, down, dials atomic.Int64
}

// SwarmResult is what a swarm saw.
type SwarmResult struct {
	Dials, Bound, Takeovers int
	Messages, Orders        int
	AllBoundMs              float64 // from the first dial until every proxy was bound
	P50Ms, P99Ms            float64
	P999Ms, MaxMs           float64
	MostMessages            int     // to one proxy within 10 s
	Up, Down                int     // bytes to planners and from them
	BareP50, BareP99        float64 // ms that a proxy was without a commander, where it went to another
	BareMax                 float64
}

// Prepare writes the list, so that planners can be started before the swarm.
func (s *Swarm) Prepare() error {
	if s.List == "" {
		return nil
	}
	return s.write(-1)
}

// Run lets the swarm live for some ms.
func (s *Swarm) Run(ctx context.Context, ms float64) (SwarmResult, error) {
	s.applied, s.bare = hdrhistogram.New(1, 600e6, 3), hdrhistogram.New(1, 600e6, 3)
	if err := s.Prepare(); err != nil {
		return s.result, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	start := s.Clock.Mono()
	for n := range s.Proxies {
		group.Go(func() error {
			if clock.Sleep(ctx, s.Clock, s.JoinOver*float64(n)/float64(s.Proxies)) != nil {
				return nil
			}
			m := s.join(n, start)
			group.Go(func() error {
				m.flows(ctx, rand.New(rand.NewSource(s.Seed+int64(n))))
				return nil
			})
			return m.f.Follow(ctx)
		})
	}
	if s.FlipMs > 0 && s.List != "" {
		group.Go(func() error {
			for n := 0; clock.Sleep(ctx, s.Clock, s.FlipMs) == nil; n++ {
				drained := -1
				if n%2 == 0 {
					drained = n / 2 % s.Servers
				}
				if err := s.write(drained); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := &s.result
	r.P50Ms, r.P99Ms, r.P999Ms, r.MaxMs = at(s.applied, 50), at(s.applied, 99), at(s.applied, 99.9), at(s.applied, 100)
	r.BareP50, r.BareP99, r.BareMax = at(s.bare, 50), at(s.bare, 99), at(s.bare, 100)
	r.Dials, r.Up, r.Down = int(s.dials.Load()), int(s.up.Load()), int(s.down.Load())
	return s.result, err
}

func server(n int) string { return fmt.Sprintf("127.9.%d.%d:8000", n/250, n%250+1) }

func (s *Swarm) write(drained int) error {
	l := &pb.List{}
	for n := range s.Servers {
		e := &pb.List_Entry{Server: server(n), Zone: s.Zones[n%len(s.Zones)], Size: proto.Float64(1)}
		if n == drained {
			e.State = pb.List_DRAINING
		}
		l.Servers = append(l.Servers, e)
	}
	return discovery.Save(s.List, l)
}

// member is one proxy of a swarm: the product's own part towards planners, with made-up flows.
type member struct {
	s      *Swarm
	f      *proxy.Follower
	bound  bool
	recent []float64
}

func (s *Swarm) join(n int, start float64) *member {
	set := &pb.Proxy{}
	set.Name, set.Zone, set.Groups, set.Planners = fmt.Sprintf("swarm-%d", n), s.Zones[n%len(s.Zones)], s.Groups, s.Planners
	if !s.Sharing { // each begins with another
		k := n % len(s.Planners)
		set.Planners = append(slices.Clone(s.Planners[k:]), s.Planners[:k]...)
	}
	set.Sharing, set.Seed = s.Sharing, proto.Uint64(uint64(s.Seed)+uint64(n))
	set.Usual, set.ReportEvery = fmt.Sprintf("%g/s", s.PerS), fmt.Sprintf("%gms", s.EveryMs)
	set.Redial, set.SilentAfter, set.FrameBytes = "300ms", "60s", proto.Uint32(16<<20)
	m := &member{s: s, f: proxy.NewFollower(proxy.Options{Settings: set, Clock: s.Clock, Network: counted{s.Network, s}, Log: slog.New(slog.DiscardHandler)})}
	m.f.Obeyed = func(o *order.Orders) { m.obeyed(o, start) }
	m.f.Granted = func(bareMs float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.Takeovers++
		s.bare.RecordValue(max(int64(bareMs*1000), 1))
	}
	return m
}

func (m *member) obeyed(o *order.Orders, start float64) {
	s, now := m.s, m.s.Clock.Mono()
	late := s.Clock.Wall().UnixMicro() - int64(o.DecidedUnixUs)
	m.recent = append(m.recent, now)
	for len(m.recent) > 0 && m.recent[0] <= now-10000 {
		m.recent = m.recent[1:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied.RecordValue(max(late, 1))
	s.result.Messages++
	s.result.Orders += len(o.Orders)
	s.result.MostMessages = max(s.result.MostMessages, len(m.recent))
	for _, x := range o.Orders {
		if x.GetBind() != nil && !m.bound {
			m.bound = true
			if s.result.Bound++; s.result.Bound == s.Proxies {
				s.result.AllBoundMs = now - start
			}
		}
	}
}

// flows makes some up each period until the context ends. All are delivered after some tens of ms.
func (m *member) flows(ctx context.Context, chance *rand.Rand) {
	every := m.s.EveryMs / 4
	for clock.Sleep(ctx, m.s.Clock, every) == nil {
		m.f.Do(func(c *proxy.Core) {
			now := m.s.Clock.Mono()
			for range int(m.s.PerS*every/1000 + chance.Float64()) {
				f, ok := c.Admit(now, chance.Intn(len(m.s.Groups)))
				if !ok {
					continue
				}
				if to, _, ok := c.Pick(now, f); ok {
					c.Ended(now, f, to, proxy.Delivered, 20+20*chance.ExpFloat64())
				} else {
					c.GaveUp(f)
				}
			}
		})
	}
}

// counted counts what passes on a swarm's streams.
type counted struct {
	clock.Network
	s *Swarm
}

type countedConn struct {
	net.Conn
	s *Swarm
}

func (c counted) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, from, to)
	if err != nil {
		return nil, err
	}
	c.s.dials.Add(1)
	return countedConn{conn, c.s}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.s.down.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.s.up.Add(int64(n))
	return n, err
}
