package fake

import (
	"math"

	"lichenpick/internal/eventqueue"
	pb "lichenpick/proto/settings"
)

// ModelServer models a server as a queue in front of its cores, by events instead of sockets. After a cold start, the server
// warms up; it crashes if it receives too much work during that time. The parameters are those of Server, so that the results of
// both can be compared. Only the goroutine that runs the event queue may use a ModelServer.
type ModelServer struct {
	events   *eventqueue.Queue
	settings *pb.Server

	warmUp    *WarmUp
	busyCores int
	queue     []*Attempt // attempts that wait for a core
	stopped   bool

	Hanging  bool    // the server takes attempts and answers none
	Slowdown float64 // factor by which the duration of work is multiplied; 1: no slowdown
}

// Attempt is one attempt of a request, as received by a server.
type Attempt struct {
	WorkMs float64           // time that one core at nominal speed takes for the attempt
	Finish func(reply Reply) // passes the server's reply to the proxy; called at most once
}

// Reply is how a server answers an attempt.
type Reply int

// The replies to an attempt.
const (
	ReplySucceeded   Reply = iota
	ReplyUnprocessed       // the reply says that the attempt was not processed
	ReplyNone              // no reply is sent
)

// NewModelServer returns a server that is warm.
func NewModelServer(events *eventqueue.Queue, set *pb.Server) *ModelServer {
	return &ModelServer{events: events, settings: set, warmUp: NewWarmUp(set), Slowdown: 1}
}

// Settings returns the settings of the server, which must not be changed.
func (s *ModelServer) Settings() *pb.Server { return s.settings }

// Stopped reports whether the server is stopped.
func (s *ModelServer) Stopped() bool { return s.stopped }

// WarmUp returns the model of the server's slow start.
func (s *ModelServer) WarmUp() *WarmUp { return s.warmUp }

// Receive processes, queues or refuses an attempt that arrives.
func (s *ModelServer) Receive(arriving *Attempt) {
	cores := int(s.settings.GetCores())
	switch {
	case s.stopped:
		arriving.Finish(ReplyUnprocessed)
	case s.Hanging || s.warmUp.Receive(s.events.NowMs(), arriving.WorkMs):
		arriving.Finish(ReplyNone)
	case s.busyCores+len(s.queue) >= int(s.settings.GetWaiting())+cores:
		arriving.Finish(ReplyUnprocessed)
	case s.busyCores < cores:
		s.process(arriving)
	default:
		s.queue = append(s.queue, arriving)
	}
}

// process occupies a core with an attempt. When the attempt is done, the next attempt in the queue gets the core.
func (s *ModelServer) process(current *Attempt) {
	s.busyCores++
	speed := s.warmUp.Capacity(s.events.NowMs()) / float64(s.settings.GetCores()) / math.Max(s.Slowdown, 1)
	startedMs := s.warmUp.StartedMs()
	s.events.After(current.WorkMs/speed, func() {
		if s.stopped || s.warmUp.StartedMs() != startedMs { // the server was stopped or restarted during the attempt
			return
		}
		s.busyCores--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.process(next)
		}
		if s.Hanging {
			current.Finish(ReplyNone)
		} else {
			current.Finish(ReplySucceeded)
		}
	})
}

// Stop stops the server at once. Its attempts in progress and in the queue get no reply.
func (s *ModelServer) Stop() {
	s.stopped = true
	s.busyCores = 0
	s.queue = nil
}

// Start starts the server cold and clears its faults.
func (s *ModelServer) Start() {
	s.stopped = false
	s.Hanging = false
	s.Slowdown = 1
	s.busyCores = 0
	s.queue = nil
	s.warmUp.Start(s.events.NowMs(), true)
}
