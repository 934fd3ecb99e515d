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

// StressTest is many proxies that only speak the order stream: they obey tables, make up flows by the weights that they hold,
// report and answer, by the product's own follower. It loads a planner at sizes at which real flows would need more than one machine.
type StressTest struct {
	Clock             clock.Clock
	Network           clock.Network
	Planners          []string // addresses
	SharedFleet       bool
	Zones             []string // proxy n is in zone n modulo their number
	Classes           []*pb.Group
	Proxies           int
	Servers           int     // written to the list file
	List              string  // path; empty: not written
	RequestsPerSecond float64 // flows a proxy and second
	ReportIntervalMs  float64 // reports
	DrainIntervalMs   float64 // a server drains, or is ready again, this often; 0: never
	Seed              int64
	JoinSpreadMs      float64 // ms over which the joins are spread

	mu      sync.Mutex
	applied *hdrhistogram.Histogram // us from the decision to the obeying
	bare    *hdrhistogram.Histogram // us from the last word of a commander to the grant of the next
	result  StressResult

	up, down, dials atomic.Int64
}

// StressResult is what a swarm saw.
type StressResult struct {
	Dials, Assigned, Takeovers         int
	Messages, Orders                   int
	AllAssignedMs                      float64 // from the first dial until every proxy was bound
	P50Ms, P99Ms                       float64
	P999Ms, MaxMs                      float64
	MaxMessages                        int     // to one proxy within 10 s
	BytesUp, BytesDown                 int     // bytes to planners and from them
	WithoutLeaderP50, WithoutLeaderP99 float64 // ms that a proxy was without a commander, where it went to another
	WithoutLeaderMax                   float64
}

// Prepare writes the list, so that planners can be started before the swarm.
func (s *StressTest) Prepare() error {
	if s.List == "" {
		return nil
	}
	return s.write(-1)
}

// Run lets the swarm live for some ms.
func (s *StressTest) Run(ctx context.Context, ms float64) (StressResult, error) {
	s.applied, s.bare = hdrhistogram.New(1, 600e6, 3), hdrhistogram.New(1, 600e6, 3)
	if err := s.Prepare(); err != nil {
		return s.result, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	start := s.Clock.Monotonic()
	for n := range s.Proxies {
		group.Go(func() error {
			if clock.Sleep(ctx, s.Clock, s.JoinSpreadMs*float64(n)/float64(s.Proxies)) != nil {
				return nil
			}
			m := s.join(n, start)
			group.Go(func() error {
				m.flows(ctx, rand.New(rand.NewSource(s.Seed+int64(n))))
				return nil
			})
			return m.f.Connect(ctx)
		})
	}
	if s.DrainIntervalMs > 0 && s.List != "" {
		group.Go(func() error {
			for n := 0; clock.Sleep(ctx, s.Clock, s.DrainIntervalMs) == nil; n++ {
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
	r.WithoutLeaderP50, r.WithoutLeaderP99, r.WithoutLeaderMax = at(s.bare, 50), at(s.bare, 99), at(s.bare, 100)
	r.Dials, r.BytesUp, r.BytesDown = int(s.dials.Load()), int(s.up.Load()), int(s.down.Load())
	return s.result, err
}

func server(n int) string { return fmt.Sprintf("127.9.%d.%d:8000", n/250, n%250+1) }

func (s *StressTest) write(drained int) error {
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
	s      *StressTest
	f      *proxy.ControlClient
	bound  bool
	recent []float64
}

func (s *StressTest) join(n int, start float64) *member {
	set := &pb.Proxy{}
	set.Name, set.Zone, set.Groups, set.Planners = fmt.Sprintf("swarm-%d", n), s.Zones[n%len(s.Zones)], s.Classes, s.Planners
	if !s.SharedFleet { // each begins with another
		k := n % len(s.Planners)
		set.Planners = append(slices.Clone(s.Planners[k:]), s.Planners[:k]...)
	}
	set.Sharing, set.Seed = s.SharedFleet, proto.Uint64(uint64(s.Seed)+uint64(n))
	set.Usual, set.ReportEvery = fmt.Sprintf("%g/s", s.RequestsPerSecond), fmt.Sprintf("%gms", s.ReportIntervalMs)
	set.Redial, set.SilentAfter, set.FrameBytes = "300ms", "60s", proto.Uint32(16<<20)
	m := &member{s: s, f: proxy.NewControlClient(proxy.Options{Settings: set, Clock: s.Clock, Network: counted{s.Network, s}, Log: slog.New(slog.DiscardHandler)})}
	m.f.OnOrders = func(o *order.Orders) { m.obeyed(o, start) }
	m.f.OnTakeover = func(bareMs float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.Takeovers++
		s.bare.RecordValue(max(int64(bareMs*1000), 1))
	}
	return m
}

func (m *member) obeyed(o *order.Orders, start float64) {
	s, now := m.s, m.s.Clock.Monotonic()
	late := s.Clock.WallTime().UnixMicro() - int64(o.DecidedUnixUs)
	m.recent = append(m.recent, now)
	for len(m.recent) > 0 && m.recent[0] <= now-10000 {
		m.recent = m.recent[1:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied.RecordValue(max(late, 1))
	s.result.Messages++
	s.result.Orders += len(o.Orders)
	s.result.MaxMessages = max(s.result.MaxMessages, len(m.recent))
	for _, x := range o.Orders {
		if x.GetBind() != nil && !m.bound {
			m.bound = true
			if s.result.Assigned++; s.result.Assigned == s.Proxies {
				s.result.AllAssignedMs = now - start
			}
		}
	}
}

// flows makes some up each period until the context ends. All are delivered after some tens of ms.
func (m *member) flows(ctx context.Context, chance *rand.Rand) {
	every := m.s.ReportIntervalMs / 4
	for clock.Sleep(ctx, m.s.Clock, every) == nil {
		m.f.WithCore(func(c *proxy.Core) {
			now := m.s.Clock.Monotonic()
			for range int(m.s.RequestsPerSecond*every/1000 + chance.Float64()) {
				f, ok := c.Admit(now, chance.Intn(len(m.s.Classes)))
				if !ok {
					continue
				}
				if to, _, ok := c.Pick(now, f); ok {
					c.FinishAttempt(now, f, to, proxy.Succeeded, 20+20*chance.ExpFloat64())
				} else {
					c.RecordNoServer(f)
				}
			}
		})
	}
}

// counted counts what passes on a swarm's streams.
type counted struct {
	clock.Network
	s *StressTest
}

type countedConn struct {
	net.Conn
	s *StressTest
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
