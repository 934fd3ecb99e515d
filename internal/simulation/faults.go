package simulation

import (
	"fmt"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/script"
)

// trouble plans one. Those that only sockets can have are not emulated.
func (f *fleet) trouble(t *script.Trouble, from float64) error {
	at, lasts, late := from+settings.Milliseconds(t.At), settings.Milliseconds(t.Lasts), settings.Milliseconds(f.script.ListedLate)
	during := func(begin, end func()) {
		f.after(at, begin)
		f.after(at+lasts, end)
	}
	var hit []*server
	switch w := t.What.(type) {
	case *script.Trouble_Burst:
		during(func() { f.factor = w.Burst.GetFactor() }, func() { f.factor = 1 })
	case *script.Trouble_Hang:
		set := func(on bool) {
			for _, s := range hit {
				s.hang = on
			}
		}
		during(func() { hit = f.draw(int(w.Hang.GetServers()), nil); set(true) }, func() { set(false) })
		for p := settings.Milliseconds(w.Hang.Period); p > 0 && p < lasts; p += settings.Milliseconds(w.Hang.Period) {
			on := int(p/settings.Milliseconds(w.Hang.Period))%2 == 0
			f.after(at+p, func() { set(on) })
		}
	case *script.Trouble_Slow:
		set := func(x float64) {
			for _, s := range hit {
				s.slow = x
			}
		}
		during(func() {
			if hit = f.draw(int(w.Slow.GetServers()), nil); !w.Slow.Gradual {
				set(w.Slow.GetFactor())
			}
		}, func() { set(1) })
		for n := 1; n < 10 && w.Slow.Gradual; n++ {
			f.after(at+lasts*float64(n)/10, func() { set(1 + (w.Slow.GetFactor()-1)*float64(n)/10) })
		}
	case *script.Trouble_Crash:
		during(func() { hit = f.draw(int(w.Crash.GetServers()), nil); f.crash(hit, w.Crash.Listed, late) }, func() { f.back(hit, late) })
	case *script.Trouble_ZoneLoss:
		during(func() {
			hit = f.draw(len(f.servers), func(s *server) bool { return f.script.Places[s.zone].Name == w.ZoneLoss.Zone })
			f.crash(hit, true, late)
		}, func() { f.back(hit, late) })
	case *script.Trouble_Deploy:
		n, drain := int(w.Deploy.GetServers()), settings.Milliseconds(w.Deploy.Drain)
		for k := range n {
			f.after(at+lasts*float64(k)/float64(n), func() { f.replace(drain, late) })
		}
	default:
		return fmt.Errorf("the emulator does not play the trouble at %s: it is one of sockets; use 'scenario'", t.At)
	}
	return nil
}

// draw takes up to n servers that run and do not drain.
func (f *fleet) draw(n int, fits func(*server) bool) (drawn []*server) {
	for _, i := range f.chance.Perm(len(f.servers)) {
		if s := f.servers[i]; len(drawn) < n && !s.down && !s.drained && (fits == nil || fits(s)) {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

func (f *fleet) crash(hit []*server, listed bool, late float64) {
	for _, s := range hit {
		s.end()
	}
	if listed {
		f.tellList(late, policy.DeltaUpdate, hit)
	}
}

func (f *fleet) back(hit []*server, late float64) {
	for _, s := range hit {
		s.start()
	}
	f.tellList(late, policy.DeltaUpdate, hit)
}

// replace drains a server, and starts a cold one in its place.
func (f *fleet) replace(drain, late float64) {
	for _, s := range f.draw(1, nil) {
		next, err := f.add(s.zone)
		if err != nil {
			f.failed = err
			return
		}
		next.start()
		s.drained = true
		f.tellList(late, policy.DeltaUpdate, []*server{s, next})
		f.after(drain, func() {
			s.end()
			f.tellList(late, policy.DeltaUpdate, []*server{s})
		})
	}
}
