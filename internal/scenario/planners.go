package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/fake"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// disconnectDelay is the time from the start of a link fault to the kill of the planner. The fault breaks each stream of the
// planner after a number of further bytes; the delay gives the planner time to send these bytes.
const disconnectDelay = 50 * time.Millisecond

// plannerInstance is one planner with its relays, and persists over restarts of the planner. The only planner of a fleet runs in
// this process; several planners run in processes of their own.
type plannerInstance struct {
	fleet         *fleet
	name          string
	relay         *fake.Relay // relay between proxies and the planner
	endpointRelay *fake.Relay // relay between the planner and the endpoint registry

	runtime   plannerRuntime  // current or last run of the planner; nil before the first start
	process   *plannerProcess // same as runtime if the planner runs as a process; otherwise nil
	diskFault *diskFault
}

// plannerRuntime is one run of a planner, from a start to its end.
type plannerRuntime interface {
	// stop ends the planner, gracefully or at once, and returns when it has ended.
	stop(kill bool)
}

// plannerCount returns the number of planners in the run.
func (f *fleet) plannerCount() int {
	if f.hooks.SinglePlanner || f.hooks.Baseline != NoBaseline {
		return 1
	}
	return int(f.script.GetControllers())
}

// shared reports whether several planners share the fleet.
func (f *fleet) shared() bool {
	return f.script.Sharing && f.plannerCount() > 1 && !f.hooks.Unshared
}

// plannerByNumber returns a planner by its number in the script. If fewer planners run than the script has, the numbers wrap
// around.
func (f *fleet) plannerByNumber(number uint32) *plannerInstance {
	return f.planners[int(number)%len(f.planners)]
}

// startPlanners starts the planners of the script. All relays listen before the first planner starts.
func (f *fleet) startPlanners(ctx context.Context, registryAddress string) error {
	for number := range f.plannerCount() {
		instance, err := f.newPlannerInstance(ctx, number, registryAddress)
		if err != nil {
			return err
		}
		f.planners = append(f.planners, instance)
	}
	for _, instance := range f.planners {
		if err := instance.start(ctx); err != nil {
			return fmt.Errorf("starting %s: %w", instance.name, err)
		}
	}
	return nil
}

// newPlannerInstance returns a planner that is not started, with its relays.
func (f *fleet) newPlannerInstance(ctx context.Context, number int, registryAddress string) (*plannerInstance, error) {
	instance := &plannerInstance{
		fleet:     f,
		name:      fmt.Sprintf("planner-%d", number+1),
		diskFault: &diskFault{log: f.log},
	}
	instance.endpointRelay = &fake.Relay{Clock: f.clock, Network: f.network, Observe: func(netip.Addr) fake.Observer {
		return &endpointObserver{
			recorder: f.recorder,
			planner:  instance.name,
			decoder:  controlstream.NewDecoder(maxObservedFrameBytes),
		}
	}}
	if _, err := instance.endpointRelay.Start(ctx, plannerListen, registryAddress); err != nil {
		return nil, fmt.Errorf("starting the endpoint relay of %s: %w", instance.name, err)
	}
	instance.relay = &fake.Relay{Clock: f.clock, Network: f.network, Observe: func(netip.Addr) fake.Observer {
		return newStreamObserver(f.recorder, instance.name)
	}}
	if _, err := instance.relay.Start(ctx, plannerListen, ""); err != nil {
		return nil, fmt.Errorf("starting the relay of %s: %w", instance.name, err)
	}
	return instance, nil
}

// settings returns the planner's checked settings.
func (p *plannerInstance) settings() (*pb.Planner, error) {
	f := p.fleet
	proxies := uint32(settings.ProxyCount(f.script))
	set := &pb.Planner{
		Name:     p.name,
		Listen:   plannerListen,
		Groups:   f.script.Groups,
		Channel:  f.script.Channel,
		Reports:  f.script.Reports,
		Servers:  f.script.Limits,
		Streams:  &pb.Streams{},
		Proxies:  proto.Uint32(proxies),
		Planners: proto.Uint32(min(uint32(f.plannerCount()), proxies)),
		Cores:    f.script.PlannerCores,
		Dump:     filepath.Join(f.directory, p.name+"-dump.txt"),
		List: &pb.ListSource{
			Keep: filepath.Join(f.directory, p.name+"-list.txtpb"),
			From: &pb.ListSource_Stream{Stream: &pb.StreamList{
				Address: p.endpointRelay.Address(),
				Redial:  reconnectDelay.String(),
			}},
		},
	}
	for zone, place := range f.script.Places {
		prefix := fmt.Sprintf("127.%d.0.0/16", zone+1)
		set.Zones = append(set.Zones, &pb.Zone{Name: place.Name, Prefixes: []string{prefix}})
	}
	if f.shared() {
		set.Sharing = &pb.Sharing{Store: filepath.Join(f.directory, p.name+".store")}
	}
	if f.hooks.Planner != nil {
		f.hooks.Planner(set)
	}
	// Parse checks the settings and sets the defaults of fields that are not set.
	full := &pb.Planner{}
	err := settings.Parse(p.name+" of the scenario", []byte(settings.Format(set)), full)
	return full, err
}

// start starts or restarts the planner, and returns when the planner listens. The planner runs until the context ends or stop
// is called.
func (p *plannerInstance) start(ctx context.Context) error {
	set, err := p.settings()
	if err != nil {
		return err
	}
	if p.fleet.plannerCount() > 1 {
		return p.startProcess(ctx, set)
	}
	return p.startLocal(ctx, set)
}

// stop ends the planner gracefully, or by a kill. Before a kill, each of the planner's streams still transports up to
// afterBytes more bytes.
func (p *plannerInstance) stop(kill bool, afterBytes int) {
	f := p.fleet
	restoreLinks := func() {}
	if kill && afterBytes > 0 {
		restoreLinks = p.cutLinks(afterBytes)
		f.waitFor(context.Background(), disconnectDelay)
	} else if kill && p.process == nil {
		restoreLinks = p.cutLinks(0) // without the cut, a planner in this process would close its streams gracefully
	}
	p.runtime.stop(kill)
	p.relay.Disconnect(func(netip.Addr) bool { return true })
	restoreLinks()
	f.recorder.recordPlannerExit(p.name, f.clock.Monotonic())
}

// cutLinks breaks each of the planner's streams after afterBytes more bytes, and returns a function that ends this fault.
func (p *plannerInstance) cutLinks(afterBytes int) (restore func()) {
	return p.fleet.addLinkFault(func(_ netip.Addr, to linkTarget) fake.LinkFault {
		return fake.LinkFault{Cut: to.planner == p, CutAfterBytes: afterBytes}
	})
}

// recordStatus stores the last status of a planner that ends, for the report.
func (f *fleet) recordStatus(status *planner.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannerStatuses = append(f.plannerStatuses, status)
}

// stopPlannerProcesses stops all planner processes that have not exited at the end of a run, including paused processes.
func (f *fleet) stopPlannerProcesses() {
	for _, instance := range f.planners {
		if instance.process == nil || instance.process.hasEnded() {
			continue
		}
		instance.process.resume()
		instance.stop(false, 0)
	}
}
