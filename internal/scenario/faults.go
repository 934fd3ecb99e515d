package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	"lichenpick/proto/script"
)

// trouble plays one trouble from its beginning to its end. It returns early when the day ends.
func (f *fleet) trouble(ctx context.Context, t *script.Trouble) error {
	if clock.Sleep(ctx, f.clock, settings.Milliseconds(t.At)) != nil {
		return nil
	}
	lasts := settings.Milliseconds(t.Lasts)
	wait := func() { clock.Sleep(ctx, f.clock, lasts) }
	during := func(r linkRule) {
		end := f.link(r)
		wait()
		end()
	}
	f.log.Info("trouble begins", "what", f.named(t))
	defer f.log.Info("trouble ends", "what", f.named(t))
	switch w := t.What.(type) {
	case *script.Trouble_Burst:
		f.crowd.SetRateFactor(w.Burst.GetFactor())
		wait()
		f.crowd.SetRateFactor(1)
	case *script.Trouble_Hang:
		nodes := f.draw(int(w.Hang.GetServers()), nil)
		period := settings.Milliseconds(w.Hang.Period)
		if period == 0 {
			f.faulty(nodes, func(x *fake.Fault) { x.Hang = true })
			wait()
		}
		for begun := f.clock.Monotonic(); period > 0 && f.clock.Monotonic()-begun < lasts && ctx.Err() == nil; {
			f.faulty(nodes, func(x *fake.Fault) { x.Hang = !x.Hang })
			clock.Sleep(ctx, f.clock, period)
		}
		f.sound(nodes)
	case *script.Trouble_Slow:
		nodes := f.draw(int(w.Slow.GetServers()), nil)
		const steps = 10
		for n := 1; n <= steps && ctx.Err() == nil; n++ {
			factor := w.Slow.GetFactor()
			if w.Slow.Gradual {
				factor = 1 + (factor-1)*float64(n)/steps
			}
			f.faulty(nodes, func(x *fake.Fault) { x.Slow = factor })
			clock.Sleep(ctx, f.clock, lasts/steps)
		}
		f.sound(nodes)
	case *script.Trouble_Failing:
		nodes := f.draw(int(w.Failing.GetServers()), nil)
		f.faulty(nodes, func(x *fake.Fault) {
			x.Errors, x.Reset, x.Refuse = w.Failing.GetErrors(), w.Failing.GetResets(), w.Failing.Refuse
		})
		wait()
		f.sound(nodes)
	case *script.Trouble_Handshakes:
		delay := settings.Milliseconds(w.Handshakes.Delay)
		during(func(_ netip.Addr, to *node) (l fake.LinkFault) {
			if to.control == nil {
				l.ConnectMs = delay
			}
			return l
		})
	case *script.Trouble_Crash:
		nodes := f.draw(int(w.Crash.GetServers()), nil)
		return f.crash(ctx, nodes, w.Crash.Listed, wait)
	case *script.Trouble_ZoneLoss:
		zone := f.zone(w.ZoneLoss.Zone)
		nodes := f.draw(len(f.nodes), func(n *node) bool { return n.zone == zone })
		return f.crash(ctx, nodes, true, wait)
	case *script.Trouble_ZoneCut:
		zone := f.zone(w.ZoneCut.Zone)
		during(func(from netip.Addr, to *node) (l fake.LinkFault) {
			if to.control == nil {
				l.Cut = (zoneOf(from) == zone) != (to.zone == zone)
			}
			return l
		})
	case *script.Trouble_PlannerRestart:
		c := f.control(w.PlannerRestart.GetController())
		c.end(w.PlannerRestart.Kill, int(w.PlannerRestart.GetAfterBytes()))
		wait()
		if ctx.Err() != nil {
			return nil
		}
		return c.start(f.running)
	case *script.Trouble_ControllerPause:
		if c := f.control(w.ControllerPause.GetController()); c.cmd != nil {
			c.cmd.Process.Signal(syscall.SIGSTOP)
			wait()
			c.cmd.Process.Signal(syscall.SIGCONT)
		}
	case *script.Trouble_ControllerCut:
		c, zone := f.control(w.ControllerCut.GetController()), f.zone(w.ControllerCut.Zone)
		during(func(from netip.Addr, to *node) fake.LinkFault {
			hit := to == c.node && (zone < 0 || zoneOf(from) == zone)
			return fake.LinkFault{Cut: hit && !w.ControllerCut.Hold, Stall: hit && w.ControllerCut.Hold}
		})
	case *script.Trouble_ControllerDrain:
		if c := f.control(w.ControllerDrain.GetController()); c.cmd != nil {
			if err := c.drain(true); err != nil {
				return err
			}
			wait()
			return c.drain(false)
		}
	case *script.Trouble_DiskFull:
		c := f.control(w.DiskFull.GetController())
		c.full(true)
		wait()
		c.full(false)
	case *script.Trouble_StreamBreak:
		// Streams of one zone share an address, so that a share of them is drawn by zone.
		share := w.StreamBreak.GetShare()
		hit := map[int]bool{}
		for n := range f.script.Places {
			hit[n] = f.roll() < share
		}
		for _, c := range f.controls {
			c.relay.Disconnect(func(from netip.Addr) bool { return hit[zoneOf(from)] })
		}
	case *script.Trouble_StuckProxy:
		zone := int(f.roll() * float64(len(f.script.Places)))
		during(func(from netip.Addr, to *node) fake.LinkFault {
			return fake.LinkFault{Stall: to.control != nil && zoneOf(from) == zone}
		})
	case *script.Trouble_Deploy:
		return f.deploy(ctx, int(w.Deploy.GetServers()), settings.Milliseconds(w.Deploy.Drain), lasts)
	case *script.Trouble_WrongList:
		strangers, missing := int(w.WrongList.GetStrangers()), w.WrongList.GetMissing()
		f.registry.Override(func(list []*order.Listing_Entry) (told []*order.Listing_Entry) {
			told = append(told, list[int(float64(len(list))*missing):]...)
			for n := range strangers {
				told = append(told, &order.Listing_Entry{Server: fmt.Sprintf("127.9.9.9:%d", 9000+n), Zone: f.script.Places[n%len(f.script.Places)].Name, Size: 1})
			}
			return told
		})
		wait()
		f.registry.Override(nil)
	case *script.Trouble_OneSided:
		zone := f.zone(w.OneSided.Zone)
		hit := map[*node]bool{}
		nodes := f.draw(int(w.OneSided.GetServers()), nil)
		for _, n := range nodes {
			hit[n] = true
		}
		during(func(from netip.Addr, to *node) fake.LinkFault {
			return fake.LinkFault{Cut: hit[to] && zoneOf(from) == zone}
		})
		f.sound(nodes)
	case *script.Trouble_SlowStreams:
		delay := settings.Milliseconds(w.SlowStreams.Delay)
		during(func(_ netip.Addr, to *node) (l fake.LinkFault) {
			if to.control != nil {
				l.DelayMs = delay
			}
			return l
		})
	}
	return nil
}

// control gives a planner by its number in the script; where fewer run than it counts on, another takes the part.
func (f *fleet) control(n uint32) *control { return f.controls[int(n)%len(f.controls)] }

func (f *fleet) named(t *script.Trouble) string {
	m := t.ProtoReflect()
	if fd := m.WhichOneof(m.Descriptor().Oneofs().ByName("what")); fd != nil {
		return string(fd.Name())
	}
	return "nothing"
}

func zoneOf(from netip.Addr) int {
	if !from.Is4() {
		return -1
	}
	return int(from.As4()[1]) - 1
}

func (f *fleet) zone(name string) int {
	for n, p := range f.script.Places {
		if p.Name == name {
			return n
		}
	}
	return -1
}

func (f *fleet) roll() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chance.Float64()
}

// draw takes up to n servers that no trouble has yet.
func (f *fleet) draw(n int, fits func(*node) bool) (drawn []*node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.chance.Perm(len(f.nodes)) {
		x := f.nodes[i]
		if len(drawn) < n && !x.taken && (fits == nil || fits(x)) {
			x.taken = true
			drawn = append(drawn, x)
		}
	}
	return drawn
}

func (f *fleet) faulty(nodes []*node, change func(*fake.Fault)) {
	for _, n := range nodes {
		change(&n.fault)
		n.server.SetFault(n.fault)
	}
}

func (f *fleet) sound(nodes []*node) {
	f.faulty(nodes, func(x *fake.Fault) { *x = fake.Fault{} })
	f.mu.Lock()
	for _, n := range nodes {
		n.taken = false
	}
	f.mu.Unlock()
}

// crash ends servers and starts them again, cold, under their names.
func (f *fleet) crash(ctx context.Context, nodes []*node, listed bool, wait func()) error {
	for _, n := range nodes {
		n.relay.Close()
		n.server.Crash()
		if listed {
			f.show(n, 2)
		}
	}
	wait()
	for _, n := range nodes {
		if ctx.Err() != nil {
			return nil
		}
		if _, err := n.server.Start(ctx, true); err != nil {
			return err
		}
		if err := n.relay.Reopen(); err != nil {
			return err
		}
		f.show(n, 0)
	}
	f.sound(nodes)
	return nil
}

// deploy replaces servers one after the other over a time: drained, gone, and another one cold in its place.
func (f *fleet) deploy(ctx context.Context, count int, drain, lasts float64) error {
	nodes := f.draw(count, nil)
	for _, n := range nodes {
		f.show(n, 1)
		next, err := f.add(ctx, n.zone, true)
		if err != nil {
			return err
		}
		f.mu.Lock()
		next.taken = true // until the deploy is over
		f.mu.Unlock()
		defer f.sound([]*node{next})
		f.group.Go(func() error { // the old one goes when its drain is over, while the next may begin
			clock.Sleep(ctx, f.clock, drain)
			n.relay.Close()
			n.server.Crash()
			if ctx.Err() == nil {
				f.show(n, 2)
			}
			return nil
		})
		clock.Sleep(ctx, f.clock, lasts/float64(len(nodes)))
	}
	return nil
}
