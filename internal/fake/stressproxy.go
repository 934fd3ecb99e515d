package fake

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	messageWindowMs     = 10_000.0 // length of the window for StressResult.MaxMessages, in ms
	batchesPerReport    = 4        // number of batches in which the requests of one report interval are simulated
	minLatencyMs        = 20.0     // smallest latency of a simulated request, in ms
	meanExtraLatencyMs  = 20.0     // mean of the exponentially distributed latency added to minLatencyMs, in ms
	reconnectDelay      = "300ms"
	silenceTimeout      = "60s"
	maxStreamFrameBytes = 16 << 20
)

// stressProxy is one proxy of a StressTest: the control client of package proxy with simulated requests.
type stressProxy struct {
	test    *StressTest
	startMs float64 // time at which the test started, in ms
	client  *proxy.ControlClient

	assigned       bool      // whether the proxy was assigned tables; used only by the client's callbacks
	messageTimesMs []float64 // times of Orders messages applied in the last messageWindowMs; used only by the client's callbacks
}

// newProxy returns a proxy that is not connected yet.
func (s *StressTest) newProxy(number int, startMs float64) *stressProxy {
	p := &stressProxy{test: s, startMs: startMs}
	p.client = proxy.NewControlClient(proxy.Options{
		Settings: s.proxySettings(number),
		Clock:    s.Clock,
		Network:  countingNetwork{Network: s.Network, test: s},
		Log:      slog.New(slog.DiscardHandler),
	})
	p.client.OnOrders = p.recordOrders
	p.client.OnTakeover = s.recordTakeover
	return p
}

// proxySettings returns the settings of the proxy of the given number.
func (s *StressTest) proxySettings(number int) *pb.Proxy {
	planners := s.Planners
	if !s.SharedFleet { // spreads the proxies: a proxy's number selects the planner that it dials first
		first := number % len(planners)
		planners = slices.Concat(planners[first:], planners[:first])
	}
	return &pb.Proxy{
		Name:        fmt.Sprintf("stress-%d", number),
		Zone:        s.Zones[number%len(s.Zones)],
		Groups:      s.Classes,
		Planners:    planners,
		Sharing:     s.SharedFleet,
		Seed:        proto.Uint64(uint64(s.Seed) + uint64(number)),
		Usual:       fmt.Sprintf("%g/s", s.RequestsPerSecond),
		ReportEvery: fmt.Sprintf("%gms", s.ReportIntervalMs),
		Redial:      reconnectDelay,
		SilentAfter: silenceTimeout,
		FrameBytes:  proto.Uint32(maxStreamFrameBytes),
	}
}

// recordTakeover records that the lease of a proxy passed to another planner, and how long the proxy was without a leader.
func (s *StressTest) recordTakeover(withoutLeaderMs float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Takeovers++
	recordUs(s.withoutLeaderUs, int64(withoutLeaderMs*1000))
}

// recordOrders records a message with orders that the proxy has applied.
func (p *stressProxy) recordOrders(orders *order.Orders) {
	s := p.test
	nowMs := s.Clock.Monotonic()
	appliedUs := s.Clock.WallTime().UnixMicro() - int64(orders.DecidedUnixUs)
	p.messageTimesMs = append(p.messageTimesMs, nowMs)
	for p.messageTimesMs[0] <= nowMs-messageWindowMs {
		p.messageTimesMs = p.messageTimesMs[1:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	recordUs(s.appliedUs, appliedUs)
	s.result.Messages++
	s.result.Orders += len(orders.Orders)
	s.result.MaxMessages = max(s.result.MaxMessages, len(p.messageTimesMs))
	if p.assigned || !assignsTable(orders) {
		return
	}
	p.assigned = true
	s.result.Assigned++
	if s.result.Assigned == s.Proxies {
		s.result.AllAssignedMs = nowMs - p.startMs
	}
}

// assignsTable reports whether a message assigns a complete weight table.
func assignsTable(orders *order.Orders) bool {
	return slices.ContainsFunc(orders.Orders, func(single *order.Order) bool { return single.GetBind() != nil })
}

// simulateRequests simulates requests until the context ends. Each request that is admitted and for which a server is found
// succeeds.
func (p *stressProxy) simulateRequests(ctx context.Context, random *rand.Rand) {
	s := p.test
	intervalMs := s.ReportIntervalMs / batchesPerReport
	for clock.Sleep(ctx, s.Clock, intervalMs) == nil {
		p.client.WithCore(func(core *proxy.Core) {
			nowMs := s.Clock.Monotonic()
			for range int(s.RequestsPerSecond*intervalMs/1000 + random.Float64()) {
				p.simulateRequest(core, nowMs, random)
			}
		})
	}
}

// simulateRequest simulates one request of a random traffic class.
func (p *stressProxy) simulateRequest(core *proxy.Core, nowMs float64, random *rand.Rand) {
	class := random.Intn(len(p.test.Classes))
	request, admitted := core.Admit(nowMs, class)
	if !admitted {
		return
	}
	server, _, found := core.Pick(nowMs, request)
	if !found {
		core.RecordNoServer(request)
		return
	}
	latencyMs := minLatencyMs + meanExtraLatencyMs*random.ExpFloat64()
	core.FinishAttempt(nowMs, request, server, proxy.Succeeded, latencyMs)
}

// countingNetwork counts the connections of a StressTest and the bytes sent and received on them.
type countingNetwork struct {
	clock.Network
	test *StressTest
}

// Dial dials through the wrapped network and counts the connection.
func (n countingNetwork) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, from, to)
	if err != nil {
		return nil, err
	}
	n.test.dials.Add(1)
	return countingConnection{Conn: connection, test: n.test}, nil
}

// countingConnection counts the bytes sent and received on a connection.
type countingConnection struct {
	net.Conn
	test *StressTest
}

// Read reads from the connection and counts the bytes received.
func (c countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.test.bytesDown.Add(int64(count))
	return count, err
}

// Write writes to the connection and counts the bytes sent.
func (c countingConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.test.bytesUp.Add(int64(count))
	return count, err
}
