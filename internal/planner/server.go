package planner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/decisionlog"
	"lichenpick/internal/discovery"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

// ErrCoreFailed is wrapped by the error that Run returns if the core panicked. A panic is a bug in the planner, not a
// failure of its environment.
var ErrCoreFailed = errors.New("planner core failed")

// Options configure Run. Fields are required unless their comments say otherwise.
type Options struct {
	Settings *pb.Planner // settings of the planner, already checked by package settings
	Clock    clock.Clock
	Network  clock.Network
	Source   discovery.Source // source of the endpoint list
	Log      *slog.Logger
	Ready    func(addr net.Addr) // called once, when the planner accepts proxies; optional
	Decider  Decider             // makes the decisions; nil: the policy that NewPolicy returns
	Status   func(*Status)       // called with the last status before Run returns, unless Run failed to start; optional
}

// server is a running planner. It has one goroutine each for the listener, the core, the endpoint source, the epoch store
// and the status server, and three for each connection. All of them end before Run returns.
type server struct {
	Options
	limits   controlstream.Limits
	loop     *eventLoop
	acceptor *acceptor
	status   *statusPublisher
	reports  *coalescedReports
	partial  partialFrames
	epochs   *epochWriter // reserves epochs in the store; nil: planners do not share the fleet
}

// Run runs a planner until the context ends, and then closes the streams of its proxies, which keep their tables. It returns
// nil if the context ended, an error that wraps ErrCoreFailed if the core panicked, and otherwise the reason why the planner
// could not start or continue.
func Run(ctx context.Context, o Options) error {
	listener, err := o.Network.Listen(ctx, o.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for proxies: %w", err)
	}
	defer closeQuietly(listener)
	s := newServer(o)
	if o.Settings.Sharing != nil { // a planner of a shared fleet must not command proxies without its epoch store
		epochStore, err := store.Open(o.Settings.Sharing.Store, o.Settings.Name)
		if err != nil {
			return fmt.Errorf("opening the epoch store: %w", err)
		}
		defer closeQuietly(epochStore)
		s.shareFleet(epochStore)
	}
	s.loop.publishStatus(true)
	s.restoreEndpoints()
	var statusListener net.Listener
	if o.Settings.Status != "" {
		statusListener, err = o.Network.Listen(ctx, o.Settings.Status)
		if err != nil {
			return fmt.Errorf("listening for status: %w", err)
		}
	}
	err = s.run(ctx, listener, statusListener)
	if o.Status != nil {
		o.Status(s.status.load())
	}
	o.Log.Info("planner stopped", slog.String(logKeyPlanner, o.Settings.Name), slog.Any(logKeyError, err))
	return err
}

// newServer returns a server that is not running. Its core has no endpoints and no proxies.
func newServer(o Options) *server {
	if o.Decider == nil {
		decider := NewPolicy(o.Settings)
		decider.SetObserver(decisionlog.New(o.Log))
		o.Decider = decider
	}
	core := NewCore(o.Settings, o.Decider, newIncarnation(), o.Clock.Monotonic())
	s := &server{
		Options: o,
		limits: controlstream.Limits{
			MaxFrameBytes:      int(o.Settings.Streams.GetFrameBytes()),
			HandshakeTimeoutMs: settings.Milliseconds(o.Settings.Streams.JoinWithin),
			HeartbeatTimeoutMs: settings.Milliseconds(o.Settings.Streams.SilentAfter),
		},
		status:  &statusPublisher{},
		reports: newCoalescedReports(),
	}
	s.acceptor = newAcceptor(o, s.status, s.serveConnection)
	s.loop = &eventLoop{
		Options:  o,
		core:     core,
		inputs:   make(chan input, inputQueueCapacity),
		reports:  s.reports,
		acceptor: s.acceptor,
		status:   s.status,
	}
	return s
}

// shareFleet makes the planner one of several that share a fleet.
func (s *server) shareFleet(epochStore *store.Store) {
	s.epochs = newEpochWriter(epochStore, s.loop, s.Log)
	s.loop.epochs = s.epochs.requests
	s.loop.core.EnableLeases(epochStore.ReservedEpoch())
}

// restoreEndpoints reads the endpoint list that an earlier process saved, if there is one, and passes the list to the core.
func (s *server) restoreEndpoints() {
	path := s.Settings.List.Keep
	if path == "" {
		return
	}
	update, found, err := discovery.Restore(path, uint64(s.Clock.WallTime().UnixMilli()))
	switch {
	case err != nil:
		s.Log.Warn("saved endpoint list cannot be read; starting without one", slog.Any(logKeyError, err))
	case found:
		s.loop.core.UpdateEndpoints(update)
		s.Log.Info("starting from the saved endpoint list", slog.Int(logKeyServers, len(update.Endpoints)))
	}
}

// run starts the server's goroutines and waits for them. The acceptor waits for the goroutines of the connections, so that
// a connection that fails does not stop the planner.
func (s *server) run(ctx context.Context, listener, statusListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.acceptor.run(ctx, listener) })
	group.Go(func() error { return s.loop.run(ctx) })
	group.Go(func() error { return s.followEndpoints(ctx) })
	if s.epochs != nil {
		group.Go(func() error { return s.epochs.run(ctx) })
	}
	if statusListener != nil {
		page := &statusServer{status: s.status, loop: s.loop, shared: s.epochs != nil, log: s.Log}
		group.Go(func() error { return page.run(ctx, statusListener) })
	}
	address := listener.Addr()
	s.Log.Info("planner listens", slog.String(logKeyPlanner, s.Settings.Name), slog.String(logKeyAddress, address.String()))
	if s.Ready != nil {
		s.Ready(address)
	}
	return group.Wait()
}

// followEndpoints passes the source's updates to the core.
func (s *server) followEndpoints(ctx context.Context) error {
	return s.Source.Run(ctx, func(update discovery.Update) {
		if update.Fault != "" {
			s.Log.Warn("endpoint update failed; the last list stays in force", slog.String(logKeyCause, update.Fault))
		}
		s.loop.submit(ctx, func(c *Core) { c.UpdateEndpoints(update) })
	})
}

// newIncarnation returns a random number other than 0, which identifies this process among all that run, or ran, under
// the same name.
func newIncarnation() uint64 {
	var number [8]byte
	rand.Read(number[:])
	return binary.BigEndian.Uint64(number[:]) | 1
}

// closeQuietly closes something that is no longer used. It ignores the error, because nothing can be done about it.
func closeQuietly(c io.Closer) { _ = c.Close() }
