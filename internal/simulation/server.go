package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/fake"
	pb "lichenpick/proto/settings"
)

// server models a server as a queue in front of its cores. After a cold start, the server warms up; it crashes if it
// receives too much work during that time. The parameters are those of the server in package fake, so that the results of
// both models can be compared.
type server struct {
	events   *eventQueue
	address  string
	zone     int
	settings *pb.Server
	random   *rand.Rand // draws the work of attempts

	warmUp    *fake.WarmUp
	busyCores int
	queue     []*attempt // attempts that wait for a core

	draining bool
	stopped  bool
	hanging  bool
	slowdown float64 // factor by which the duration of work is multiplied; 1: no slowdown
}

// attempt is one attempt of a request, as received by a server.
type attempt struct {
	workMs float64
	finish func(reply serverReply) // passes the server's reply to the proxy; called at most once
}

// serverReply is how a server answers an attempt.
type serverReply int

// The replies to an attempt.
const (
	replySucceeded   serverReply = iota
	replyUnprocessed             // the reply says that the attempt was not processed
	replyNone                    // no reply is sent
)

// newServer returns a server that is warm.
func newServer(events *eventQueue, set *pb.Server, zone int, random *rand.Rand) *server {
	return &server{
		events:   events,
		address:  set.Listen,
		zone:     zone,
		settings: set,
		random:   random,
		warmUp:   fake.NewWarmUp(set),
		slowdown: 1,
	}
}

// receive processes, queues or refuses an attempt that arrives.
func (s *server) receive(arriving *attempt) {
	arriving.workMs = fake.DrawWork(s.settings, s.random)
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

// process occupies a core with an attempt. When the attempt is done, the next attempt in the queue gets the core.
func (s *server) process(current *attempt) {
	s.busyCores++
	speed := s.warmUp.Capacity(s.events.nowMs) / float64(s.settings.GetCores()) / math.Max(s.slowdown, 1)
	startedMs := s.warmUp.StartedMs()
	s.events.after(current.workMs/speed, func() {
		if s.stopped || s.warmUp.StartedMs() != startedMs { // the server was stopped or restarted during the attempt
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

// stop stops the server at once. Its attempts in progress and in the queue get no reply.
func (s *server) stop() {
	s.stopped = true
	s.busyCores = 0
	s.queue = nil
}

// start starts the server cold and clears its faults.
func (s *server) start() {
	s.stopped = false
	s.hanging = false
	s.slowdown = 1
	s.busyCores = 0
	s.queue = nil
	s.warmUp.Start(s.events.nowMs, true)
}
