package scenario

import (
	"context"
	"net/netip"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// injectHandshakes delays the opening of connections to servers.
func (f *fleet) injectHandshakes(ctx context.Context, handshakes *script.Handshakes, lasts time.Duration) error {
	delayMs := settings.Milliseconds(handshakes.Delay)
	return f.injectLinkFault(ctx, func(_ netip.Addr, to linkTarget) fake.LinkFault {
		if to.server == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{ConnectDelayMs: delayMs}
	}, lasts)
}

// injectZoneCut cuts all links between proxies and servers that connect one zone with the other zones.
func (f *fleet) injectZoneCut(ctx context.Context, cut *script.ZoneCut, lasts time.Duration) error {
	zone := f.zoneByName(cut.Zone)
	return f.injectLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		if to.server == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{Cut: (zoneOf(from) == zone) != (to.server.zone == zone)}
	}, lasts)
}

// injectOneSided cuts the links between the proxies of one zone and some servers, drawn at random.
func (f *fleet) injectOneSided(ctx context.Context, oneSided *script.OneSided, lasts time.Duration) error {
	zone := f.zoneByName(oneSided.Zone)
	servers := f.reserveServers(int(oneSided.GetServers()), nil)
	defer f.releaseServers(servers)
	affected := map[*serverInstance]bool{}
	for _, server := range servers {
		affected[server] = true
	}
	return f.injectLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		return fake.LinkFault{Cut: to.server != nil && affected[to.server] && zoneOf(from) == zone}
	}, lasts)
}

// injectStreamBreak breaks the streams between planners and a share of the proxies once. New streams are not affected.
func (f *fleet) injectStreamBreak(_ context.Context, streamBreak *script.StreamBreak, _ time.Duration) error {
	// The proxies of a zone share an address, so the fault affects either all or none of a zone's proxies. The share in the
	// script is the probability that a zone is affected.
	affected := map[int]bool{}
	for zone := range f.script.Places {
		affected[zone] = f.random() < streamBreak.GetShare()
	}
	for _, instance := range f.planners {
		instance.relay.Disconnect(func(from netip.Addr) bool { return affected[zoneOf(from)] })
	}
	return nil
}

// injectStuckProxy holds back what planners send to the proxies of one zone, drawn at random, while the streams stay open.
func (f *fleet) injectStuckProxy(ctx context.Context, _ *script.StuckProxy, lasts time.Duration) error {
	zone := int(f.random() * float64(len(f.script.Places)))
	return f.injectLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		return fake.LinkFault{Stall: to.planner != nil && zoneOf(from) == zone}
	}, lasts)
}

// injectSlowStreams delays the frames that proxies and planners send to each other.
func (f *fleet) injectSlowStreams(ctx context.Context, slowStreams *script.SlowStreams, lasts time.Duration) error {
	delayMs := settings.Milliseconds(slowStreams.Delay)
	return f.injectLinkFault(ctx, func(_ netip.Addr, to linkTarget) fake.LinkFault {
		if to.planner == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{DelayMs: delayMs}
	}, lasts)
}
