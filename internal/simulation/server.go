package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Work of a request is its mean times a fixed part, plus an exponentially distributed part of the same mean.
const (
	fixedWorkPart  = 0.25
	randomWorkPart = 0.75
)

// server is the model of a server: a queue in front of some cores. After a start it warms up, and crashes if it is sent too
// much meanwhile. Its parameters are those of package fake, so that the two can be compared.
type server struct {
	queue    *eventQueue
	address  string
	zone     int
	settings *pb.Server
	chance   *rand.Rand // of its own, for work

	startedMs float64 // last start; 0: long ago, so that it is warm
	busyCores int
	waiting   []*attempt
	arrivals  []arrival // within the window
	overloads int       // times that it crashed while it warmed up

	draining   bool
	stopped    bool
	hanging    bool
	slowdown   float64 // factor of the time that work takes; 1: none
	overloaded bool    // it crashed while it warmed up, and answers nothing until it is started again
}

// arrival is work that a server was sent.
type arrival struct{ atMs, workMs float64 }

// attempt is one attempt of a request at a server.
type attempt struct {
	workMs float64
	finish func(how serverReply) // called at most once
}

// serverReply is how an attempt ends at the server.
type serverReply int

// The replies.
const (
	replySucceeded   serverReply = iota
	replyUnprocessed             // with proof that it was not processed
	replyNone                    // nothing comes back
)

// newServer returns a server that is warm.
func newServer(queue *eventQueue, set *pb.Server, zone int, chance *rand.Rand) *server {
	return &server{queue: queue, address: set.Listen, zone: zone, settings: set, chance: chance, slowdown: 1}
}

// receive takes an attempt that arrives.
func (s *server) receive(arrived *attempt) {
	arrived.workMs = settings.Milliseconds(s.settings.Work) * (fixedWorkPart + randomWorkPart*s.chance.ExpFloat64())
	cores := int(s.settings.GetCores())
	switch {
	case s.stopped:
		arrived.finish(replyUnprocessed)
	case s.hanging || s.recordArrival(arrived.workMs):
		arrived.finish(replyNone)
	case s.busyCores+len(s.waiting) >= int(s.settings.GetWaiting())+cores:
		arrived.finish(replyUnprocessed)
	case s.busyCores < cores:
		s.process(arrived)
	default:
		s.waiting = append(s.waiting, arrived)
	}
}

// process occupies a core with an attempt, and then with the next that waits.
func (s *server) process(current *attempt) {
	s.busyCores++
	capacity := fake.Capacity(s.settings, s.queue.nowMs-s.startedMs, s.startedMs > 0)
	speed := capacity / float64(s.settings.GetCores()) / math.Max(s.slowdown, 1)
	startedMs := s.startedMs
	s.queue.after(current.workMs/speed, func() {
		if s.stopped || s.startedMs != startedMs { // it was stopped meanwhile
			return
		}
		s.busyCores--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.process(next)
		}
		if s.hanging {
			current.finish(replyNone)
		} else {
			current.finish(replySucceeded)
		}
	})
}

// recordArrival records work that was sent, and reports whether the server has crashed by overload: it does if, while it
// warms up, the work of a window exceeds a multiple of what it can do.
func (s *server) recordArrival(workMs float64) bool {
	nowMs := s.queue.nowMs
	windowMs := settings.Milliseconds(s.settings.FallWindow)
	s.arrivals = append(s.arrivals, arrival{nowMs, workMs})
	for s.arrivals[0].atMs <= nowMs-windowMs {
		s.arrivals = s.arrivals[1:]
	}
	ageMs := nowMs - s.startedMs
	if s.overloaded || s.startedMs == 0 || ageMs >= settings.Milliseconds(s.settings.WarmUp) {
		return s.overloaded
	}
	sentMs := 0.0
	for _, earlier := range s.arrivals {
		sentMs += earlier.workMs
	}
	if sentMs > s.settings.GetFallMultiple()*fake.Capacity(s.settings, ageMs, true)*windowMs {
		s.overloaded = true
		s.overloads++
	}
	return s.overloaded
}

// stop ends the server at once; its attempts get no answer.
func (s *server) stop() {
	s.stopped = true
	s.busyCores = 0
	s.waiting = nil
}

// start starts the server cold, without any fault.
func (s *server) start() {
	s.stopped = false
	s.hanging = false
	s.slowdown = 1
	s.overloaded = false
	s.arrivals = nil
	s.busyCores = 0
	s.waiting = nil
	s.startedMs = math.Max(s.queue.nowMs, 1) // 0 would be long ago
}
