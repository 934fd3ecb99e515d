package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/fake"
	pb "lichenpick/proto/settings"
)

// server is the model of a server: a queue in front of some cores. After a start it warms up, and crashes if it is sent too
// much meanwhile. Its parameters are those of package fake, so that the two can be compared.
type server struct {
	events   *eventQueue
	address  string
	zone     int
	settings *pb.Server
	rng      *rand.Rand // of its own, for work

	warmUp    *fake.WarmUp
	busyCores int
	queue     []*attempt // that have no core yet

	draining bool
	stopped  bool
	hanging  bool
	slowdown float64 // factor of the time that work takes; 1: none
}

// attempt is one attempt of a request at a server.
type attempt struct {
	workMs float64
	finish func(reply serverReply) // called at most once
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
func newServer(events *eventQueue, set *pb.Server, zone int, rng *rand.Rand) *server {
	return &server{
		events:   events,
		address:  set.Listen,
		zone:     zone,
		settings: set,
		rng:      rng,
		warmUp:   fake.NewWarmUp(set),
		slowdown: 1,
	}
}

// receive takes an attempt that arrives.
func (s *server) receive(arriving *attempt) {
	arriving.workMs = fake.DrawWork(s.settings, s.rng)
	cores := int(s.settings.GetCores())
	switch {
	case s.stopped:
		arriving.finish(replyUnprocessed)
	case s.hanging || s.warmUp.Receive(s.events.nowMs, arriving.workMs):
		arriving.finish(replyNone)
	case s.busyCores+len(s.queue) >= int(s.settings.GetWaiting())+cores:
		arriving.finish(replyUnprocessed)
	case s.busyCores < cores:
		s.process(arriving)
	default:
		s.queue = append(s.queue, arriving)
	}
}

// process occupies a core with an attempt, and then with the next in the queue.
func (s *server) process(current *attempt) {
	s.busyCores++
	speed := s.warmUp.Capacity(s.events.nowMs) / float64(s.settings.GetCores()) / math.Max(s.slowdown, 1)
	startedMs := s.warmUp.StartedMs()
	s.events.after(current.workMs/speed, func() {
		if s.stopped || s.warmUp.StartedMs() != startedMs { // it was stopped meanwhile
			return
		}
		s.busyCores--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.process(next)
		}
		if s.hanging {
			current.finish(replyNone)
		} else {
			current.finish(replySucceeded)
		}
	})
}

// stop ends the server at once; its attempts get no answer.
func (s *server) stop() {
	s.stopped = true
	s.busyCores = 0
	s.queue = nil
}

// start starts the server cold, without any fault.
func (s *server) start() {
	s.stopped = false
	s.hanging = false
	s.slowdown = 1
	s.busyCores = 0
	s.queue = nil
	s.warmUp.Start(s.events.nowMs, true)
}
