package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// server is a queue before some cores, cold after a start, that falls over if a cold one is sent too much. Its figures are those of
// the stand-in, so that the two can be set side by side.
type server struct {
	sim     *sim
	name    string
	zone    int
	set     *pb.Server
	chance  *rand.Rand
	born    float64 // ms; 0: long past
	busy    int
	queue   []*try
	down    bool
	hang    bool
	slow    float64
	fallen  bool
	came    []arrival
	drained bool
	fell    int
}

type arrival struct{ at, work float64 }

// try is one on its way to a server and back.
type try struct {
	work float64
	done func(o outcome)
}

type outcome int

const (
	delivered outcome = iota
	refused           // it never ran
	silent            // nothing comes back
)

// take is a try that arrives.
func (s *server) take(t *try) {
	now := s.sim.now
	t.work = settings.Milliseconds(s.set.Work) * (0.25 + 0.75*s.chance.ExpFloat64())
	switch {
	case s.down:
		t.done(refused)
	case s.hang || s.falls(now, t.work):
		t.done(silent)
	case s.busy+len(s.queue) >= int(s.set.GetWaiting())+int(s.set.GetCores()):
		t.done(refused)
	case s.busy < int(s.set.GetCores()):
		s.begin(t)
	default:
		s.queue = append(s.queue, t)
	}
}

func (s *server) begin(t *try) {
	s.busy++
	pace := fake.Capacity(s.set, s.sim.now-s.born, s.born > 0) / float64(s.set.GetCores()) / math.Max(s.slow, 1)
	born := s.born
	s.sim.after(t.work/pace, func() {
		if s.down || s.born != born { // it was ended meanwhile
			return
		}
		s.busy--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.begin(next)
		}
		if s.hang {
			t.done(silent)
		} else {
			t.done(delivered)
		}
	})
}

func (s *server) falls(now, work float64) bool {
	window := settings.Milliseconds(s.set.FallWindow)
	s.came = append(s.came, arrival{now, work})
	for s.came[0].at <= now-window {
		s.came = s.came[1:]
	}
	if s.fallen || s.born == 0 || now-s.born >= settings.Milliseconds(s.set.WarmUp) {
		return s.fallen
	}
	sum := 0.0
	for _, a := range s.came {
		sum += a.work
	}
	if sum > s.set.GetFallMultiple()*fake.Capacity(s.set, now-s.born, true)*window {
		s.fallen = true
		s.fell++
	}
	return s.fallen
}

// end stops it with all that it has in hand.
func (s *server) end() { s.down, s.busy, s.queue = true, 0, nil }

// start makes it run, cold.
func (s *server) start() {
	s.down, s.hang, s.slow, s.fallen, s.came, s.busy, s.queue = false, false, 1, false, nil, 0, nil
	s.born = math.Max(s.sim.now, 1)
}
