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

// Limits at the proxy's end of a control stream.
const (
	readBufferBytes      = 16 << 10
	writeTimeoutMs       = 2000.0 // time limit for writing a frame, in ms
	handshakeTimeoutMs   = 2000.0 // time limit for dialling a planner, and again for receiving its Welcome, in ms
	maxOutboxFrames      = 256    // largest number of frames queued for a planner that reads slowly
	leaseCheckIntervalMs = 100.0  // longest interval between checks of the lease, in ms
)

// Log attribute keys.
const (
	logProxy   = "proxy"
	logPlanner = "planner"
	logCause   = "cause"
	logAddress = "address"
	logServer  = "server"
	logStatus  = "status"
)

// Options configure a ControlClient or a Proxy. All fields must be set unless noted otherwise.
type Options struct {
	Settings *pb.Proxy // the proxy's settings, validated and with defaults applied, as returned by settings.Load; never modified
	Clock    clock.Clock
	Network  clock.Network
	Log      *slog.Logger

	// Ready, if not nil, is called once with the address on which a Proxy listens, from the goroutine of Run.
	Ready func(address net.Addr)
	// DisableFencing makes the proxy apply orders from any controller and of any epoch, so that tests can show that their
	// checks detect orders from a sender without the lease. Without DisableFencing, the proxy rejects orders unless the
	// sender holds the lease under the orders' epoch.
	DisableFencing bool
}

// ControlClient is the part of a proxy that talks to planners: it maintains the control streams, applies orders and sends
// load reports. It forwards no requests. Set the callbacks before calling Connect. They are called with the client's mutex
// held and must not block.
type ControlClient struct {
	Options

	// OnOrders, if not nil, is called after each Orders message that was applied.
	OnOrders func(message *order.Orders)
	// OnTakeover, if not nil, is called when another controller process gets the lease, with the time in ms since the
	// previous holder last sent anything.
	OnTakeover func(withoutHolderMs float64)

	localAddress netip.Addr // local address to dial from; the zero value means any
	incarnation  uint64     // identifies this process to planners
	afterOrders  func()     // if not nil, called by session.OnOrders after the OnOrders callback; set by Proxy

	mu   sync.Mutex // guards the fields below
	core *Core

	// The fields below are used only where several controllers share the fleet.
	sessions           []*session // sessions whose planner has welcomed the proxy
	announcedReachable []string   // controllers that the last announced lease state listed as reachable
	lastHolder         leaseHolder
}

// leaseHolder is the controller that last held the lease.
type leaseHolder struct {
	controller     string
	incarnation    uint64
	lastReceivedMs float64 // time in ms at which bytes last came from the controller while it held the lease; 0: no holder yet
}

// NewControlClient returns a client without streams.
func NewControlClient(options Options) *ControlClient {
	client := &ControlClient{
		Options: options,
		core:    NewCore(options.Settings, options.Clock.Monotonic()),
	}
	// ParseAddr fails only if the setting is empty, because the settings are validated.
	client.localAddress, _ = netip.ParseAddr(options.Settings.From)
	random := rand.New(rand.NewSource(int64(options.Settings.GetSeed())))
	client.incarnation = uint64(options.Clock.WallTime().UnixNano()) ^ random.Uint64()>>20
	return client
}

// WithCore calls a function with the client's Core while holding the mutex. The function must not retain the Core or block.
func (c *ControlClient) WithCore(use func(core *Core)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	use(c.core)
}

// Connect maintains a stream to one of the planners: when the stream ends, Connect dials the same or the next planner. Where
// several controllers share the fleet, Connect maintains a stream to each of them. It returns nil when the context ends.
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

// keepConnected maintains a stream to one of the planners until the context ends. Concurrent calls for one client must have
// different indexes, which seed the random redial delays, so that the calls do not redial at the same times.
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
		if cause := err.Error(); joined || cause != lastCause { // logs repeated failures of the same cause only once
			lastCause = cause
			c.Log.Info("control stream ended; keeping the tables held", slog.String(logProxy, c.Settings.Name),
				slog.String(logPlanner, planner), slog.Any(logCause, err))
		}
		var closeErr *controlstream.CloseError
		if !joined || errors.As(err, &closeErr) {
			next++ // the next dial goes to another planner, unless a joined stream only lost its connection
		}
		if clock.Sleep(ctx, c.Clock, redialMs*(0.5+random.Float64())) != nil {
			return
		}
	}
}

// watchLease sends the lease state to all controllers whenever the lease expires or the set of reachable controllers changes,
// until the context ends.
func (c *ControlClient) watchLease(ctx context.Context) {
	for {
		waitMs := c.checkLease()
		if clock.Sleep(ctx, c.Clock, waitMs) != nil {
			return
		}
	}
}

// checkLease announces the lease state if it has changed, and returns the time in ms until the next check is due.
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

// leaseState returns the Core's lease state with the controllers that the proxy can reach. The mutex must be held.
func (c *ControlClient) leaseState(nowMs float64, toNewHolder bool) *order.Lease {
	state := c.core.LeaseState(nowMs, toNewHolder)
	state.Reachable = c.reachable(nowMs)
	state.Controllers = uint32(len(c.Settings.Planners))
	return state
}

// reachable returns the names of the controllers that accept leases and have sent something recently. An open stream is not
// sufficient, because a stream stays open while the controller's process is paused. The mutex must be held.
func (c *ControlClient) reachable(nowMs float64) (controllers []string) {
	for _, session := range c.sessions {
		if session.takesLeases && nowMs-session.lastReceivedMs < lease.UnreachableAfterMs {
			controllers = append(controllers, session.controller)
		}
	}
	return controllers
}

// announceLease sends the lease state to all controllers except the controller of the given session; a nil session excludes
// none. The mutex must be held.
func (c *ControlClient) announceLease(except *session) {
	state := c.leaseState(c.Clock.Monotonic(), false)
	c.announcedReachable = state.Reachable
	for _, session := range c.sessions {
		if session != except {
			session.send(controlstream.FrameLease, state)
		}
	}
}

// removeSession removes an ended session from the list and announces that its controller is no longer reachable. It does
// nothing unless several controllers share the fleet.
func (c *ControlClient) removeSession(ended *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := slices.Index(c.sessions, ended); index >= 0 {
		c.sessions = slices.Delete(c.sessions, index, index+1)
		c.announceLease(nil)
	}
}

// join returns the Join message, which the proxy sends first on a stream.
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

// dial connects to a planner within handshakeTimeoutMs.
func (c *ControlClient) dial(ctx context.Context, planner string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(handshakeTimeoutMs)*time.Millisecond)
	defer cancel()
	conn, err := c.Network.Dial(ctx, c.localAddress, planner)
	if err != nil {
		return nil, fmt.Errorf("dialling a planner: %w", err)
	}
	return conn, nil
}
