package simulation

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

const (
	// frameDelayMs is the one-way delay of a frame between planner and proxy.
	frameDelayMs = 2.0
	// runStartUnixMs is the simulated wall time at which a run begins, in ms since the Unix epoch.
	runStartUnixMs = 1e12
	// unusedAddress fills in addresses that the settings require but a simulation does not use.
	unusedAddress = "127.0.0.1:1"
)

// simulatedPlanner runs the planner core of the product and is the host that carries out the core's decisions.
type simulatedPlanner struct {
	fleet   *fleet
	core    *planner.Core
	timerMs float64 // time at which the core is to be called next, in ms; infinite: no call is scheduled
}

var _ planner.Host = (*simulatedPlanner)(nil)

// newPlanner returns the planner of a fleet, without any endpoint or proxy.
func newPlanner(f *fleet) (*simulatedPlanner, error) {
	set := &pb.Planner{
		Name:    "planner-1",
		Listen:  unusedAddress,
		Groups:  f.script.Groups,
		Channel: f.script.Channel,
		Reports: f.script.Reports,
		Servers: f.script.Limits,
		Streams: &pb.Streams{},
		List:    &pb.ListSource{From: &pb.ListSource_File{File: &pb.FileList{Path: "unused"}}},
		Proxies: proto.Uint32(uint32(max(settings.ProxyCount(f.script), 1))),
	}
	for _, place := range f.script.Places {
		set.Zones = append(set.Zones, &pb.Zone{Name: place.Name})
	}
	checked := &pb.Planner{}
	if err := settings.Parse("planner of the simulation", []byte(settings.Format(set)), checked); err != nil {
		return nil, err
	}
	core := planner.NewCore(checked, planner.NewPolicy(checked), 1, 0)
	return &simulatedPlanner{fleet: f, core: core, timerMs: math.Inf(1)}, nil
}

// sendEndpoints passes the present state of the given servers to the planner core after delayMs.
func (p *simulatedPlanner) sendEndpoints(delayMs float64, kind policy.UpdateKind, servers []*server) {
	f := p.fleet
	update := discovery.Update{Kind: kind, AsOfMs: uint64(runStartUnixMs + f.NowMs())}
	for _, server := range servers {
		update.Endpoints = append(update.Endpoints, f.endpointOf(server))
	}
	f.After(delayMs, func() {
		p.handle(func() { p.core.UpdateEndpoints(update) })
	})
}

// endpointOf returns the entry of a server in the endpoint list. The listed capacity is the number of cores. The list does
// not state the speed of the cores, which the planner can see only in latencies.
func (f *fleet) endpointOf(server *server) discovery.Endpoint {
	endpoint := discovery.Endpoint{
		Server:           server.address,
		Zone:             f.script.Places[server.zone].Name,
		RelativeCapacity: float64(server.Settings().GetCores()),
	}
	switch {
	case server.Stopped():
		endpoint.State = policy.Removed
	case server.draining:
		endpoint.State = policy.Draining
	}
	if startedMs := server.WarmUp().StartedMs(); startedMs > 0 {
		endpoint.StartedUnixMs = uint64(runStartUnixMs + startedMs)
	}
	return endpoint
}

// handle passes an input to the core at the current time, and carries out the decisions that follow.
func (p *simulatedPlanner) handle(input func()) {
	nowMs := p.fleet.NowMs()
	p.core.SetTime(nowMs, time.UnixMilli(int64(runStartUnixMs+nowMs)))
	input()
	for p.core.Next(p) {
	}
}

// SetTimer schedules a call of the core at a time, and replaces an earlier timer. It implements planner.Host.
func (p *simulatedPlanner) SetTimer(atMs float64) {
	p.timerMs = atMs
	p.fleet.After(atMs-p.fleet.NowMs(), func() {
		if p.timerMs == atMs {
			p.handle(func() {})
		}
	})
}

// Send delivers a message to a proxy after frameDelayMs. It implements planner.Host.
func (p *simulatedPlanner) Send(stream *planner.Stream, _ controlstream.FrameKind, message proto.Message) {
	proxy := stream.Transport.(*simulatedProxy)
	p.fleet.After(frameDelayMs, func() { proxy.receive(message) })
}

// Close records an error that fails the run, because no stream should be closed in a simulation. It implements planner.Host.
func (p *simulatedPlanner) Close(stream *planner.Stream, reason *controlstream.CloseError) {
	f := p.fleet
	if f.err == nil {
		f.err = fmt.Errorf("at %.0f ms the planner closed the stream of %s: %w", f.NowMs(), stream.Name(), reason)
	}
}

// ReserveEpochs does nothing, because a single planner does not share its fleet. It implements planner.Host.
func (p *simulatedPlanner) ReserveEpochs(uint64) {}
