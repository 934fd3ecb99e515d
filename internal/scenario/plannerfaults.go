package scenario

import (
	"context"
	"net/netip"
	"time"

	"lichenpick/internal/fake"
	"lichenpick/proto/script"
)

// injectPlannerRestart stops a planner, gracefully or by a kill, and starts it again after a duration.
func (f *fleet) injectPlannerRestart(ctx context.Context, restart *script.PlannerRestart, lasts time.Duration) error {
	instance := f.plannerByNumber(restart.GetController())
	instance.stop(restart.Kill, int(restart.GetAfterBytes()))
	f.waitFor(ctx, lasts)
	if ctx.Err() != nil {
		return nil
	}
	return instance.start(f.runCtx)
}

// injectPlannerPause suspends a planner's process for a duration. It has no effect on a planner that runs in this process.
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

// injectPlannerCut breaks a planner's streams with the proxies of a zone, or with all proxies if the script names no zone.
// If the fault's field Hold is set, it instead keeps the streams open and holds back what the planner sends on them.
func (f *fleet) injectPlannerCut(ctx context.Context, cut *script.ControllerCut, lasts time.Duration) error {
	instance := f.plannerByNumber(cut.GetController())
	zone := f.zoneByName(cut.Zone)
	return f.injectLinkFault(ctx, func(from netip.Addr, to linkTarget) fake.LinkFault {
		affected := to.planner == instance && (zone == unknownZone || zoneOf(from) == zone)
		return fake.LinkFault{Cut: affected && !cut.Hold, Stall: affected && cut.Hold}
	}, lasts)
}

// injectPlannerDrain makes a planner's process hand its proxies over to other planners for a duration.
func (f *fleet) injectPlannerDrain(ctx context.Context, drain *script.ControllerDrain, lasts time.Duration) error {
	instance := f.plannerByNumber(drain.GetController())
	if instance.process == nil {
		return nil
	}
	if err := instance.process.setDraining(ctx, true); err != nil {
		return err
	}
	f.waitFor(ctx, lasts)
	return instance.process.setDraining(ctx, false) // the planner may have been restarted as another process
}

// injectDiskFull makes all file writes of a planner's process fail for a duration.
func (f *fleet) injectDiskFull(ctx context.Context, diskFull *script.DiskFull, lasts time.Duration) error {
	diskFault := f.plannerByNumber(diskFull.GetController()).diskFault
	diskFault.setFull(true)
	f.waitFor(ctx, lasts)
	diskFault.setFull(false)
	return nil
}
