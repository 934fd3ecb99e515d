package scenario

import (
	"context"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// serverInstance is a fake server with its relay.
type serverInstance struct {
	*fake.Server
	zone     int
	settings *pb.Server
	capacity float64 // capacity as stated in the endpoint list
	relay    *fake.Relay
	address  string // address of the relay, as stated in the endpoint list
	fault    fake.Fault
	reserved bool // a fault has reserved this server; guarded by fleet.mu
}

// startServers starts the servers of the script, all of them warm.
func (f *fleet) startServers(ctx context.Context) error {
	for zone, place := range f.script.Places {
		for range place.GetServers() {
			if _, err := f.addServer(ctx, zone, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// addServer starts a server, cold or warm, and adds it to the endpoint list.
func (f *fleet) addServer(ctx context.Context, zone int, cold bool) (*serverInstance, error) {
	set := f.newServerSettings(zone)
	added := &serverInstance{
		Server:   fake.NewServer(set, f.clock, f.network, f.log, &fake.Deduplicator{}),
		zone:     zone,
		settings: set,
		capacity: float64(set.GetCores()),
	}
	serverAddress, err := added.Start(ctx, cold)
	if err != nil {
		return nil, err
	}
	classes := map[string]int{}
	for number, class := range f.script.Groups {
		classes[class.Name] = number
	}
	added.relay = &fake.Relay{Clock: f.clock, Network: f.network, Observe: func(netip.Addr) fake.Observer {
		f.recorder.recordConnection(added.address, f.clock.Monotonic())
		return &requestObserver{recorder: f.recorder, server: added.address, classes: classes}
	}}
	added.address, err = added.relay.Start(ctx, listenAddress(zone)+anyPort, serverAddress)
	if err != nil {
		return nil, fmt.Errorf("starting the relay of server %s: %w", set.Name, err)
	}
	f.mu.Lock()
	f.servers = append(f.servers, added)
	f.mu.Unlock()
	f.updateLinks()
	f.setState(added, fake.EndpointReady)
	return added, nil
}

// newServerSettings draws the settings of the next server of a zone.
func (f *fleet) newServerSettings(zone int) *pb.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastServerNumber++
	template := f.script.Servers
	limits := f.script.Limits
	speed := template.GetSlowest() + f.rng.Float64()*(template.GetFastest()-template.GetSlowest())
	seed := uint64(f.rng.Int63())
	zoneName := f.script.Places[zone].Name
	return &pb.Server{
		Name:         fmt.Sprintf("%s-%d", zoneName, f.lastServerNumber),
		Listen:       listenAddress(zone) + anyPort,
		Zone:         zoneName,
		Cores:        template.Cores,
		Speed:        proto.Float64(speed),
		Work:         template.Work,
		Waiting:      template.Waiting,
		Connections:  limits.LeastConnections,
		Handshake:    template.Handshake,
		ColdShare:    limits.ColdShare,
		WarmUp:       limits.WarmUp,
		FallWindow:   limits.FallWindow,
		FallMultiple: template.FallMultiple,
		DedupWindow:  "2.5s",
		Seed:         proto.Uint64(seed),
	}
}

// setState sets a server's state in the endpoint list.
func (f *fleet) setState(server *serverInstance, state fake.EndpointState) {
	startedUnixMs := uint64(0)
	if startedMs := server.StartedMs(); startedMs > 0 {
		startedUnixMs = uint64(float64(f.clock.WallTime().UnixMilli()) - (f.clock.Monotonic() - startedMs))
	}
	zoneName := f.script.Places[server.zone].Name
	f.registry.SetEndpoint(server.address, zoneName, state, server.capacity, startedUnixMs)
}

// warmingCapacity returns the capacity of a server that is warming up, in ms of work per ms, and 0 for any other server.
func (f *fleet) warmingCapacity(address string, atMs float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		if server.address != address {
			continue
		}
		startedMs := server.StartedMs()
		ageMs := atMs - startedMs
		if startedMs == 0 || ageMs >= settings.Milliseconds(server.settings.WarmUp) {
			return 0
		}
		return fake.Capacity(server.settings, ageMs, true)
	}
	return 0
}

// stop crashes a server and closes its relay, so that dials are refused.
func (s *serverInstance) stop() {
	s.relay.Close()
	s.Crash()
}

// restart starts a stopped server again, cold and at the same address.
func (s *serverInstance) restart(ctx context.Context) error {
	_, err := s.Start(ctx, true)
	if err != nil {
		return err
	}
	if err := s.relay.Reopen(); err != nil {
		return fmt.Errorf("reopening the relay of server %s: %w", s.settings.Name, err)
	}
	return nil
}

// reserveServers draws up to count eligible servers that no other fault has reserved. The servers are reserved for the caller
// until the caller passes them to releaseServers. If eligible is nil, all servers are eligible.
func (f *fleet) reserveServers(count int, eligible func(*serverInstance) bool) []*serverInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var drawn []*serverInstance
	for _, n := range f.rng.Perm(len(f.servers)) {
		candidate := f.servers[n]
		if len(drawn) == count || candidate.reserved {
			continue
		}
		if eligible == nil || eligible(candidate) {
			candidate.reserved = true
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

// releaseServers ends the faults and the reservation of reserved servers.
func (f *fleet) releaseServers(servers []*serverInstance) {
	changeFaults(servers, func(fault *fake.Fault) { *fault = fake.Fault{} })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range servers {
		server.reserved = false
	}
}

// changeFaults changes the faults of reserved servers.
func changeFaults(servers []*serverInstance, change func(*fake.Fault)) {
	for _, server := range servers {
		change(&server.fault)
		server.SetFault(server.fault)
	}
}
