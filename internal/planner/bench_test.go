package planner

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// loaded is a core under proxies that report once a second, each about so many of its servers, and answer at the next look.
type loaded struct {
	*Core
	now     float64
	streams []*Stream
	reports []*order.Sums
	answers []answering
	lines   int
	looks   int
}

type answering struct {
	to *Stream
	m  *order.Applied
}

const perLook = 200 // looks a second: at these sizes the core hardly sleeps

func (l *loaded) Send(s *Stream, kind controlstream.FrameKind, m proto.Message) {
	if o, ok := m.(*order.Orders); ok {
		a := &order.Applied{Number: o.Number}
		for _, x := range o.Orders {
			if r, ok := x.What.(*order.Order_Receipt); ok {
				a.Receipts = append(a.Receipts, r.Receipt)
			}
		}
		l.lines += len(o.Orders)
		l.answers = append(l.answers, answering{s, a})
	} else if kind == controlstream.FrameWelcome {
		l.answers = append(l.answers, answering{s, &order.Applied{}})
	}
}

func (l *loaded) Close(s *Stream, why *controlstream.CloseError) {
	panic(fmt.Sprint(s.Name(), " ended: ", why))
}
func (l *loaded) SetTimer(float64)     {}
func (l *loaded) ReserveEpochs(uint64) {}

func load(tb testing.TB, proxies, servers int) *loaded {
	set := &pb.Planner{}
	text := file + fmt.Sprintf(`proxies: %d channel { lines: "100000/s" most_waiting: 300000 longest_way: "400ms" }
		reports { intake: "5000/s" } streams { most: 20000 }`, proxies)
	if err := settings.Parse("bench", []byte(text), set); err != nil {
		tb.Fatal(err)
	}
	l := &loaded{Core: NewCore(set, NewPolicy(set), 1, 0)}
	u := discovery.Update{Kind: policy.FullUpdate, AsOfMs: 1e12}
	for i := range servers {
		u.Endpoints = append(u.Endpoints, discovery.Endpoint{Server: fmt.Sprintf("127.9.%d.%d:8000", i/250, i%250+1), Zone: string("ab"[i%2]), RelativeCapacity: 1})
	}
	l.UpdateEndpoints(u)
	chance := rand.New(rand.NewSource(1))
	for n := range proxies {
		s := &Stream{Address: netip.MustParseAddr("127.1.0.1")}
		l.HandleJoin(s, &order.Join{Proxy: fmt.Sprint("p", n), Zone: string("ab"[n%2]), UsualPerS: 5, Incarnation: 1, Stream: 1, Groups: 2})
		l.streams = append(l.streams, s)
		m := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 4}, {Group: 1, Came: 1}}}
		for range 5 {
			m.Servers = append(m.Servers, &order.ServerSum{Server: u.Endpoints[chance.Intn(servers)].Server, Tries: 1, LatencyMs: 20 + 40*chance.Float64()})
		}
		l.reports = append(l.reports, m)
	}
	for range 4 {
		l.second()
	}
	return l
}

// second lets one pass.
func (l *loaded) second() {
	next := 0
	for k := range perLook {
		l.now += 1000.0 / perLook
		l.SetTime(l.now, time.UnixMilli(int64(1e12+l.now)))
		for ; next < len(l.streams)*(k+1)/perLook; next++ {
			l.HandleLoadReport(l.streams[next], l.reports[next])
		}
		answers := l.answers
		l.answers = nil
		for _, a := range answers {
			l.HandleAck(a.to, a.m)
		}
		for l.Next(l) {
			l.looks++
		}
	}
}

// BenchmarkPlannerSecond is one second of the core's own goroutine: what it takes of one core, without sockets.
func BenchmarkPlannerSecond(b *testing.B) {
	for _, size := range [][2]int{{171, 81}, {500, 500}, {2000, 500}, {5000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			l := load(b, size[0], size[1])
			l.lines = 0
			b.ReportAllocs()
			for b.Loop() {
				l.second()
			}
			b.ReportMetric(float64(l.lines)/float64(b.N), "lines/op")
			b.ReportMetric(float64(size[0]), "reports/op")
		})
	}
}

// BenchmarkAfterReleases is a second of the core after twenty releases that each replaced four fifths of the servers, twelve
// minutes apart: what went must cost nothing any more.
func BenchmarkAfterReleases(b *testing.B) {
	for _, releases := range []int{0, 20} {
		b.Run(fmt.Sprint(releases), func(b *testing.B) {
			const servers, replaced = 500, 400
			l := load(b, 500, servers)
			name := func(i int) string { return fmt.Sprintf("127.9.%d.%d:8000", i/250, i%250+1) }
			first := servers
			old := make([]string, replaced)
			for i := range old {
				old[i] = name(i)
			}
			for range releases {
				u := discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: 1e12 + uint64(l.now)}
				next := map[string]string{}
				for i, gone := range old {
					u.Endpoints = append(u.Endpoints, discovery.Endpoint{Server: gone, Zone: string("ab"[i%2]), RelativeCapacity: 1, State: policy.Removed})
					old[i] = fmt.Sprintf("127.8.%d.%d:%d", first/250%250, first%250+1, 8000+first/62500)
					first++
					next[gone] = old[i]
					u.Endpoints = append(u.Endpoints, discovery.Endpoint{Server: old[i], Zone: string("ab"[i%2]), RelativeCapacity: 1})
				}
				for _, r := range l.reports {
					for _, x := range r.Servers {
						if n, moved := next[x.Server]; moved {
							x.Server = n
						}
					}
				}
				l.UpdateEndpoints(u)
				for range 20 {
					l.second()
				}
				l.now += 7e5
				for _, s := range l.streams {
					l.HandleHeartbeat(s)
				}
			}
			for range 4 {
				l.second()
			}
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			for b.Loop() {
				l.second()
			}
			b.ReportMetric(float64(m.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(float64(len(l.endpoints.byServer)), "names")
		})
	}
}

// BenchmarkPlannerReports is how fast reports are taken in, from bytes of a stream to sums that the module hears: decoding and
// merging on as many cores as there are, and one that owns the rest. Ten servers a report.
func BenchmarkPlannerReports(b *testing.B) {
	l := load(b, 500, 200)
	r := newCoalescedReports()
	done, ended := make(chan struct{}), make(chan struct{})
	begun := clock.NewReal()
	go func() {
		defer close(ended)
		last := l.now
		for {
			select {
			case <-done:
				return
			case <-r.available:
			}
			l.now = last + begun.Monotonic()
			l.SetTime(l.now, time.UnixMilli(int64(1e12+l.now)))
			for s, m, _ := r.take(); s != nil; s, m, _ = r.take() {
				l.HandleLoadReport(s.stream, m)
			}
			for _, a := range l.answers {
				l.HandleAck(a.to, a.m)
			}
			l.answers = nil
			for l.Next(l) {
			}
		}
	}()
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n := int(next.Add(1))
		s := &connection{stream: l.streams[n]}
		body := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 4}}}
		for k := range 10 {
			body.Servers = append(body.Servers, &order.ServerSum{Server: l.reports[n+k].Servers[0].Server, Tries: 1, LatencyMs: 30})
		}
		proxyEnd := controlstream.NewProxySession(controlstream.Limits{MaxFrameBytes: 1 << 20, HandshakeTimeoutMs: 1e12, HeartbeatTimeoutMs: 1e12}, 0)
		end := controlstream.NewPlannerSession(controlstream.Limits{MaxFrameBytes: 1 << 20, HandshakeTimeoutMs: 1e12, HeartbeatTimeoutMs: 1e12}, 0)
		frame, _ := proxyEnd.Append(nil, controlstream.FrameJoin, &order.Join{Proxy: "x", Groups: 2})
		end.Feed(0, frame)
		into := taker{add: func(m *order.Sums) { r.add(s, m, 0) }}
		end.Next(into)
		for pb.Next() {
			frame, _ = proxyEnd.Append(frame[:0], controlstream.FrameLoadReport, body)
			end.Feed(0, frame)
			if !end.Next(into) {
				b.Error(end.CloseCause())
				return
			}
		}
	})
	b.StopTimer()
	close(done)
	<-ended
	b.ReportMetric(float64(r.merged)/float64(b.N), "merged/op")
}

type taker struct{ add func(*order.Sums) }

func (t taker) OnJoin(*order.Join)         {}
func (t taker) OnAck(*order.Applied)       {}
func (t taker) OnLease(*order.Lease)       {}
func (t taker) OnLoadReport(m *order.Sums) { t.add(m) }
