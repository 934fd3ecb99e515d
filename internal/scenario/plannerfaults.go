package scenario

import (
	"context"
	"net/netip"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/proto/script"
)

// injectPlannerRestart ends a planner, gracefully or by a kill, and starts it again.
func (f *fleet) injectPlannerRestart(ctx context.Context, restart *script.PlannerRestart, lasts time.Duration) error {
	instance := f.plannerByNumber(restart.GetController())
	instance.stop(restart.Kill, int(restart.GetAfterBytes()))
	f.waitFor(ctx, lasts)
	if ctx.Err() != nil {
		return nil
	}
	return instance.start(f.runCtx)
}

// injectPlannerPause stops a planner's process without ending it. A planner in this process cannot be paused.
func (f *fleet) injectPlannerPause(ctx context.Context, pause *script.ControllerPause, lasts time.Duration) error {
	process := f.plannerByNumber(pause.GetController()).process
	if process == nil {
		return nil
	}
	process.pause()
	f.waitFor(ctx, lasts)
	process.resume()
	return nil
}

// injectPlannerCut breaks a planner's streams with the proxies of a zone or with all, or holds back what it sends on them.
func (f *fleet) injectPlannerCut(ctx context.Context, cut *script.ControllerCut, lasts time.Duration) error {
	instance := f.plannerByNumber(cut.GetController())
	zone := f.zoneByName(cut.Zone)
	return f.injectLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		affected := to.planner == instance && (zone == unknownZone || zoneOf(from) == zone)
		return fake.LinkFault{Cut: affected && !cut.Hold, Stall: affected && cut.Hold}
	}, lasts)
}

// injectPlannerDrain has a planner's process hand its proxies over to others for the time.
func (f *fleet) injectPlannerDrain(ctx context.Context, drain *script.ControllerDrain, lasts time.Duration) error {
	instance := f.plannerByNumber(drain.GetController())
	if instance.process == nil {
		return nil
	}
	if err := instance.process.setDraining(ctx, true); err != nil {
		return err
	}
	f.waitFor(ctx, lasts)
	return instance.process.setDraining(ctx, false) // it may be another process by now
}

// injectDiskFull has all writes of a planner's process fail.
func (f *fleet) injectDiskFull(ctx context.Context, diskFull *script.DiskFull, lasts time.Duration) error {
	diskFault := f.plannerByNumber(diskFull.GetController()).diskFault
	diskFault.setFull(true)
	f.waitFor(ctx, lasts)
	diskFault.setFull(false)
	return nil
}
