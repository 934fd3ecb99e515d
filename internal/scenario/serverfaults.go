package scenario

import (
	"context"
	"fmt"
	"math"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	"lichenpick/proto/script"
)

const (
	// slowSteps is the number of steps in which a gradual slowdown grows.
	slowSteps = 10
	// firstUnknownPort is the port of the first nonexistent endpoint in a wrong endpoint list.
	firstUnknownPort = 9000
)

// injectBurst multiplies the rate of requests for a duration.
func (f *fleet) injectBurst(ctx context.Context, burst *script.Burst, lasts time.Duration) error {
	f.loadGenerator.SetRateFactor(burst.GetFactor())
	f.waitFor(ctx, lasts)
	f.loadGenerator.SetRateFactor(1)
	return nil
}

// injectHang makes servers receive requests without answering them for the whole duration of the fault. If the fault has a
// period, the servers instead alternate between hanging and answering, each for one period.
func (f *fleet) injectHang(ctx context.Context, hang *script.Hang, lasts time.Duration) error {
	servers := f.reserveServers(int(hang.GetServers()), nil)
	defer f.releaseServers(servers)
	period := settings.Duration(hang.Period)
	if period == 0 {
		changeFaults(servers, func(fault *fake.Fault) { fault.Hang = true })
		f.waitFor(ctx, lasts)
		return nil
	}
	startMs := f.clock.Monotonic()
	for f.clock.Monotonic()-startMs < milliseconds(lasts) && ctx.Err() == nil {
		changeFaults(servers, func(fault *fake.Fault) { fault.Hang = !fault.Hang })
		f.waitFor(ctx, period)
	}
	return nil
}

// injectSlow slows servers down for a duration, either abruptly or gradually.
func (f *fleet) injectSlow(ctx context.Context, slow *script.Slow, lasts time.Duration) error {
	servers := f.reserveServers(int(slow.GetServers()), nil)
	defer f.releaseServers(servers)
	for step := 1; step <= slowSteps && ctx.Err() == nil; step++ {
		factor := slow.GetFactor()
		if slow.Gradual {
			factor = 1 + (factor-1)*float64(step)/slowSteps
		}
		changeFaults(servers, func(fault *fake.Fault) { fault.Slowdown = factor })
		f.waitFor(ctx, lasts/slowSteps)
	}
	return nil
}

// injectFailing makes servers answer with errors, reset connections or refuse requests for a duration.
func (f *fleet) injectFailing(ctx context.Context, failing *script.Failing, lasts time.Duration) error {
	servers := f.reserveServers(int(failing.GetServers()), nil)
	defer f.releaseServers(servers)
	changeFaults(servers, func(fault *fake.Fault) {
		fault.ErrorRatio = failing.GetErrors()
		fault.ResetRatio = failing.GetResets()
		fault.Refuse = failing.Refuse
	})
	f.waitFor(ctx, lasts)
	return nil
}

// injectCrash crashes servers, and restarts them cold after a duration.
func (f *fleet) injectCrash(ctx context.Context, crash *script.Crash, lasts time.Duration) error {
	servers := f.reserveServers(int(crash.GetServers()), nil)
	return f.crashServers(ctx, servers, crash.Listed, lasts)
}

// injectZoneLoss crashes all servers of a zone, and restarts them cold after a duration.
func (f *fleet) injectZoneLoss(ctx context.Context, loss *script.ZoneLoss, lasts time.Duration) error {
	zone := f.zoneByName(loss.Zone)
	inZone := func(candidate *serverInstance) bool { return candidate.zone == zone }
	servers := f.reserveServers(math.MaxInt, inZone)
	return f.crashServers(ctx, servers, true, lasts)
}

// crashServers crashes reserved servers, and restarts them cold at the same addresses after a duration. If listed is true, the
// endpoint list shows the servers as removed until they restart.
func (f *fleet) crashServers(ctx context.Context, servers []*serverInstance, listed bool, lasts time.Duration) error {
	for _, crashed := range servers {
		crashed.stop()
		if listed {
			f.setState(crashed, fake.EndpointRemoved)
		}
	}
	f.waitFor(ctx, lasts)
	for _, crashed := range servers {
		if ctx.Err() != nil {
			return nil
		}
		if err := crashed.restart(ctx); err != nil {
			return err
		}
		f.setState(crashed, fake.EndpointReady)
	}
	f.releaseServers(servers)
	return nil
}

// injectDeploy replaces servers one by one over a duration: each server drains and is then removed, and a cold server is started
// as its replacement.
func (f *fleet) injectDeploy(ctx context.Context, deploy *script.Deploy, lasts time.Duration) error {
	replaced := f.reserveServers(int(deploy.GetServers()), nil)
	var started []*serverInstance
	defer func() { f.releaseServers(started) }()
	for _, old := range replaced {
		f.setState(old, fake.EndpointDraining)
		next, err := f.addServer(ctx, old.zone, true)
		if err != nil {
			return err
		}
		f.mu.Lock()
		next.reserved = true // reserved for this fault until the deploy ends
		f.mu.Unlock()
		started = append(started, next)
		f.group.Go(func() error {
			f.removeDrained(ctx, old, settings.Duration(deploy.Drain))
			return nil
		})
		f.waitFor(ctx, lasts/time.Duration(len(replaced)))
	}
	return nil
}

// removeDrained stops a draining server after the duration of the drain.
func (f *fleet) removeDrained(ctx context.Context, old *serverInstance, drain time.Duration) {
	f.waitFor(ctx, drain)
	old.stop()
	if ctx.Err() == nil {
		f.setState(old, fake.EndpointRemoved)
	}
}

// injectWrongList makes the endpoint list omit some servers, and include some that do not exist.
func (f *fleet) injectWrongList(ctx context.Context, wrong *script.WrongList, lasts time.Duration) error {
	f.registry.Override(func(endpoints []*order.Listing_Entry) []*order.Listing_Entry {
		missing := int(float64(len(endpoints)) * wrong.GetMissing())
		listed := append([]*order.Listing_Entry(nil), endpoints[missing:]...)
		for n := range int(wrong.GetStrangers()) {
			listed = append(listed, &order.Listing_Entry{
				Server: fmt.Sprintf("127.9.9.9:%d", firstUnknownPort+n),
				Zone:   f.script.Places[n%len(f.script.Places)].Name,
				Size:   1,
			})
		}
		return listed
	})
	f.waitFor(ctx, lasts)
	f.registry.Override(nil)
	return nil
}
