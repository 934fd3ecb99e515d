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
	"lichenpick/policy"
	"lichenpick/proto/order"
)

const (
	evaluationsPerSecond = 200 // at this rate the core is evaluated almost continuously
	serversPerReport     = 5
	settlingSeconds      = 4 // simulated time before a measurement begins
)

// loadedCore is a core with proxies that each report on some servers once a second, and acknowledge messages at the next
// evaluation.
type loadedCore struct {
	*Core
	nowMs            float64
	streams          []*Stream
	reports          []*order.Sums // load reports, by the index of the stream
	acknowledgements []pendingAck
	orders           int // count of orders sent
}

// pendingAck is an acknowledgement that the core receives at the next evaluation.
type pendingAck struct {
	stream *Stream
	ack    *order.Applied
}

func (l *loadedCore) Send(s *Stream, kind controlstream.FrameKind, message proto.Message) {
	if orders, ok := message.(*order.Orders); ok {
		l.orders += len(orders.Orders)
		l.acknowledgements = append(l.acknowledgements, pendingAck{s, acknowledgementOf(orders)})
	} else if kind == controlstream.FrameWelcome {
		l.acknowledgements = append(l.acknowledgements, pendingAck{s, &order.Applied{}})
	}
}

func (l *loadedCore) Close(s *Stream, why *controlstream.CloseError) {
	panic(fmt.Sprint(s.Name(), " closed: ", why))
}

func (l *loadedCore) SetTimer(float64) {}

func (l *loadedCore) ReserveEpochs(uint64) {}

func newLoadedCore(tb testing.TB, proxies, servers int) *loadedCore {
	tb.Helper()
	set := parseTestSettings(tb, fmt.Sprintf(`proxies: %d channel { lines: "100000/s" most_waiting: 300000 longest_way: "400ms" }
		reports { intake: "5000/s" } streams { most: 20000 }`, proxies))
	l := &loadedCore{Core: NewCore(set, NewPolicy(set), 1, 0)}
	update := discovery.Update{Kind: policy.FullUpdate, AsOfMs: testUnixOriginMs}
	for number := range servers {
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{
			Server: originalServer(number), Zone: zoneOf(number), RelativeCapacity: 1,
		})
	}
	l.UpdateEndpoints(update)
	random := rand.New(rand.NewSource(1))
	for number := range proxies {
		stream := &Stream{Address: netip.MustParseAddr("127.1.0.1")}
		l.HandleJoin(stream, &order.Join{
			Proxy: fmt.Sprint("p", number), Zone: zoneOf(number), UsualPerS: 5, Incarnation: 1, Stream: 1, Groups: testClassCount,
		})
		l.streams = append(l.streams, stream)
		report := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 4}, {Group: 1, Came: 1}}}
		for range serversPerReport {
			server := update.Endpoints[random.Intn(servers)].Server
			report.Servers = append(report.Servers, &order.ServerSum{Server: server, Tries: 1, LatencyMs: 20 + 40*random.Float64()})
		}
		l.reports = append(l.reports, report)
	}
	l.runSeconds(settlingSeconds)
	return l
}

// originalServer returns the name of a server in the first endpoint list.
func originalServer(number int) string {
	return fmt.Sprintf("127.9.%d.%d:8000", number/250, number%250+1)
}

// runSeconds simulates some seconds.
func (l *loadedCore) runSeconds(count int) {
	for range count {
		l.runSecond()
	}
}

// runSecond simulates one second, in which each proxy reports once.
func (l *loadedCore) runSecond() {
	nextReport := 0
	for evaluation := range evaluationsPerSecond {
		l.setClock(l.nowMs + 1000.0/evaluationsPerSecond)
		for ; nextReport < len(l.streams)*(evaluation+1)/evaluationsPerSecond; nextReport++ {
			l.HandleLoadReport(l.streams[nextReport], l.reports[nextReport])
		}
		l.evaluate()
	}
}

func (l *loadedCore) setClock(nowMs float64) {
	l.nowMs = nowMs
	l.SetTime(nowMs, time.UnixMilli(int64(testUnixOriginMs+nowMs)))
}

// evaluate passes the pending acknowledgements to the core and carries out all decisions.
func (l *loadedCore) evaluate() {
	acknowledgements := l.acknowledgements
	l.acknowledgements = nil
	for _, pending := range acknowledgements {
		l.HandleAck(pending.stream, pending.ack)
	}
	for l.Next(l) {
	}
}

// BenchmarkPlannerSecond measures the CPU time that the core's goroutine takes for one second of operation, without sockets.
func BenchmarkPlannerSecond(b *testing.B) {
	for _, size := range []struct{ proxies, servers int }{{171, 81}, {500, 500}, {2000, 500}, {5000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size.proxies, size.servers), func(b *testing.B) {
			l := newLoadedCore(b, size.proxies, size.servers)
			l.orders = 0
			b.ReportAllocs()
			for b.Loop() {
				l.runSecond()
			}
			b.ReportMetric(float64(l.orders)/float64(b.N), "orders/op")
			b.ReportMetric(float64(size.proxies), "reports/op")
		})
	}
}

// BenchmarkAfterReleases measures one second of the core after 20 releases, about 12 minutes apart, each of which replaced
// 80 % of the servers. Servers that these releases removed must no longer cost time or memory.
func BenchmarkAfterReleases(b *testing.B) {
	const servers, replaced = 500, 400
	for _, releases := range []int{0, 20} {
		b.Run(fmt.Sprint(releases), func(b *testing.B) {
			l := newLoadedCore(b, 500, servers)
			current := make([]string, replaced)
			for number := range current {
				current[number] = originalServer(number)
			}
			for release := range releases {
				l.release(current, servers+release*replaced)
			}
			l.runSeconds(settlingSeconds)
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			for b.Loop() {
				l.runSecond()
			}
			b.ReportMetric(float64(memory.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(float64(len(l.endpoints.byServer)), "names")
		})
	}
}

// release replaces the current servers by new ones, numbered from first on, and simulates about 12 minutes.
func (l *loadedCore) release(current []string, first int) {
	const releaseSeconds, quietMs = 20, 7e5
	update := discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: testUnixOriginMs + uint64(l.nowMs)}
	successor := map[string]string{}
	for index, old := range current {
		number := first + index
		replacement := fmt.Sprintf("127.8.%d.%d:%d", number/250%250, number%250+1, 8000+number/62500)
		current[index] = replacement
		successor[old] = replacement
		update.Endpoints = append(update.Endpoints,
			discovery.Endpoint{Server: old, Zone: zoneOf(index), RelativeCapacity: 1, State: policy.Removed},
			discovery.Endpoint{Server: replacement, Zone: zoneOf(index), RelativeCapacity: 1})
	}
	for _, report := range l.reports {
		for _, sample := range report.Servers {
			if replacement, replaced := successor[sample.Server]; replaced {
				sample.Server = replacement
			}
		}
	}
	l.UpdateEndpoints(update)
	l.runSeconds(releaseSeconds)
	l.nowMs += quietMs
	for _, stream := range l.streams {
		l.HandleHeartbeat(stream)
	}
}

// BenchmarkPlannerReports measures the throughput of load reports with ten servers each, from the bytes of a stream to the
// samples that the policy records. Decoding and merging run on all CPU cores; the rest runs on the goroutine of the core.
func BenchmarkPlannerReports(b *testing.B) {
	l := newLoadedCore(b, 500, 200)
	reports := newCoalescedReports()
	stopped := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.takeReportsUntil(stopped, reports)
	}()
	var workers atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) { l.sendReports(b, pb, int(workers.Add(1)), reports) })
	b.StopTimer()
	close(stopped)
	<-ended
	b.ReportMetric(float64(reports.merged)/float64(b.N), "merged/op")
}

// takeReportsUntil runs the core in real time, as the event loop does, until stopped is closed.
func (l *loadedCore) takeReportsUntil(stopped <-chan struct{}, reports *coalescedReports) {
	beginMs := l.nowMs
	elapsed := clock.NewReal()
	for {
		select {
		case <-stopped:
			return
		case <-reports.available:
		}
		l.setClock(beginMs + elapsed.Monotonic())
		for from, report, _ := reports.take(); from != nil; from, report, _ = reports.take() {
			l.HandleLoadReport(from.stream, report)
		}
		l.evaluate()
	}
}

// sendReports encodes and decodes the reports of one stream, and adds them to the coalesced reports as the stream's reader
// would.
func (l *loadedCore) sendReports(b *testing.B, pb *testing.PB, number int, reports *coalescedReports) {
	const samples = 10
	from := &connection{stream: l.streams[number]}
	body := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 4}}}
	for sample := range samples {
		server := l.reports[number+sample].Servers[0].Server
		body.Servers = append(body.Servers, &order.ServerSum{Server: server, Tries: 1, LatencyMs: 30})
	}
	limits := controlstream.Limits{MaxFrameBytes: 1 << 20, HandshakeTimeoutMs: 1e12, HeartbeatTimeoutMs: 1e12}
	proxyEnd := controlstream.NewProxySession(limits, 0)
	plannerEnd := controlstream.NewPlannerSession(limits, 0)
	receiver := reportReceiver{add: func(report *order.Sums) { reports.add(from, report, 0) }}
	frame, err := proxyEnd.Append(nil, controlstream.FrameJoin, &order.Join{Proxy: "x", Groups: testClassCount})
	if err != nil {
		b.Error(err)
		return
	}
	plannerEnd.Feed(0, frame)
	plannerEnd.Next(receiver)
	for pb.Next() {
		frame, err = proxyEnd.Append(frame[:0], controlstream.FrameLoadReport, body)
		if err != nil {
			b.Error(err)
			return
		}
		plannerEnd.Feed(0, frame)
		if !plannerEnd.Next(receiver) {
			b.Error(plannerEnd.CloseCause())
			return
		}
	}
}

// reportReceiver passes load reports to add and ignores all other frames.
type reportReceiver struct{ add func(*order.Sums) }

func (r reportReceiver) OnJoin(*order.Join)              {}
func (r reportReceiver) OnAck(*order.Applied)            {}
func (r reportReceiver) OnLease(*order.Lease)            {}
func (r reportReceiver) OnLoadReport(report *order.Sums) { r.add(report) }
