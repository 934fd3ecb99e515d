package scenario

import (
	"context"
	"net/netip"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/proto/script"
)

// playPlannerRestart ends a planner, gracefully or by a kill, and starts it again.
func (f *fleet) playPlannerRestart(ctx context.Context, restart *script.PlannerRestart, lasts time.Duration) error {
	instance := f.plannerNumbered(restart.GetController())
	instance.stop(restart.Kill, int(restart.GetAfterBytes()))
	f.waitFor(ctx, lasts)
	if ctx.Err() != nil {
		return nil
	}
	return instance.start(f.running)
}

// playPlannerPause stops a planner's process without ending it. A planner in this process cannot be paused.
func (f *fleet) playPlannerPause(ctx context.Context, pause *script.ControllerPause, lasts time.Duration) error {
	process := f.plannerNumbered(pause.GetController()).process
	if process == nil {
		return nil
	}
	process.pause()
	f.waitFor(ctx, lasts)
	process.resume()
	return nil
}

// playPlannerCut breaks a planner's streams with the proxies of a zone or with all, or holds back what it sends on them.
func (f *fleet) playPlannerCut(ctx context.Context, cut *script.ControllerCut, lasts time.Duration) error {
	instance := f.plannerNumbered(cut.GetController())
	zone := f.zoneNamed(cut.Zone)
	return f.playLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		affected := to.planner == instance && (zone == unknownZone || zoneOf(from) == zone)
		return fake.LinkFault{Cut: affected && !cut.Hold, Stall: affected && cut.Hold}
	}, lasts)
}

// playPlannerDrain has a planner's process hand its proxies over to others for the time.
func (f *fleet) playPlannerDrain(ctx context.Context, drain *script.ControllerDrain, lasts time.Duration) error {
	instance := f.plannerNumbered(drain.GetController())
	if instance.process == nil {
		return nil
	}
	if err := instance.process.setDraining(ctx, true); err != nil {
		return err
	}
	f.waitFor(ctx, lasts)
	return instance.process.setDraining(ctx, false) // it may be another process by now
}

// playDiskFull has all writes of a planner's process fail.
func (f *fleet) playDiskFull(ctx context.Context, diskFull *script.DiskFull, lasts time.Duration) error {
	disk := f.plannerNumbered(diskFull.GetController()).disk
	disk.setFull(true)
	f.waitFor(ctx, lasts)
	disk.setFull(false)
	return nil
}
