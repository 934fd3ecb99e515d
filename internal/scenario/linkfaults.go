package scenario

import (
	"context"
	"net/netip"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// playHandshakes delays the opening of connections to servers.
func (f *fleet) playHandshakes(ctx context.Context, handshakes *script.Handshakes, lasts time.Duration) error {
	delayMs := settings.Milliseconds(handshakes.Delay)
	return f.playLinkFault(ctx, func(_ netip.Addr, to linkTarget) fake.LinkFault {
		if to.server == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{ConnectDelayMs: delayMs}
	}, lasts)
}

// playZoneCut cuts the links between proxies and servers that cross the border of a zone.
func (f *fleet) playZoneCut(ctx context.Context, cut *script.ZoneCut, lasts time.Duration) error {
	zone := f.zoneNamed(cut.Zone)
	return f.playLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		if to.server == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{Cut: (zoneOf(from) == zone) != (to.server.zone == zone)}
	}, lasts)
}

// playOneSided cuts the links of some servers to the proxies of one zone.
func (f *fleet) playOneSided(ctx context.Context, oneSided *script.OneSided, lasts time.Duration) error {
	zone := f.zoneNamed(oneSided.Zone)
	servers := f.reserveServers(int(oneSided.GetServers()), nil)
	defer f.releaseServers(servers)
	affected := map[*serverInstance]bool{}
	for _, server := range servers {
		affected[server] = true
	}
	return f.playLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		return fake.LinkFault{Cut: to.server != nil && affected[to.server] && zoneOf(from) == zone}
	}, lasts)
}

// playStreamBreak breaks the streams between planners and a share of the proxies, once.
func (f *fleet) playStreamBreak(_ context.Context, streamBreak *script.StreamBreak, _ time.Duration) error {
	// The proxies of a zone share an address, so that the share is drawn by zone.
	affected := map[int]bool{}
	for zone := range f.script.Places {
		affected[zone] = f.random() < streamBreak.GetShare()
	}
	for _, instance := range f.planners {
		instance.relay.Disconnect(func(from netip.Addr) bool { return affected[zoneOf(from)] })
	}
	return nil
}

// playStuckProxy has the proxies of one zone, which is drawn, receive nothing from planners while their streams stay open.
func (f *fleet) playStuckProxy(ctx context.Context, _ *script.StuckProxy, lasts time.Duration) error {
	zone := int(f.random() * float64(len(f.script.Places)))
	return f.playLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		return fake.LinkFault{Stall: to.planner != nil && zoneOf(from) == zone}
	}, lasts)
}

// playSlowStreams delays what passes between proxies and planners, each way.
func (f *fleet) playSlowStreams(ctx context.Context, slowStreams *script.SlowStreams, lasts time.Duration) error {
	delayMs := settings.Milliseconds(slowStreams.Delay)
	return f.playLinkFault(ctx, func(_ netip.Addr, to linkTarget) fake.LinkFault {
		if to.planner == nil {
			return fake.LinkFault{}
		}
		return fake.LinkFault{DelayMs: delayMs}
	}, lasts)
}
