package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Limits of a control stream, at the proxy's end.
const (
	readBufferBytes      = 16 << 10
	writeTimeoutMs       = 2000.0 // ms that the write of a frame may take
	handshakeTimeoutMs   = 2000.0 // ms until the connection stands, and then until the planner's welcome
	maxOutboxFrames      = 256    // frames that wait for a planner that does not read
	leaseCheckIntervalMs = 100.0  // ms between checks of the lease, at the most
)

// Keys of log attributes.
const (
	logProxy   = "proxy"
	logPlanner = "planner"
	logCause   = "cause"
	logAddress = "address"
)

// Options are what a proxy runs on. Without a note, a field must be set.
type Options struct {
	Settings *pb.Proxy // checked and with its defaults, as settings.Load gives them; not changed
	Clock    clock.Clock
	Network  clock.Network
	Log      *slog.Logger

	// Ready is called once when a Proxy listens, from the goroutine of Run. Nil: not called.
	Ready func(address net.Addr)
	// DisableFencing has the proxy apply orders of any epoch, so that tests can show that checkers notice. False: orders of
	// another epoch than the granted one are rejected.
	DisableFencing bool
}

// ControlClient is a proxy's part towards planners: it keeps the control streams, applies orders and reports load. It
// forwards no requests. Set the callbacks before Connect; they run with the client's lock held and must not block.
type ControlClient struct {
	Options

	// OnOrders is called after each message of orders that was applied. Nil: not called.
	OnOrders func(message *order.Orders)
	// OnTakeover is called when a new controller gets the lease, with the ms since the last bytes of the holder before. Nil:
	// not called.
	OnTakeover func(withoutHolderMs float64)

	localAddress netip.Addr // local address to dial from; invalid: any
	incarnation  uint64     // of this process, towards planners
	afterOrders  func()     // like OnOrders, for Proxy; may be nil

	mu   sync.Mutex // guards what follows
	core *Core

	// The rest is used only where controllers share the fleet.
	sessions           []*session // those that joined
	announcedReachable []string   // controllers that were last announced as reachable
	lastHolder         leaseHolder
}

// leaseHolder is the controller that last held the lease.
type leaseHolder struct {
	controller     string
	incarnation    uint64
	lastReceivedMs float64 // when it last sent anything while it held the lease; 0: there was no holder yet
}

// NewControlClient makes a client that has no streams yet.
func NewControlClient(options Options) *ControlClient {
	client := &ControlClient{
		Options: options,
		core:    NewCore(options.Settings, options.Clock.Monotonic()),
	}
	client.localAddress, _ = netip.ParseAddr(options.Settings.From) // checked by settings; empty: any address
	random := rand.New(rand.NewSource(int64(options.Settings.GetSeed())))
	client.incarnation = uint64(options.Clock.WallTime().UnixNano()) ^ random.Uint64()>>20
	return client
}

// WithCore calls a function with the client's Core, while nothing else uses it. The function must not keep it or block.
func (c *ControlClient) WithCore(use func(core *Core)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	use(c.core)
}

// Connect keeps a stream to one planner at a time, and dials the next one when it breaks; where controllers share the fleet,
// it keeps a stream to each. It returns nil when the context ends.
func (c *ControlClient) Connect(ctx context.Context) error {
	if !c.Settings.Sharing {
		c.keepConnected(ctx, c.Settings.Planners, 0)
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	for index, planner := range c.Settings.Planners {
		group.Go(func() error {
			c.keepConnected(ctx, []string{planner}, index)
			return nil
		})
	}
	group.Go(func() error {
		c.watchLease(ctx)
		return nil
	})
	return group.Wait()
}

// keepConnected holds a stream to one of some planners until the context ends. The index tells apart loops of one client, so
// that they do not redial in step.
func (c *ControlClient) keepConnected(ctx context.Context, planners []string, index int) {
	redialMs := settings.Milliseconds(c.Settings.Redial)
	random := rand.New(rand.NewSource(int64(c.Settings.GetSeed()) + 1 + int64(index)))
	lastCause := ""
	next := 0
	for streamNumber := uint64(1); ctx.Err() == nil; streamNumber++ {
		planner := planners[next%len(planners)]
		joined, err := c.runStream(ctx, planner, streamNumber)
		if ctx.Err() != nil {
			return
		}
		if cause := err.Error(); joined || cause != lastCause { // one line, not one for each attempt
			lastCause = cause
			c.Log.Info("control stream ended; keeping the tables held", slog.String(logProxy, c.Settings.Name),
				slog.String(logPlanner, planner), slog.Any(logCause, err))
		}
		var closeErr *controlstream.CloseError
		if !joined || errors.As(err, &closeErr) {
			next++ // a planner that closed the stream, or could not be joined, is not the first to be tried again
		}
		if clock.Sleep(ctx, c.Clock, redialMs*(0.5+random.Float64())) != nil {
			return
		}
	}
}

// watchLease announces to all controllers when the lease expires, or other controllers are reachable, until the context ends.
func (c *ControlClient) watchLease(ctx context.Context) {
	for {
		waitMs := c.checkLease()
		if clock.Sleep(ctx, c.Clock, waitMs) != nil {
			return
		}
	}
}

// checkLease announces what changed, and says for how many ms nothing can expire.
func (c *ControlClient) checkLease() (waitMs float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nowMs := c.Clock.Monotonic()
	expired := c.core.grantor.SetTime(nowMs)
	if expired || !slices.Equal(c.reachable(nowMs), c.announcedReachable) {
		c.announceLease(nil)
	}
	if remainingMs := c.core.grantor.RemainingMs(); remainingMs > 0 {
		return min(remainingMs+1, leaseCheckIntervalMs)
	}
	return leaseCheckIntervalMs
}

// leaseState is the Core's lease state with the controllers that the proxy can reach. The lock must be held.
func (c *ControlClient) leaseState(nowMs float64, toNewHolder bool) *order.Lease {
	state := c.core.LeaseState(nowMs, toNewHolder)
	state.Reachable = c.reachable(nowMs)
	state.Controllers = uint32(len(c.Settings.Planners))
	return state
}

// reachable names the controllers that take leases and sent something lately: a paused process keeps its streams. The lock
// must be held.
func (c *ControlClient) reachable(nowMs float64) (controllers []string) {
	for _, session := range c.sessions {
		if session.takesLeases && nowMs-session.lastReceivedMs < lease.ReachableMs {
			controllers = append(controllers, session.controller)
		}
	}
	return controllers
}

// announceLease sends who holds the lease to all controllers but one, which may be nil. The lock must be held.
func (c *ControlClient) announceLease(except *session) {
	state := c.leaseState(c.Clock.Monotonic(), false)
	c.announcedReachable = state.Reachable
	for _, session := range c.sessions {
		if session != except {
			session.send(controlstream.FrameLease, state)
		}
	}
}

// removeSession ends a session's part in the sharing of the fleet.
func (c *ControlClient) removeSession(ended *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := slices.Index(c.sessions, ended); index >= 0 {
		c.sessions = slices.Delete(c.sessions, index, index+1)
		c.announceLease(nil)
	}
}

// join is the first message of a stream.
func (c *ControlClient) join(streamNumber uint64) *order.Join {
	c.mu.Lock()
	defer c.mu.Unlock()
	join := &order.Join{
		Proxy:       c.Settings.Name,
		Zone:        c.Settings.Zone,
		UsualPerS:   settings.PerSecond(c.Settings.Usual),
		Incarnation: c.incarnation,
		Stream:      streamNumber,
		Standing:    !c.core.tableAssigned,
		Groups:      uint32(len(c.Settings.Groups)),
	}
	if c.Settings.Sharing {
		join.Lease = c.leaseState(c.Clock.Monotonic(), false)
	} else {
		join.Holds = c.core.HeldTables()
	}
	return join
}

// dial connects to a planner.
func (c *ControlClient) dial(ctx context.Context, planner string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(handshakeTimeoutMs)*time.Millisecond)
	defer cancel()
	conn, err := c.Network.Dial(ctx, c.localAddress, planner)
	if err != nil {
		return nil, fmt.Errorf("dialling a planner: %w", err)
	}
	return conn, nil
}
