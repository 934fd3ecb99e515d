package planner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	stopTimeout       = 10 * time.Second
	eventuallyTimeout = 20 * time.Second // far longer than any awaited condition takes
	eventuallyPoll    = 2 * time.Millisecond
	pausePoll         = 5 * time.Millisecond
)

// pushSource is an endpoint source to which a test pushes updates.
type pushSource chan discovery.Update

// Run delivers updates until the context ends.
func (p pushSource) Run(ctx context.Context, deliver func(discovery.Update)) error {
	for {
		select {
		case update := <-p:
			deliver(update)
		case <-ctx.Done():
			return nil
		}
	}
}

// steppedClock is the real clock with a wall-clock time that a test can step.
type steppedClock struct {
	*clock.Real
	offset atomic.Int64 // offset added to the wall-clock time; a time.Duration
}

func (s *steppedClock) WallTime() time.Time {
	return s.Real.WallTime().Add(time.Duration(s.offset.Load()))
}

// logBuffer collects the log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how often a text occurs in the log output.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// testServer is a planner that Run runs on a loopback address.
type testServer struct {
	t       *testing.T
	address string
	source  pushSource
	clock   *steppedClock
	log     *logBuffer
	cancel  context.CancelFunc
	done    chan struct{} // closed when Run has returned
	err     error         // the result of Run; valid after done is closed
	last    *Status       // the last status; valid after done is closed
}

// startServer runs a planner until the test ends, with an endpoint list of some servers. If decider is nil, the policy
// decides.
func startServer(t *testing.T, set *pb.Planner, decider Decider, servers int) *testServer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &testServer{
		t:      t,
		source: make(pushSource, 100),
		clock:  &steppedClock{Real: clock.NewReal()},
		log:    &logBuffer{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	ready := make(chan string, 1)
	options := Options{
		Settings: set,
		Clock:    s.clock,
		Network:  clock.TCP{},
		Source:   s.source,
		Log:      slog.New(slog.NewTextHandler(s.log, nil)),
		Ready:    func(address net.Addr) { ready <- address.String() },
		Decider:  decider,
		Status:   func(status *Status) { s.last = status },
	}
	go func() {
		defer close(s.done)
		s.err = Run(ctx, options)
	}()
	t.Cleanup(s.cancelAndWait)
	select {
	case s.address = <-ready:
	case <-s.done:
		t.Fatal("the planner did not start: ", s.err)
	}
	if servers > 0 {
		s.source <- endpointList(servers)
	}
	return s
}

// cancelAndWait cancels the planner's context and waits until Run has returned.
func (s *testServer) cancelAndWait() {
	s.t.Helper()
	s.cancel()
	select {
	case <-s.done:
	case <-time.After(stopTimeout):
		s.t.Error("the planner did not stop in time")
	}
}

// stop stops the planner, checks that Run returned no error, and returns the last status.
func (s *testServer) stop() *Status {
	s.t.Helper()
	s.cancelAndWait()
	select {
	case <-s.done:
	default:
		s.t.FailNow()
	}
	if s.err != nil {
		s.t.Error(s.err)
	}
	return s.last
}

// testProxy is a proxy's end of a stream. It acknowledges all messages and records the orders.
type testProxy struct {
	controlstream.NoopLeaseHandler
	conn    net.Conn
	session *controlstream.ProxySession // the goroutine in read owns the reading half; writeMu guards the writing half
	writeMu sync.Mutex
	paused  atomic.Bool   // while set, the proxy reads nothing
	done    chan struct{} // closed when the stream has ended

	mu     sync.Mutex
	orders []*order.Orders           // all received orders; guarded by mu
	cause  *controlstream.CloseError // why the stream ended; nil until it has ended; guarded by mu
}

// connect opens a stream without joining.
func (s *testServer) connect() *testProxy {
	s.t.Helper()
	conn, err := clock.TCP{}.Dial(s.t.Context(), netip.MustParseAddr("127.1.0.9"), s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	limits := controlstream.Limits{MaxFrameBytes: 1 << 20, HandshakeTimeoutMs: 60000, HeartbeatTimeoutMs: 60000}
	p := &testProxy{conn: conn, session: controlstream.NewProxySession(limits, 0), done: make(chan struct{})}
	s.t.Cleanup(func() {
		closeQuietly(conn)
		p.paused.Store(false)
		<-p.done
	})
	go p.read()
	return p
}

// join opens a stream and joins.
func (s *testServer) join(name string, incarnation, streamNumber uint64) *testProxy {
	s.t.Helper()
	p := s.connect()
	p.send(controlstream.FrameJoin, &order.Join{
		Proxy:       name,
		UsualPerS:   10,
		Incarnation: incarnation,
		Stream:      streamNumber,
		Groups:      testClassCount,
	})
	return p
}

// joinAndAwaitTable opens a stream, joins, and waits until a table is assigned.
func (s *testServer) joinAndAwaitTable(name string, incarnation, streamNumber uint64) *testProxy {
	s.t.Helper()
	p := s.join(name, incarnation, streamNumber)
	eventually(s.t, "the assignment of a table to "+name, func() bool { return p.received(isAssignment) })
	return p
}

// read handles the frames from the planner until the stream ends.
func (p *testProxy) read() {
	defer close(p.done)
	buffer := make([]byte, 8192)
	for {
		count, err := p.conn.Read(buffer)
		for p.paused.Load() {
			time.Sleep(pausePoll)
		}
		p.session.Feed(0, buffer[:count])
		for p.session.Next(p) {
		}
		if p.session.CloseCause() != nil || err != nil {
			p.mu.Lock()
			p.cause = p.session.CloseCause()
			p.mu.Unlock()
			return
		}
	}
}

// send sends a frame. It ignores errors, because read notices that the stream has ended.
func (p *testProxy) send(kind controlstream.FrameKind, message proto.Message) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	frame, err := p.session.Append(nil, kind, message)
	if err == nil {
		_, _ = p.conn.Write(frame)
	}
}

// OnWelcome acknowledges the welcome.
func (p *testProxy) OnWelcome(*order.Welcome) { p.send(controlstream.FrameAck, &order.Applied{}) }

// OnOrders records and acknowledges orders.
func (p *testProxy) OnOrders(orders *order.Orders) {
	p.mu.Lock()
	p.orders = append(p.orders, orders)
	p.mu.Unlock()
	p.send(controlstream.FrameAck, acknowledgementOf(orders))
}

// received reports whether the proxy has received a matching order.
func (p *testProxy) received(matches func(*order.Order) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, orders := range p.orders {
		for _, o := range orders.Orders {
			if matches(o) {
				return true
			}
		}
	}
	return false
}

// closeCause returns why the stream ended; nil while it is open, or if the connection ended without a close frame.
func (p *testProxy) closeCause() *controlstream.CloseError {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cause
}

// isClosedFor reports whether the planner sent a close frame with a reason.
func (p *testProxy) isClosedFor(reason controlstream.CloseReason) bool {
	cause := p.closeCause()
	return cause != nil && cause.Reason == controlstream.ReasonPeerClosed && cause.Detail == string(reason)
}

// eventually waits until a condition holds, and fails the test if it does not within eventuallyTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(eventuallyPoll)
	}
}

// encodeFrame returns an encoded frame that is the first of its stream.
func encodeFrame(t *testing.T, kind controlstream.FrameKind, message proto.Message) []byte {
	t.Helper()
	encoded, err := controlstream.AppendFrame(nil, kind, 1, message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// panickingPolicy panics when a proxy joins.
type panickingPolicy struct{ Decider }

var errPolicyPanic = errors.New("intended panic of the test policy")

func (panickingPolicy) AddProxy(int, int, float64, ...float64) { panic(errPolicyPanic) }

// stallingPolicy blocks the core while a test holds the mutex gate, and counts the attempts that it records.
type stallingPolicy struct {
	Decider
	gate     sync.Mutex
	attempts atomic.Int64
	lagging  chan bool // receives the argument of each call of SetLagging
}

func (s *stallingPolicy) SetTime(now float64) {
	s.waitForGate()
	s.Decider.SetTime(now)
}

func (s *stallingPolicy) waitForGate() {
	s.gate.Lock()
	defer s.gate.Unlock()
}

func (s *stallingPolicy) RecordLoadReport(server string, zone, count, failed int, latency, covers float64) {
	s.attempts.Add(int64(count))
	s.Decider.RecordLoadReport(server, zone, count, failed, latency, covers)
}

func (s *stallingPolicy) SetLagging(on bool) {
	s.lagging <- on
	s.Decider.SetLagging(on)
}
