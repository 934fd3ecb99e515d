package fakeplatform

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/fake"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

const (
	requestDelayMs    = 0.5 // one way between a proxy and a server
	informedShare     = 2.0 / 3
	weightUncertainty = 0.1 // of the capacity that the list shows
)

// server is a server of the fleet, with what the list shows of it.
type server struct {
	*fake.ModelServer
	platform *Platform
	name     string
	zone     int
	state    policy.State
	speed    float64 // of a core
	arrivals []arrival

	listed           policy.State
	listedStartMs    float64
	listedVersion    int64 // version of the list that showed the present state first
	leftReadyVersion int64 // version of the list that last ceased to show the server as ready
	listedWeight     float64
}

// arrival is work that a server received, and whether its sender knew, or had to know, of the server's start.
type arrival struct {
	atMs, workMs float64
	informed     bool
}

func (p *Platform) addServer(number int) {
	kind := p.drawKind()
	speed := kind.Slowest + (kind.Fastest-kind.Slowest)*p.random.Float64()
	warmUpMs := between(p.config.WarmUpRangeMs, p.random.Float64())
	set := &pb.Server{
		Cores:        proto.Uint32(kind.Cores),
		Speed:        proto.Float64(speed),
		Waiting:      proto.Uint32(kind.Cores * kind.WaitingByCore),
		ColdShare:    proto.Float64(between(p.config.ColdShareRange, p.random.Float64())),
		WarmUp:       milliseconds(warmUpMs),
		FallWindow:   milliseconds(p.config.FallWindowMs),
		FallMultiple: proto.Float64(p.config.FallMultiple),
	}
	capacity := float64(kind.Cores) * speed
	added := &server{
		ModelServer:  fake.NewModelServer(&p.Queue, set),
		platform:     p,
		name:         fmt.Sprintf("s-%02d", number),
		zone:         number % len(p.config.Zones),
		speed:        speed,
		listedWeight: capacity * (1 + weightUncertainty*(2*p.random.Float64()-1)),
	}
	p.servers = append(p.servers, added)
	p.byName[added.name] = added
}

func (p *Platform) drawKind() Kind {
	drawn := p.random.Float64()
	for _, kind := range p.config.Kinds {
		drawn -= kind.Share
		if drawn < 0 {
			return kind
		}
	}
	return p.config.Kinds[len(p.config.Kinds)-1]
}

func between(limits [2]float64, share float64) float64 {
	return limits[0] + (limits[1]-limits[0])*share
}

// milliseconds writes a time as the settings of servers have it.
func milliseconds(ms float64) string { return fmt.Sprintf("%.0fms", ms) }

// fullCapacity returns the work that the server does in a second once it is warm, in ms of a core of speed 1.
func (s *server) fullCapacity() float64 {
	return float64(s.Settings().GetCores()) * s.speed * millisecondsPerSecond
}

// StartedMs returns when the server was started cold, or 0 if it has run since before the model began.
func (s *server) StartedMs() float64 { return s.WarmUp().StartedMs() }

// receive passes an attempt to the server, and notes if the server fails under the load while it warms up.
func (s *server) receive(attempt *fake.Attempt, informed bool) {
	if s.StartedMs() > 0 {
		s.recordArrival(attempt.WorkMs, informed)
	}
	overloads := s.WarmUp().Overloads()
	s.Receive(attempt)
	if s.WarmUp().Overloads() > overloads {
		s.noteOverload()
	}
}

// recordHandshake counts the work of a new connection.
func (s *server) recordHandshake(informed bool) {
	s.WarmUp().RecordWork(s.platform.NowMs(), s.platform.config.HandshakeMs)
	s.recordArrival(s.platform.config.HandshakeMs, informed)
}

func (s *server) recordArrival(workMs float64, informed bool) {
	nowMs := s.platform.NowMs()
	s.arrivals = append(s.arrivals, arrival{nowMs, workMs, informed})
	for s.arrivals[0].atMs <= nowMs-s.platform.config.FallWindowMs {
		s.arrivals = s.arrivals[1:]
	}
}

// noteOverload notes that the server has failed. The rule is broken if most of the work came from proxies whose planner knew of
// the start.
func (s *server) noteOverload() {
	p := s.platform
	total := 0.0
	informed := 0.0
	for _, arrival := range s.arrivals {
		total += arrival.workMs
		if arrival.informed {
			informed += arrival.workMs
		}
	}
	text := fmt.Sprintf("%s started %.3f, failed under load at %.3f, %.2f of the load informed",
		s.name, s.StartedMs()/millisecondsPerSecond, p.NowMs()/millisecondsPerSecond, informed/math.Max(total, 1))
	p.Overloaded = append(p.Overloaded, text)
	if informed >= informedShare*total {
		p.violate("cold server overloaded: %s", text)
	}
	p.note("overload: %s", text)
}

// restart starts the server cold after a stop.
func (s *server) restart() {
	s.Start()
	s.arrivals = nil
	s.state = policy.Ready
}

// capacityShare returns the present capacity of the server as a share of its full one.
func (s *server) capacityShare() float64 {
	if s.Stopped() || s.WarmUp().Overloaded() {
		return 0
	}
	return s.WarmUp().Capacity(s.platform.NowMs()) * millisecondsPerSecond / s.fullCapacity()
}
