package fakeplatform

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"lichenpick/internal/platform"
	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// evaluationDelayMs is how long a CorePlanner gathers inputs before it evaluates them together, as the program does.
const evaluationDelayMs = 2.0

var errStopped = errors.New("the planner is stopped")

// CorePlanner is a planner in the same process: the product's core, in the time of the platform. It opens no socket.
type CorePlanner struct {
	platform *Platform
	settings simulator.Settings
	core     *platform.Core // nil while the planner is stopped
	seed     int64
	streams  map[*platform.Connection]*coreStream
	order    []*coreStream // the streams, in the order in which they were opened
	pending  bool          // an evaluation is scheduled
	timerMs  float64
	closed   []error
}

// NewSimulated returns a platform whose planners are cores of the product in simulated time.
func NewSimulated(config Config) (*Platform, []*CorePlanner, error) {
	settings, err := simulator.ReadSettings(config.Settings())
	if err != nil {
		return nil, nil, err
	}
	var planners []*CorePlanner
	var processes []Planner
	for number := range config.Planners {
		planner := &CorePlanner{settings: settings, seed: config.Seed + int64(number)}
		planners = append(planners, planner)
		processes = append(processes, planner)
	}
	p := New(config, processes...)
	for _, planner := range planners {
		planner.platform = p
	}
	return p, planners, nil
}

// Core returns the core of the planner, or nil while the planner is stopped.
func (c *CorePlanner) Core() *platform.Core { return c.core }

// Closed returns why the planner closed connections.
func (c *CorePlanner) Closed() []error { return c.closed }

// coreStream is a connection to a CorePlanner.
type coreStream struct {
	planner    *CorePlanner
	core       *platform.Core
	connection platform.Connection
	peer       Peer
}

func (c *CorePlanner) nowMs() float64 { return c.platform.config.OriginUnixMs + c.platform.NowMs() }

// Start implements Planner.
func (c *CorePlanner) Start(known List) {
	c.seed++
	c.core = platform.NewCore(c.settings, c.seed, c.nowMs())
	c.streams = map[*platform.Connection]*coreStream{}
	c.update(policy.RestoredUpdate, known)
}

// Stop implements Planner.
func (c *CorePlanner) Stop() {
	c.core = nil
	for _, stream := range c.order {
		if c.streams[&stream.connection] != nil {
			c.platform.After(0, stream.peer.Lost)
		}
	}
	c.streams = nil
	c.order = nil
}

// Notify implements Planner.
func (c *CorePlanner) Notify(list List) { c.update(policy.DeltaUpdate, list) }

func (c *CorePlanner) update(kind policy.UpdateKind, list List) {
	var endpoints []policy.Endpoint
	for _, entry := range list.Servers {
		endpoints = append(endpoints, policy.Endpoint{
			Server:           entry.ID,
			Zone:             slices.Index(c.settings.Zones, entry.Zone),
			State:            stateOf(entry.State),
			RelativeCapacity: entry.Weight,
			StartedMs:        float64(entry.StartedMs),
		})
	}
	c.handle(func() { c.core.UpdateEndpoints(kind, endpoints) })
}

// stateOf returns the state with a name.
func stateOf(name string) policy.State {
	for state, known := range stateNames {
		if known == name {
			return state
		}
	}
	panic("unknown state " + name)
}

// Connect implements Planner.
func (c *CorePlanner) Connect(peer Peer) (Connection, error) {
	if c.core == nil {
		return nil, errStopped
	}
	stream := &coreStream{planner: c, core: c.core, peer: peer}
	c.streams[&stream.connection] = stream
	c.order = append(c.order, stream)
	c.handle(func() { c.core.HandleConnect(&stream.connection) })
	return stream, nil
}

// Send implements Connection.
func (s *coreStream) Send(line string) {
	if s.planner.core == s.core {
		s.planner.handle(func() { s.core.HandleData(&s.connection, []byte(line+lineEnd)) })
	}
}

// Close implements Connection.
func (s *coreStream) Close() {
	if s.planner.core == s.core {
		delete(s.planner.streams, &s.connection)
		s.planner.handle(func() { s.core.HandleDisconnect(&s.connection) })
	}
}

// handle passes an input to the core, which evaluates it with all others that arrive within evaluationDelayMs.
func (c *CorePlanner) handle(input func()) {
	c.core.SetTime(c.nowMs())
	input()
	if c.pending {
		return
	}
	c.pending = true
	c.platform.After(evaluationDelayMs, c.evaluate)
}

func (c *CorePlanner) evaluate() {
	c.pending = false
	if c.core == nil {
		return
	}
	c.core.SetTime(c.nowMs())
	host := coreHost{c}
	for c.core.Next(host) {
		continue
	}
}

// coreHost carries out the decisions of a core.
type coreHost struct{ planner *CorePlanner }

var _ platform.Host = coreHost{}

// Send implements platform.Host.
func (h coreHost) Send(connection *platform.Connection, messages []byte) {
	stream := h.planner.streams[connection]
	if stream == nil {
		return
	}
	for line := range bytes.Lines(messages) {
		text := string(bytes.TrimSuffix(line, []byte(lineEnd)))
		h.planner.platform.After(0, func() { stream.peer.Receive(text) })
	}
}

// CloseConnection implements platform.Host.
func (h coreHost) CloseConnection(connection *platform.Connection, reason platform.CloseReason, cause error) {
	h.planner.closed = append(h.planner.closed, fmt.Errorf("%s: %w", reason, cause))
	stream := h.planner.streams[connection]
	if stream == nil {
		return
	}
	delete(h.planner.streams, connection)
	h.planner.platform.After(0, stream.peer.Lost)
}

// SetTimer implements platform.Host.
func (h coreHost) SetTimer(atMs float64) {
	c := h.planner
	c.timerMs = atMs
	core := c.core
	c.platform.After(atMs-c.nowMs(), func() {
		if c.timerMs == atMs && c.core == core {
			c.evaluate()
		}
	})
}
