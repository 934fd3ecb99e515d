package simulation

import (
	"fmt"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/script"
)

// gradualSteps is the number of steps in which a gradual slowdown reaches its full factor.
const gradualSteps = 10

// UnsupportedFaultError is returned for a script with a fault that the models cannot simulate. Package scenario can play such a
// script.
type UnsupportedFaultError struct {
	At string // time at which the fault begins, as written in the script
}

// Error returns a message that identifies the fault and names the command that supports it.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("the fault at %s needs sockets, which a simulation does not have; play the script with 'scenario' instead", e.At)
}

// period is the time at which a fault begins, and the length of the fault, in ms.
type period struct{ startMs, lengthMs float64 }

// scheduleFault schedules the events of a fault. The time of the fault counts from the start of the load. scheduleFault must
// be called before the run begins.
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

// schedulePeriod schedules actions for the beginning and the end of a fault.
func (f *fleet) schedulePeriod(when period, begin, end func()) {
	f.After(when.startMs, begin)
	f.After(when.startMs+when.lengthMs, end)
}

// scheduleBurst schedules a period in which the request rate is multiplied by a factor.
func (f *fleet) scheduleBurst(when period, burst *script.Burst) {
	f.schedulePeriod(when, func() { f.rateFactor = burst.GetFactor() }, func() { f.rateFactor = 1 })
}

// scheduleHang schedules a fault in which servers receive requests but answer none. If the script sets a period for the
// hang, the servers alternately hang for one period and work for one period.
func (f *fleet) scheduleHang(when period, hang *script.Hang) {
	var affected []*server
	setHanging := func(hanging bool) {
		for _, server := range affected {
			server.Hanging = hanging
		}
	}
	f.schedulePeriod(when, func() {
		affected = f.drawServers(int(hang.GetServers()), nil)
		setHanging(true)
	}, func() { setHanging(false) })
	intervalMs := settings.Milliseconds(hang.Period)
	for sinceMs := intervalMs; sinceMs > 0 && sinceMs < when.lengthMs; sinceMs += intervalMs {
		hanging := int(sinceMs/intervalMs)%2 == 0
		f.After(when.startMs+sinceMs, func() { setHanging(hanging) })
	}
}

// scheduleSlow schedules a fault in which servers slow down, at once or in steps.
func (f *fleet) scheduleSlow(when period, slow *script.Slow) {
	var affected []*server
	setSlowdown := func(factor float64) {
		for _, server := range affected {
			server.Slowdown = factor
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
		f.After(when.startMs+when.lengthMs*float64(step)/gradualSteps, func() { setSlowdown(factor) })
	}
}

// scheduleCrash schedules a fault in which up to count eligible servers stop, and are started again cold when the fault
// ends. If listed is true, the servers are removed from the endpoint list during the fault. A nil eligible selects all
// servers.
func (f *fleet) scheduleCrash(when period, count int, listed bool, eligible func(*server) bool) {
	var affected []*server
	f.schedulePeriod(when, func() {
		affected = f.drawServers(count, eligible)
		for _, server := range affected {
			server.Stop()
		}
		if listed {
			f.publishEndpoints(affected...)
		}
	}, func() {
		for _, server := range affected {
			server.Start()
		}
		f.publishEndpoints(affected...)
	})
}

// scheduleDeploy schedules the replacement of servers one after another, spread evenly over the period.
func (f *fleet) scheduleDeploy(when period, deploy *script.Deploy) {
	count := int(deploy.GetServers())
	drainMs := settings.Milliseconds(deploy.Drain)
	for number := range count {
		f.After(when.startMs+when.lengthMs*float64(number)/float64(count), func() { f.replaceServer(drainMs) })
	}
}

// replaceServer starts a cold server in place of a random one, which drains for drainMs and then stops.
func (f *fleet) replaceServer(drainMs float64) {
	for _, old := range f.drawServers(1, nil) {
		next, err := f.addServer(old.zone)
		if err != nil {
			f.err = err
			return
		}
		next.Start()
		old.draining = true
		f.publishEndpoints(old, next)
		f.After(drainMs, func() {
			old.Stop()
			f.publishEndpoints(old)
		})
	}
}

// publishEndpoints sends the current state of the given servers to the planner, after the endpoint list delay that the script
// sets.
func (f *fleet) publishEndpoints(servers ...*server) {
	f.planner.sendEndpoints(settings.Milliseconds(f.script.ListedLate), policy.DeltaUpdate, servers)
}

// drawServers draws up to count random servers that are eligible, running and not draining. A nil eligible selects all servers.
func (f *fleet) drawServers(count int, eligible func(*server) bool) []*server {
	var drawn []*server
	for _, n := range f.random.Perm(len(f.servers)) {
		candidate := f.servers[n]
		if len(drawn) == count || candidate.Stopped() || candidate.draining {
			continue
		}
		if eligible == nil || eligible(candidate) {
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}
