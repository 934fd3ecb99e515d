// Package fake holds what stands in for the outside: servers with cores, queues, cold starts and faults, a relay
// that delays, cuts and records, clients with open-loop arrivals, and a list service. All are models, on loopback.
package fake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Fault is what is wrong with a server; the zero value is nothing.
type Fault struct {
	Hang   bool    // takes flows and answers none
	Refuse bool    // says at once that it does not run the flow
	Slow   float64 // times slower; 0: not
	Errors float64 // share of flows that run and are answered with an error
	Reset  float64 // share of flows that run and whose connection then breaks
}

// Deduplicator is what the servers of one scope share: a deduped flow that runs twice within the window has one effect.
type Deduplicator struct {
	mu   sync.Mutex
	seen map[string]float64
}

// first says whether a key is new within the window, and remembers it.
func (d *Deduplicator) first(key string, now, windowMs float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]float64{}
	}
	at, known := d.seen[key]
	if len(d.seen) > 1<<14 {
		for k, t := range d.seen {
			if now-t > windowMs {
				delete(d.seen, k)
			}
		}
	}
	d.seen[key] = now
	return !known || now-at > windowMs
}

// Counts are what a server met.
type Counts struct{ Received, Succeeded, Rejected, Failed, Deduplicated, ColdOverloads int }

// Server is a stand-in server, which can be started, crashed and replaced.
type Server struct {
	set   *pb.Server
	clock clock.Clock
	net   clock.Network
	log   *slog.Logger
	dedup *Deduplicator

	mu      sync.Mutex
	chance  *rand.Rand
	fault   Fault
	born    float64 // ms of the clock; 0: long past
	fallen  bool
	waiting int
	came    []arrival // of a cold server's window
	counts  Counts
	cores   chan struct{}
	running *http.Server
	address string
	conns   map[net.Conn]bool
}

type arrival struct{ at, work float64 }

// NewServer makes one that does not listen yet.
func NewServer(set *pb.Server, c clock.Clock, n clock.Network, log *slog.Logger, dedup *Deduplicator) *Server {
	s := &Server{
		set: set, clock: c, net: n, log: log, dedup: dedup, chance: rand.New(rand.NewSource(int64(set.GetSeed()))),
		cores: make(chan struct{}, set.GetCores()), address: set.Listen, conns: map[net.Conn]bool{},
	}
	return s
}

// Start listens; cold as after a restart, or long warm. It gives the address, which a later Start keeps.
func (s *Server) Start(ctx context.Context, cold bool) (string, error) {
	l, err := s.net.Listen(ctx, s.address)
	if err != nil {
		return "", fmt.Errorf("server %s: %w", s.set.Name, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.connection, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	s.mu.Lock()
	s.running, s.address, s.fallen, s.came, s.fault = server, l.Addr().String(), false, nil, Fault{}
	if s.born = 0; cold {
		s.born = math.Max(s.clock.Monotonic(), 1)
	}
	s.mu.Unlock()
	go server.Serve(l)
	return s.address, nil
}

// Crash ends it at once, with all flows in hand.
func (s *Server) Crash() {
	s.mu.Lock()
	running := s.running
	s.running = nil
	s.mu.Unlock()
	if running != nil {
		running.Close()
	}
}

// SetFault changes what is wrong with it.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

// Counts gives what it met so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// StartedMs is when it was last started cold, in ms of the clock; 0: long past.
func (s *Server) StartedMs() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// Capacity is the work that it can do now, in ms of one core at speed 1 per ms. A cold server's rises evenly.
func Capacity(set *pb.Server, age float64, cold bool) float64 {
	full := float64(set.GetCores()) * set.GetSpeed()
	warm := settings.Milliseconds(set.WarmUp)
	if !cold || age >= warm {
		return full
	}
	return full * (set.GetColdShare() + (1-set.GetColdShare())*math.Max(age, 0)/warm)
}

func (s *Server) capacity(now float64) float64 { return Capacity(s.set, now-s.born, s.born > 0) }

// connection caps connections, and books the work of a handshake.
func (s *Server) connection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.conns) >= int(s.set.GetConnections()) || s.fallen {
			c.Close()
			return
		}
		s.conns[c] = true
		s.came = append(s.came, arrival{s.clock.Monotonic(), settings.Milliseconds(s.set.Handshake)})
		go s.work(context.Background(), settings.Milliseconds(s.set.Handshake))
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// work occupies a core for some ms of work.
func (s *Server) work(ctx context.Context, ms float64) bool {
	select {
	case s.cores <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.cores }()
	s.mu.Lock()
	pace := s.capacity(s.clock.Monotonic()) / float64(s.set.GetCores())
	if s.fault.Slow > 0 {
		pace /= s.fault.Slow
	}
	s.mu.Unlock()
	return clock.Sleep(context.WithoutCancel(ctx), s.clock, ms/pace) == nil // what was begun goes on, also when given up
}

// fall notes what came to a cold server and says whether it was too much for it: all of a window's work against a
// multiple of what it can do.
func (s *Server) fall(now, work float64) bool {
	window := settings.Milliseconds(s.set.FallWindow)
	s.came = append(s.came, arrival{now, work})
	for len(s.came) > 0 && s.came[0].at <= now-window {
		s.came = s.came[1:]
	}
	if s.born == 0 || now-s.born >= settings.Milliseconds(s.set.WarmUp) || s.fallen {
		return s.fallen
	}
	sum := 0.0
	for _, a := range s.came {
		sum += a.work
	}
	if sum > s.set.GetFallMultiple()*s.capacity(now)*window {
		s.fallen = true
		s.counts.ColdOverloads++
	}
	return s.fallen
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
	now := s.clock.Monotonic()
	s.mu.Lock()
	s.counts.Received++
	f := s.fault
	work := settings.Milliseconds(s.set.Work) * (0.25 + 0.75*s.chance.ExpFloat64()) // a part of each flow is the same
	hang := f.Hang || s.fall(now, work)
	full := s.waiting >= int(s.set.GetWaiting())+int(s.set.GetCores())
	roll, again := s.chance.Float64(), false
	if !hang && !full && !f.Refuse {
		s.waiting++
	} else if !hang {
		s.counts.Rejected++
	}
	s.mu.Unlock()
	switch {
	case hang:
		<-r.Context().Done()
		return
	case full || f.Refuse:
		w.Header().Set(proxy.ProcessedHeader, "no")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	if key := r.Header.Get(KeyHeader); key != "" && s.dedup != nil {
		again = !s.dedup.first(key, now, settings.Milliseconds(s.set.DedupWindow))
	}
	ok := s.work(r.Context(), work)
	s.mu.Lock()
	s.waiting--
	switch {
	case !ok:
	case roll < f.Errors+f.Reset:
		s.counts.Failed++
	default:
		if s.counts.Succeeded++; again {
			s.counts.Deduplicated++
		}
	}
	s.mu.Unlock()
	switch {
	case !ok:
		return
	case roll < f.Reset:
		panic(http.ErrAbortHandler)
	case roll < f.Errors+f.Reset:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(3))
	io.WriteString(w, "ok\n")
}

// KeyHeader carries the key of a deduped flow.
const KeyHeader = "Idempotency-Key"

// RunServer serves one stand-in until the context ends: the sub-command.
func RunServer(ctx context.Context, set *pb.Server, c clock.Clock, n clock.Network, log *slog.Logger) error {
	s := NewServer(set, c, n, log, &Deduplicator{})
	at, err := s.Start(ctx, set.Cold)
	if err != nil {
		return err
	}
	log.Info("server listens", "server", set.Name, "address", at)
	<-ctx.Done()
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := running.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	running.Close()
	return nil
}
