package standin

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/list"
	"lichenpick/internal/orders"
	"lichenpick/internal/proxy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Swarm is many proxies that only speak the order stream: they obey tables, make up sums by the weights that they hold,
// and answer. It loads a planner at sizes at which real flows would need more than one machine.
type Swarm struct {
	Clock    clock.Clock
	Network  clock.Network
	Planner  string
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
	result  SwarmResult
}

// SwarmResult is what a swarm saw.
type SwarmResult struct {
	Joined, Bound, Lost     int
	Messages, Orders, Bytes int
	AllBoundMs              float64 // from the first dial until every proxy was bound
	P50Ms, P99Ms, MaxMs     float64
	MostMessages            int // to one proxy within 10 s
}

// Run lets the swarm live for some ms.
func (s *Swarm) Run(ctx context.Context, ms float64) (SwarmResult, error) {
	s.applied = hdrhistogram.New(1, 600e6, 3)
	if s.List != "" {
		if err := s.write(-1); err != nil {
			return s.result, err
		}
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
			for stream := uint64(1); ctx.Err() == nil; stream++ {
				if err := s.live(ctx, n, stream, start); err != nil && ctx.Err() == nil {
					s.mu.Lock()
					s.result.Lost++
					s.mu.Unlock()
				}
				clock.Sleep(ctx, s.Clock, 300)
			}
			return nil
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
	at := func(q float64) float64 { return float64(s.applied.ValueAtQuantile(q)) / 1000 }
	s.result.P50Ms, s.result.P99Ms, s.result.MaxMs = at(50), at(99), float64(s.applied.Max())/1000
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
	return list.Save(s.List, l)
}

// member is one proxy of a swarm, on one stream.
type member struct {
	orders.Unshared
	s       *Swarm
	core    *proxy.Core
	answers []*order.Applied
	bound   bool
	start   float64
	recent  []float64
}

func (m *member) Welcomed(w *order.Welcome) {
	m.core.Welcomed(w)
	m.answers = append(m.answers, &order.Applied{})
}

func (m *member) Ordered(o *order.Orders) {
	receipts := m.core.Ordered(o)
	now := m.s.Clock.Mono()
	late := m.s.Clock.Wall().UnixMicro() - int64(o.DecidedUnixUs)
	m.answers = append(m.answers, &order.Applied{Number: o.Number, Receipts: receipts})
	m.recent = append(m.recent, now)
	for len(m.recent) > 0 && m.recent[0] <= now-10000 {
		m.recent = m.recent[1:]
	}
	s := m.s
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
				s.result.AllBoundMs = now - m.start
			}
		}
	}
}

func (s *Swarm) live(ctx context.Context, n int, stream uint64, start float64) error {
	conn, err := s.Network.Dial(ctx, netip.Addr{}, s.Planner)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	end := orders.NewProxyEnd(orders.Limits{FrameBytes: 16 << 20, JoinWithin: 60000, SilentAfter: 60000}, s.Clock.Mono())
	set := &pb.Proxy{Name: fmt.Sprintf("swarm-%d", n), Groups: s.Groups, Seed: proto.Uint64(uint64(s.Seed) + uint64(n))}
	m := &member{s: s, core: proxy.NewCore(set, s.Clock.Mono()), start: start}
	var buf []byte
	put := func(kind orders.Kind, msg proto.Message) error {
		var err error
		if buf, err = end.Append(buf[:0], kind, msg); err == nil {
			_, err = conn.Write(buf)
		}
		return err
	}
	if err := put(orders.Join, &order.Join{Proxy: set.Name, Zone: s.Zones[n%len(s.Zones)], UsualPerS: s.PerS, Incarnation: uint64(s.Seed) + 1,
		Stream: stream, Groups: uint32(len(s.Groups)), Standing: true}); err != nil {
		return err
	}
	s.mu.Lock()
	s.result.Joined++
	s.mu.Unlock()
	chance := rand.New(rand.NewSource(s.Seed + int64(n)))
	next := s.Clock.Mono() + chance.Float64()*s.EveryMs
	in := make([]byte, 16<<10)
	for ctx.Err() == nil {
		conn.SetReadDeadline(s.Clock.Deadline(max(next-s.Clock.Mono(), 1)))
		k, err := conn.Read(in)
		end.Feed(s.Clock.Mono(), in[:k])
		for end.Next(m) {
		}
		if end.Ended() != nil {
			return end.Ended()
		}
		for _, a := range m.answers {
			if err := put(orders.Applied, a); err != nil {
				return err
			}
		}
		m.answers = m.answers[:0]
		if timeout, ok := err.(interface{ Timeout() bool }); err != nil && !(ok && timeout.Timeout()) {
			return err
		}
		if now := s.Clock.Mono(); now >= next {
			next += s.EveryMs
			for range int(s.PerS*s.EveryMs/1000 + chance.Float64()) {
				m.flow(now, chance)
			}
			sums := m.core.Sums(now)
			if err := put(orders.Sums, sums); err != nil {
				return err
			}
		}
	}
	return nil
}

// flow makes up one flow that is delivered after some tens of ms.
func (m *member) flow(now float64, chance *rand.Rand) {
	f, ok := m.core.Admit(now, chance.Intn(len(m.s.Groups)))
	if !ok {
		return
	}
	if to, _, ok := m.core.Pick(now, f); ok {
		m.core.Ended(now, f, to, proxy.Delivered, 20+20*chance.ExpFloat64())
	} else {
		m.core.GaveUp(f)
	}
}
