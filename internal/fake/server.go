// Package fake simulates the systems around planners and proxies, for tests, scenarios and measurements: servers with cores,
// queues, slow starts and faults; a relay that delays, cuts and observes connections; clients that send open-loop load; an
// endpoint registry; and proxies that speak only the control stream. All of them use real sockets and a [clock.Clock] that the
// caller supplies.
//
// The endpoint registry and the relay run until the context passed to Start ends; a [Server] runs until Crash. Goroutines end
// when their context ends, at the latest when their connections are closed.
package fake

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"lichenpick/internal/clock"
	pb "lichenpick/proto/settings"
)

// shutdownTimeout limits how long RunServer waits for requests in flight after its context has ended.
const shutdownTimeout = time.Second

// Fault is the fault of a server. The zero value is no fault.
type Fault struct {
	Hang       bool    // requests are received but never answered
	Refuse     bool    // requests are rejected at once, as not processed
	Slowdown   float64 // factor by which the duration of work is multiplied; 0: no slowdown
	ErrorRatio float64 // fraction of requests that are processed and answered with an error
	ResetRatio float64 // fraction of requests that are processed and whose connection is then reset
}

// Counts are the numbers of a server's requests, by outcome, and of its crashes by overload. Restarts of the server do not
// reset them.
type Counts struct {
	Received      int
	Succeeded     int
	Rejected      int // requests answered with a header that says that they were not processed
	Failed        int // requests processed and then answered with an error or a reset
	Deduplicated  int // requests in Succeeded that had no effect, because their idempotency key was seen within the window
	ColdOverloads int // crashes by overload while the server was warming up
}

// Server is an HTTP server that simulates the cores, queue and slow start given by its settings. It can be started, crashed and
// started again. Its methods are safe for concurrent use, except that calls of Start and Crash must not overlap.
type Server struct {
	settings     *pb.Server
	clock        clock.Clock
	network      clock.Network
	log          *slog.Logger
	deduplicator *Deduplicator
	cores        chan struct{} // holds one element for each busy core

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	fault       Fault
	warmUp      *WarmUp
	inFlight    int // number of requests that wait for a core or occupy one
	counts      Counts
	running     *http.Server // HTTP server of the current start; nil: the simulated server does not run
	address     string
	connections map[net.Conn]bool
}

// NewServer returns a server that is not running yet. The settings must have been validated by package settings and must not
// change afterwards.
func NewServer(set *pb.Server, c clock.Clock, network clock.Network, log *slog.Logger, deduplicator *Deduplicator) *Server {
	return &Server{
		settings:     set,
		clock:        c,
		network:      network,
		log:          log,
		deduplicator: deduplicator,
		cores:        make(chan struct{}, set.GetCores()),
		random:       rand.New(rand.NewSource(int64(set.GetSeed()))),
		warmUp:       NewWarmUp(set),
		address:      set.Listen,
		connections:  map[net.Conn]bool{},
	}
}

// Start starts the server without a fault, either cold, as after a restart, or warm. It returns the address at which the
// server listens. Later starts use the same address. The server runs until Crash.
func (s *Server) Start(ctx context.Context, cold bool) (string, error) {
	listener, err := s.network.Listen(ctx, s.address)
	if err != nil {
		return "", fmt.Errorf("starting server %s: %w", s.settings.Name, err)
	}
	server := &http.Server{
		Handler:   http.HandlerFunc(s.handle),
		ConnState: s.trackConnection,
		ErrorLog:  slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.mu.Lock()
	s.running = server
	s.address = listener.Addr().String()
	s.fault = Fault{}
	s.warmUp.Start(s.clock.Monotonic(), cold)
	s.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("fake server failed", "server", s.settings.Name, "error", err)
		}
	}()
	return listener.Addr().String(), nil
}

// Crash stops the server at once and breaks off all requests in flight. It does nothing if the server is not running.
func (s *Server) Crash() {
	s.mu.Lock()
	running := s.running
	s.running = nil
	s.mu.Unlock()
	if running != nil {
		_ = running.Close() // fails only if the listener is closed already
	}
}

// shutdown stops the server after its requests in flight have ended, or after shutdownTimeout.
func (s *Server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := running.Shutdown(ctx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stopping server %s: %w", s.settings.Name, err)
	}
	s.Crash()
	return nil
}

// RunServer runs a server until the context ends, and then shuts it down.
func RunServer(ctx context.Context, set *pb.Server, c clock.Clock, network clock.Network, log *slog.Logger) error {
	server := NewServer(set, c, network, log, &Deduplicator{})
	address, err := server.Start(ctx, set.Cold)
	if err != nil {
		return err
	}
	log.Info("fake server listens", "server", set.Name, "address", address)
	<-ctx.Done()
	return server.shutdown(context.WithoutCancel(ctx))
}

// SetFault sets the fault of the server. The next start clears the fault.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Counts returns the numbers of requests and crashes so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ColdOverloads = s.warmUp.Overloads()
	return counts
}

// StartedMs returns the clock's monotonic time in ms of the last cold start, or 0 if the server was started warm.
func (s *Server) StartedMs() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmUp.StartedMs()
}
