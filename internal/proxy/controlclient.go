package proxy

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	readBytes  = 16 << 10
	writeMs    = 2000.0 // ms a frame to a planner may take
	joinMs     = 2000.0 // ms until a planner's welcome
	outboxSize = 256    // frames that wait for a planner's socket
	expiryMs   = 100.0  // ms between looks at the lease, at the latest
)

// Options are what a proxy runs on.
type Options struct {
	Settings       *pb.Proxy
	Clock          clock.Clock
	Network        clock.Network
	Log            *slog.Logger
	Ready          func(addr net.Addr) // called once it listens; may be nil
	DisableFencing bool                // obeys whatever epoch orders bear: only to prove that this is seen
}

// ControlClient is a proxy's part towards planners: it keeps the streams, obeys and reports. It takes no flows.
type ControlClient struct {
	Options
	mu    sync.Mutex // of all below
	core  *Core
	from  netip.Addr
	start uint64

	sessions []*session // joined ones, where controllers share the fleet
	named    []string   // controllers that were last told to be reachable
	spoken   string     // the last commander, its process, and when it was last heard while it was one
	process  uint64
	spoke    float64

	changed    func()                // called after orders, with the lock held; may be nil
	OnOrders   func(m *order.Orders) // the same, for who measures; may be nil
	OnTakeover func(bareMs float64)  // called when another controller takes over, with the ms since the last frame of the one before
}

// NewControlClient makes one that has no streams yet.
func NewControlClient(o Options) *ControlClient {
	f := &ControlClient{Options: o, core: NewCore(o.Settings, o.Clock.Monotonic())}
	f.from, _ = netip.ParseAddr(o.Settings.From)
	f.start = uint64(o.Clock.WallTime().UnixNano()) ^ rand.New(rand.NewSource(int64(o.Settings.GetSeed()))).Uint64()>>20
	return f
}

// WithCore lets another use the state, while nothing else does.
func (p *ControlClient) WithCore(use func(c *Core)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use(p.core)
}

// Connect keeps a stream to one planner at a time, and dials the next when it breaks; where controllers share the fleet, it
// keeps one to each.
func (p *ControlClient) Connect(ctx context.Context) error {
	if !p.Settings.Sharing {
		return p.keep(ctx, p.Settings.Planners, 0)
	}
	group, ctx := errgroup.WithContext(ctx)
	for n, planner := range p.Settings.Planners {
		group.Go(func() error { return p.keep(ctx, []string{planner}, n) })
	}
	group.Go(func() error { return p.expire(ctx) })
	return group.Wait()
}

func (p *ControlClient) keep(ctx context.Context, planners []string, nth int) error {
	wait := settings.Milliseconds(p.Settings.Redial)
	chance := rand.New(rand.NewSource(int64(p.Settings.GetSeed()) + 1 + int64(nth)))
	told := ""
	for n, streams := 0, uint64(1); ctx.Err() == nil; streams++ {
		joined, err := p.stream(ctx, planners[n%len(planners)], streams)
		if ctx.Err() != nil {
			return nil
		}
		if cause := err.Error(); joined || cause != told { // not at each dial
			told = cause
			p.Log.Info("no planner; going by the tables at hand", "proxy", p.Settings.Name, "planner", planners[n%len(planners)], "cause", err)
		}
		if !joined || errors.As(err, new(*controlstream.CloseError)) {
			n++
		}
		if clock.Sleep(ctx, p.Clock, wait*(0.5+chance.Float64())) != nil {
			return nil
		}
	}
	return nil
}

// expire tells all controllers when a lease runs out.
func (p *ControlClient) expire(ctx context.Context) error {
	for {
		p.mu.Lock()
		now := p.Clock.Monotonic()
		if ended := p.core.grantor.SetTime(now); ended || !slices.Equal(p.reachable(now), p.named) {
			p.spread(nil)
		}
		wait := expiryMs
		if left := p.core.grantor.RemainingMs(); left > 0 {
			wait = min(left+1, expiryMs)
		}
		p.mu.Unlock()
		if clock.Sleep(ctx, p.Clock, wait) != nil {
			return nil
		}
	}
}

// session is one stream to a planner. What it shares with others is guarded by the proxy's lock.
type session struct {
	p          *ControlClient
	out        chan outgoing
	broken     chan struct{} // closed when its outbox is full
	once       sync.Once
	joined     bool
	controller string
	process    uint64
	open       bool    // to claims
	heard      float64 // when bytes last came
	refused    error
}

type outgoing struct {
	kind controlstream.FrameKind
	m    proto.Message
}

// put queues a frame. It must not wait, as it is called with the proxy's lock held.
func (s *session) put(kind controlstream.FrameKind, m proto.Message) {
	select {
	case s.out <- outgoing{kind, m}:
	default:
		s.once.Do(func() { close(s.broken) })
	}
}

func (s *session) OnWelcome(w *order.Welcome) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Sharing != p.Settings.Sharing {
		s.refused = errors.New("'sharing' is set at one side only")
		return
	}
	s.joined, s.controller, s.process = true, w.Planner, w.Incarnation
	if !p.Settings.Sharing {
		p.core.StartSession(w)
		s.put(controlstream.FrameAck, &order.Applied{})
		return
	}
	s.open = true
	p.sessions = append(p.sessions, s)
	p.spread(nil)
}

func (s *session) OnOrders(m *order.Orders) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Monotonic()
	p.core.RecordMessage(now)
	if p.Settings.Sharing && !p.core.AcceptsOrders(now, s.controller, m) && !p.DisableFencing {
		s.put(controlstream.FrameAck, &order.Applied{Number: m.Number, Refused: true, Epoch: p.core.grantor.Epoch})
		return
	}
	receipts := p.core.ApplyOrders(m)
	if p.OnOrders != nil {
		p.OnOrders(m)
	}
	if p.changed != nil {
		p.changed()
	}
	s.put(controlstream.FrameAck, &order.Applied{Number: m.Number, Receipts: receipts, Epoch: p.core.grantor.Epoch})
}

func (s *session) OnLeaseRequest(m *order.Claim) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.Settings.Sharing || m.Controller != s.controller || m.Incarnation != s.process {
		s.refused = errors.New("a claim in another's name")
		return
	}
	now := p.Clock.Monotonic()
	before := p.core.grantor.Controller
	granted, fresh := p.core.HandleLeaseRequest(now, m)
	if fresh {
		if p.OnTakeover != nil && p.spoke > 0 && (p.spoken != s.controller || p.process != s.process) {
			p.OnTakeover(now - p.spoke)
		}
		p.spoke, p.spoken, p.process = now, s.controller, s.process
	}
	w := p.word(now, fresh)
	w.Nonce, w.Granted = m.Nonce, granted
	s.put(controlstream.FrameLease, w)
	if before != p.core.grantor.Controller {
		p.spread(s)
	}
}

func (s *session) OnLeaseRelease(m *order.Release) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.grantor.SetTime(p.Clock.Monotonic())
	if p.core.grantor.Release(s.controller, s.process, m.Epoch) {
		p.spread(nil)
	}
}

func (s *session) OnControllerStatus(m *order.Standing) {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.open != m.Open {
		s.open = m.Open
		p.spread(nil)
	}
}

// word is the proxy's word with the controllers that it can reach; the lock is held.
func (p *ControlClient) word(now float64, fresh bool) *order.Lease {
	w := p.core.LeaseState(now, fresh)
	w.Reachable, w.Controllers = p.reachable(now), uint32(len(p.Settings.Planners))
	return w
}

// reachable names the controllers that are open to claims and were heard lately: a paused one keeps its streams.
func (p *ControlClient) reachable(now float64) (names []string) {
	for _, s := range p.sessions {
		if s.open && now-s.heard < lease.ReachableMs {
			names = append(names, s.controller)
		}
	}
	return names
}

// spread tells all controllers but one who commands the proxy; the lock is held.
func (p *ControlClient) spread(but *session) {
	w := p.word(p.Clock.Monotonic(), false)
	p.named = w.Reachable
	for _, s := range p.sessions {
		if s != but {
			s.put(controlstream.FrameLease, w)
		}
	}
}

// leave ends a session's part in the sharing.
func (p *ControlClient) leave(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := slices.Index(p.sessions, s); n >= 0 {
		p.sessions = slices.Delete(p.sessions, n, n+1)
		p.spread(nil)
	}
}

func (p *ControlClient) stream(ctx context.Context, planner string, streams uint64) (joined bool, err error) {
	dialling, cancel := context.WithTimeout(ctx, time.Duration(joinMs)*time.Millisecond)
	conn, err := p.Network.Dial(dialling, p.from, planner)
	cancel()
	if err != nil {
		return false, err
	}
	defer conn.Close()
	end := controlstream.NewProxySession(controlstream.Limits{
		MaxFrameBytes: int(p.Settings.GetFrameBytes()), HandshakeTimeoutMs: joinMs,
		HeartbeatTimeoutMs: settings.Milliseconds(p.Settings.SilentAfter),
	}, p.Clock.Monotonic())
	s := &session{p: p, out: make(chan outgoing, outboxSize), broken: make(chan struct{})}
	p.mu.Lock()
	join := &order.Join{
		Proxy: p.Settings.Name, Zone: p.Settings.Zone, UsualPerS: settings.PerSecond(p.Settings.Usual), Incarnation: p.start,
		Stream: streams, Standing: !p.core.assigned, Groups: uint32(len(p.Settings.Groups)),
	}
	if p.Settings.Sharing {
		join.Lease = p.word(p.Clock.Monotonic(), false)
	} else {
		join.Holds = p.core.HeldTables()
	}
	p.mu.Unlock()
	s.put(controlstream.FrameJoin, join)
	streaming, stop := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Add(1)
	go func() {
		defer writer.Done()
		p.write(streaming, ctx, s, conn, end)
	}()
	defer func() {
		stop()
		conn.Close()
		writer.Wait()
		p.leave(s)
	}()
	buf := make([]byte, readBytes)
	for {
		conn.SetReadDeadline(p.Clock.Deadline(max(end.Deadline()-p.Clock.Monotonic(), 1)))
		n, err := conn.Read(buf)
		end.Feed(p.Clock.Monotonic(), buf[:n])
		if n > 0 {
			p.mu.Lock()
			s.heard = p.Clock.Monotonic()
			if a := &p.core.grantor; s.joined && a.Controller == s.controller && a.Incarnation == s.process {
				p.spoke = s.heard
			}
			p.mu.Unlock()
		}
		for s.refused == nil && end.Next(s) {
		}
		var timeout net.Error
		switch {
		case s.refused != nil:
			return false, s.refused
		case end.CloseCause() != nil:
			return s.joined, end.CloseCause()
		case err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()):
			return s.joined, err
		}
	}
}

// write sends what is queued, and sums every while: to the planner that commands the proxy. The first come at a moment
// drawn by the proxy's seed, as all proxies would otherwise report at once after a planner's restart.
func (p *ControlClient) write(streaming, proxy context.Context, s *session, conn net.Conn, end *controlstream.ProxySession) {
	defer conn.Close()
	var buf []byte
	put := func(kind controlstream.FrameKind, m proto.Message) bool {
		var err error
		if buf, err = end.Append(buf[:0], kind, m); err != nil {
			return false
		}
		conn.SetWriteDeadline(p.Clock.Deadline(writeMs))
		_, err = conn.Write(buf)
		return err == nil
	}
	every := settings.Milliseconds(p.Settings.ReportEvery)
	next := p.Clock.Monotonic() + every*rand.New(rand.NewSource(int64(p.start))).Float64()
	for {
		fired, stop := p.Clock.NewTimer(next - p.Clock.Monotonic())
		select {
		case <-streaming.Done():
			stop()
			if proxy.Err() != nil {
				put(controlstream.FrameClose, &order.Bye{Reason: "the proxy ends"})
			}
			return
		case <-s.broken:
			stop()
			return
		case m := <-s.out:
			stop()
			if !put(m.kind, m.m) {
				return
			}
		case <-fired:
			next = p.Clock.Monotonic() + every
			if kind, m := p.report(s); kind != 0 && !put(kind, m) {
				return
			}
		}
	}
}

// report gives what is to be said to a planner now: sums if it commands the proxy, else that the proxy lives.
func (p *ControlClient) report(s *session) (controlstream.FrameKind, proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.joined {
		return 0, nil
	}
	now := p.Clock.Monotonic()
	if p.Settings.Sharing {
		p.core.grantor.SetTime(now)
		if a := &p.core.grantor; a.Controller != s.controller || a.Incarnation != s.process {
			return controlstream.FrameHeartbeat, nil
		}
	}
	return controlstream.FrameLoadReport, p.core.TakeLoadReport(now)
}
