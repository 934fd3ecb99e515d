// Package fake has models of what surrounds the product, for tests, scenarios and measurements: servers with cores, queues,
// slow starts and faults; a relay that delays, cuts and observes connections; clients that send open-loop load; an endpoint
// registry; and proxies that only speak the control stream. All run on real sockets and a [clock.Clock] that is handed in.
//
// What has a Start method runs until the context of Start ends. Goroutines end with that context too, at the latest when
// their connections are closed.
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

// shutdownTimeout is how long requests in flight may take after the end of RunServer.
const shutdownTimeout = time.Second

// Fault is what is wrong with a server; the zero value is nothing.
type Fault struct {
	Hang       bool    // it receives requests and answers none
	Refuse     bool    // it says at once that it does not process requests
	Slowdown   float64 // factor of the time that work takes; 0: none
	ErrorRatio float64 // share of requests that are processed and answered with an error
	ResetRatio float64 // share of requests that are processed and whose connection is then reset
}

// Counts are how requests ended at a server, over all its starts.
type Counts struct {
	Received      int
	Succeeded     int
	Rejected      int // with proof that they were not processed
	Failed        int // processed, and then answered with an error or a reset
	Deduplicated  int // of those that succeeded: a second time within the window, without an effect
	ColdOverloads int // crashes while the server warmed up
}

// Server is an HTTP server that works on requests as its settings say. It can be started, crashed and started again. Any
// goroutine may call its methods, but calls of Start and Crash must not overlap.
type Server struct {
	settings     *pb.Server
	clock        clock.Clock
	network      clock.Network
	log          *slog.Logger
	deduplicator *Deduplicator
	cores        chan struct{} // one element for each busy core

	mu          sync.Mutex // guards all below
	chance      *rand.Rand
	fault       Fault
	warmUp      *WarmUp
	inFlight    int // requests that wait or are processed
	counts      Counts
	running     *http.Server // nil: it does not run
	address     string
	connections map[net.Conn]bool
}

// NewServer returns a server that does not run yet. The settings must have passed the check of package settings, and must
// not change afterwards.
func NewServer(set *pb.Server, c clock.Clock, network clock.Network, log *slog.Logger, deduplicator *Deduplicator) *Server {
	return &Server{
		settings:     set,
		clock:        c,
		network:      network,
		log:          log,
		deduplicator: deduplicator,
		cores:        make(chan struct{}, set.GetCores()),
		chance:       rand.New(rand.NewSource(int64(set.GetSeed()))),
		warmUp:       NewWarmUp(set),
		address:      set.Listen,
		connections:  map[net.Conn]bool{},
	}
}

// Start listens, cold as after a restart or warm, without a fault. It returns the address, at which later starts listen
// again. The server runs until Crash.
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

// Crash ends the server at once, with all requests in flight. It does nothing where the server does not run.
func (s *Server) Crash() {
	s.mu.Lock()
	running := s.running
	s.running = nil
	s.mu.Unlock()
	if running != nil {
		_ = running.Close() // the listener may be closed already
	}
}

// shutdown ends the server gracefully, as far as the timeout allows.
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

// RunServer runs a server until the context ends.
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

// SetFault changes what is wrong with the server, until its next start.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Counts returns how requests ended so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ColdOverloads = s.warmUp.Overloads()
	return counts
}

// StartedMs returns the time of the last cold start, in ms of the clock, and 0 where the server was started warm.
func (s *Server) StartedMs() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmUp.StartedMs()
}
