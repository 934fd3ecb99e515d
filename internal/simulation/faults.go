package simulation

import (
	"fmt"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/script"
)

// gradualSteps is the number of steps in which a gradual slowdown grows.
const gradualSteps = 10

// UnsupportedFaultError tells that a script has a fault that the models cannot show. Such a script can be played by package
// scenario.
type UnsupportedFaultError struct {
	At string // when the fault begins, as in the script
}

// Error says which fault it is, and what to do.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("the fault at %s needs sockets, which a simulation does not have; use 'scenario'", e.At)
}

// period is when a fault begins and how long it lasts, in ms.
type period struct{ startMs, lengthMs float64 }

// scheduleFault schedules what a fault does. It must be called before the run begins.
func (f *fleet) scheduleFault(fault *script.Trouble, loadStartMs float64) error {
	when := period{
		startMs:  loadStartMs + settings.Milliseconds(fault.At),
		lengthMs: settings.Milliseconds(fault.Lasts),
	}
	switch kind := fault.What.(type) {
	case *script.Trouble_Burst:
		f.scheduleBurst(when, kind.Burst)
	case *script.Trouble_Hang:
		f.scheduleHang(when, kind.Hang)
	case *script.Trouble_Slow:
		f.scheduleSlow(when, kind.Slow)
	case *script.Trouble_Crash:
		f.scheduleCrash(when, int(kind.Crash.GetServers()), kind.Crash.Listed, nil)
	case *script.Trouble_ZoneLoss:
		inZone := func(candidate *server) bool { return f.script.Places[candidate.zone].Name == kind.ZoneLoss.Zone }
		f.scheduleCrash(when, len(f.servers), true, inZone)
	case *script.Trouble_Deploy:
		f.scheduleDeploy(when, kind.Deploy)
	default:
		return &UnsupportedFaultError{At: fault.At}
	}
	return nil
}

// schedulePeriod schedules the begin and the end of a fault.
func (f *fleet) schedulePeriod(when period, begin, end func()) {
	f.after(when.startMs, begin)
	f.after(when.startMs+when.lengthMs, end)
}

// scheduleBurst multiplies the rate of requests.
func (f *fleet) scheduleBurst(when period, burst *script.Burst) {
	f.schedulePeriod(when, func() { f.rateFactor = burst.GetFactor() }, func() { f.rateFactor = 1 })
}

// scheduleHang has servers receive requests and answer none, all the time or for every other period.
func (f *fleet) scheduleHang(when period, hang *script.Hang) {
	var affected []*server
	setHanging := func(hanging bool) {
		for _, server := range affected {
			server.hanging = hanging
		}
	}
	f.schedulePeriod(when, func() {
		affected = f.drawServers(int(hang.GetServers()), nil)
		setHanging(true)
	}, func() { setHanging(false) })
	intervalMs := settings.Milliseconds(hang.Period)
	for sinceMs := intervalMs; sinceMs > 0 && sinceMs < when.lengthMs; sinceMs += intervalMs {
		hanging := int(sinceMs/intervalMs)%2 == 0
		f.after(when.startMs+sinceMs, func() { setHanging(hanging) })
	}
}

// scheduleSlow slows servers down, at once or step by step.
func (f *fleet) scheduleSlow(when period, slow *script.Slow) {
	var affected []*server
	setSlowdown := func(factor float64) {
		for _, server := range affected {
			server.slowdown = factor
		}
	}
	f.schedulePeriod(when, func() {
		affected = f.drawServers(int(slow.GetServers()), nil)
		if !slow.Gradual {
			setSlowdown(slow.GetFactor())
		}
	}, func() { setSlowdown(1) })
	if !slow.Gradual {
		return
	}
	for step := 1; step < gradualSteps; step++ {
		factor := 1 + (slow.GetFactor()-1)*float64(step)/gradualSteps
		f.after(when.startMs+when.lengthMs*float64(step)/gradualSteps, func() { setSlowdown(factor) })
	}
}

// scheduleCrash stops up to count servers of those that are eligible, and starts them again cold. If listed, the endpoint
// list shows that they are gone.
func (f *fleet) scheduleCrash(when period, count int, listed bool, eligible func(*server) bool) {
	var affected []*server
	f.schedulePeriod(when, func() {
		affected = f.drawServers(count, eligible)
		for _, server := range affected {
			server.stop()
		}
		if listed {
			f.publishEndpoints(affected...)
		}
	}, func() {
		for _, server := range affected {
			server.start()
		}
		f.publishEndpoints(affected...)
	})
}

// scheduleDeploy replaces servers in turn.
func (f *fleet) scheduleDeploy(when period, deploy *script.Deploy) {
	count := int(deploy.GetServers())
	drainMs := settings.Milliseconds(deploy.Drain)
	for number := range count {
		f.after(when.startMs+when.lengthMs*float64(number)/float64(count), func() { f.replaceServer(drainMs) })
	}
}

// replaceServer drains a server and then stops it, and starts a cold one in its place.
func (f *fleet) replaceServer(drainMs float64) {
	for _, old := range f.drawServers(1, nil) {
		next, err := f.addServer(old.zone)
		if err != nil {
			f.err = err
			return
		}
		next.start()
		old.draining = true
		f.publishEndpoints(old, next)
		f.after(drainMs, func() {
			old.stop()
			f.publishEndpoints(old)
		})
	}
}

// publishEndpoints has the planner learn the state of servers from the endpoint list, as late as the script says.
func (f *fleet) publishEndpoints(servers ...*server) {
	f.planner.sendEndpoints(settings.Milliseconds(f.script.ListedLate), policy.DeltaUpdate, servers)
}

// drawServers draws up to count servers that run and do not drain, of those that are eligible. A nil eligible means all.
func (f *fleet) drawServers(count int, eligible func(*server) bool) []*server {
	var drawn []*server
	for _, n := range f.rng.Perm(len(f.servers)) {
		candidate := f.servers[n]
		if len(drawn) == count || candidate.stopped || candidate.draining {
			continue
		}
		if eligible == nil || eligible(candidate) {
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}
