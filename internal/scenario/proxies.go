package scenario

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	// minZoneServers is the minimum number of servers in a zone for the zone's proxies to start with servers of this zone only.
	minZoneServers = 3
	// minUsualRatePerSecond is the minimum of the usual rate in a proxy's settings, in requests per second.
	minUsualRatePerSecond = 0.001
)

// startProxies starts the proxies of the script.
func (f *fleet) startProxies(ctx context.Context) error {
	endpoints := f.registry.Endpoints()
	for zone, place := range f.script.Places {
		known := knownServers(endpoints, place.Name)
		for number := range place.GetProxies() {
			set, err := f.newProxySettings(zone, int(number), known)
			if err != nil {
				return err
			}
			if err := f.startProxy(ctx, set); err != nil {
				return fmt.Errorf("starting proxy %s: %w", set.Name, err)
			}
		}
	}
	return nil
}

// knownServers returns the servers from which the standing tables of a zone's proxies are drawn. Proxies use their standing
// tables until a planner assigns others. The servers are those of the zone, or all servers if the zone has fewer than
// minZoneServers.
func knownServers(endpoints []*order.Listing_Entry, zoneName string) []string {
	var inZone, inFleet []string
	for _, endpoint := range endpoints {
		inFleet = append(inFleet, endpoint.Server)
		if endpoint.Zone == zoneName {
			inZone = append(inZone, endpoint.Server)
		}
	}
	if len(inZone) < minZoneServers {
		return inFleet
	}
	return inZone
}

// newProxySettings returns the checked settings of a proxy; number identifies the proxy within its zone.
func (f *fleet) newProxySettings(zone, number int, known []string) (*pb.Proxy, error) {
	zoneName := f.script.Places[zone].Name
	usualRate := settings.PerSecond(f.script.Traffic.Rate) / float64(max(settings.ProxyCount(f.script), 1))
	seed, standing := f.drawSeedAndStanding(known)
	set := &pb.Proxy{
		Name:           fmt.Sprintf("edge-%s-%d", zoneName, number),
		Listen:         listenAddress(zone) + anyPort,
		Zone:           zoneName,
		From:           dialAddress(zone),
		Planners:       f.plannerAddresses(len(f.proxyAddresses)),
		Sharing:        f.shared(),
		Groups:         cloneClasses(f.script.Groups),
		Pick:           f.script.Pick,
		ReportEvery:    f.script.Reports.Every,
		ConnectionIdle: f.script.Limits.ConnectionIdle,
		Seed:           proto.Uint64(seed),
		Usual:          fmt.Sprintf("%g/s", max(usualRate, minUsualRatePerSecond)),
		Standing:       standing,
	}
	if f.hooks.Proxy != nil {
		f.hooks.Proxy(set)
	}
	full := &pb.Proxy{}
	err := settings.Parse("proxy of the scenario", []byte(settings.Format(set)), full)
	return full, err
}

// drawSeedAndStanding draws the seed of a proxy and the servers of its standing table.
func (f *fleet) drawSeedAndStanding(known []string) (seed uint64, standing []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seed = uint64(f.rng.Int63())
	count := min(int(f.script.GetStanding()), len(known))
	for _, n := range f.rng.Perm(len(known))[:count] {
		standing = append(standing, known[n])
	}
	return seed, standing
}

// plannerAddresses returns the addresses of all planners for a proxy. The first address is that of the planner whose index is
// proxyNumber modulo the number of planners. If the planners do not share the fleet, the proxy belongs to this planner.
func (f *fleet) plannerAddresses(proxyNumber int) []string {
	addresses := make([]string, 0, len(f.planners))
	for n := range f.planners {
		instance := f.planners[(proxyNumber+n)%len(f.planners)]
		addresses = append(addresses, instance.relay.Address())
	}
	return addresses
}

// startProxy starts a proxy, and returns when the proxy listens or has failed.
func (f *fleet) startProxy(ctx context.Context, set *pb.Proxy) error {
	ready := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	started := proxy.New(proxy.Options{
		Settings:       set,
		Clock:          f.clock,
		Network:        f.network,
		Log:            f.log,
		DisableFencing: f.hooks.DisableFencing,
		Ready:          func(address net.Addr) { ready <- address },
	})
	f.group.Go(func() error {
		err := started.Run(ctx)
		failed <- err
		return err
	})
	select {
	case address := <-ready:
		f.proxyAddresses = append(f.proxyAddresses, address.String())
		return nil
	case err := <-failed:
		return err
	}
}

// cloneClasses returns copies of traffic classes, so that hooks may change them.
func cloneClasses(classes []*pb.Group) []*pb.Group {
	clones := make([]*pb.Group, 0, len(classes))
	for _, class := range classes {
		clones = append(clones, proto.CloneOf(class))
	}
	return clones
}
