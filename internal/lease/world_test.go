package lease

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const (
	orderChance   = 0.3     // that a holder sends a proxy an order, in a step
	delayedChance = 0.01    // that it sends one that is delayed, of the others
	arrivalChance = 0.002   // that a delayed order arrives, in a step
	maxDecisions  = 10_000  // of one controller in a step
	maxSkewMs     = 1e6     // of a controller's clock
	testRateBound = 1.0 / 2 // part of clockRateBound that clocks use
)

// world is some controllers and proxies in simulated time, which counts in ms: links that lose and delay, clocks that run
// apart, pauses. Everything is drawn from one seed.
type world struct {
	t             testing.TB
	random        *rand.Rand
	nowMs         float64
	names         []string // of controllers, in order
	controllers   map[string]*testController
	proxies       []*testProxy
	obeyedOrders  int
	takeoverGapMs []float64 // time that a proxy was free, for each lease that ended that
	longestFreeMs float64   // of any proxy
	loss          float64   // share of requests whose stream breaks
	unfenced      bool      // proxies obey whatever arrives
	violation     string    // the first rule broken; empty: none
}

// testController is one controller with its store and clock. It is the Host of its manager.
type testController struct {
	world         *world
	name          string
	incarnation   uint64
	reservedEpoch uint64 // what its store holds
	manager       *Manager
	clockRate     float64
	clockSkewMs   float64
	pausedUntilMs float64
	dead          bool
	diskFull      bool
	open          bool
	inbox         []func() // messages that it handles once it runs
}

// testProxy is one proxy with its clock and its streams to controllers.
type testProxy struct {
	world         *world
	name          string
	grantor       Grantor
	clockRate     float64
	connected     map[string]bool // by controller
	highestEpoch  uint64
	freeSinceMs   float64  // infinite while a lease is held
	delayedOrders []func() // on their way, oldest first
}

func newWorld(t testing.TB, seed int64, controllerCount, proxyCount int) *world {
	t.Helper()
	w := &world{t: t, random: rand.New(rand.NewSource(seed)), controllers: map[string]*testController{}}
	for number := range controllerCount {
		controller := &testController{world: w, name: string(rune('A' + number)), open: true}
		controller.clockRate = w.randomClockRate()
		controller.clockSkewMs = w.random.Float64() * maxSkewMs
		w.names = append(w.names, controller.name)
		w.controllers[controller.name] = controller
		controller.start()
	}
	for number := range proxyCount {
		proxy := &testProxy{world: w, name: fmt.Sprint("p", number), connected: map[string]bool{}}
		proxy.clockRate = w.randomClockRate()
		w.proxies = append(w.proxies, proxy)
		for _, name := range w.names {
			w.connect(proxy, w.controllers[name])
		}
	}
	return w
}

func (w *world) randomClockRate() float64 {
	return 1 + (w.random.Float64()-0.5)*clockRateBound*testRateBound
}

// start begins a new process, which knows only what the store holds.
func (c *testController) start() {
	c.incarnation = c.world.random.Uint64()
	c.manager = NewManager(c.name, c.incarnation, c.reservedEpoch, c.clockMs())
	c.dead = false
}

func (c *testController) clockMs() float64 { return c.world.nowMs*c.clockRate + c.clockSkewMs }

func (c *testController) running() bool { return !c.dead && c.world.nowMs >= c.pausedUntilMs }

// deliver has a controller's present process handle a message as soon as it runs.
func (c *testController) deliver(message func()) {
	recipient := c.manager
	c.inbox = append(c.inbox, func() {
		if c.manager == recipient {
			message()
		}
	})
}

func (c *testController) RequestLease(proxyName string, nonce, epoch uint64, leaseMs float64) {
	w := c.world
	proxy := w.proxy(proxyName)
	if !proxy.connected[c.name] || w.random.Float64() < w.loss {
		w.disconnect(proxy, c) // the request is lost with its stream
		return
	}
	proxy.grantor.SetTime(w.nowMs * proxy.clockRate)
	before := proxy.grantor.Lease
	granted := proxy.grantor.Grant(c.name, c.incarnation, epoch, leaseMs)
	if granted && proxy.grantor.Epoch < proxy.highestEpoch {
		w.recordViolation("epoch of %s fell to %d from %d", proxyName, proxy.grantor.Epoch, proxy.highestEpoch)
	}
	proxy.highestEpoch = max(proxy.highestEpoch, proxy.grantor.Epoch)
	if granted && before.Controller == "" && !math.IsInf(proxy.freeSinceMs, 1) {
		w.takeoverGapMs = append(w.takeoverGapMs, w.nowMs-proxy.freeSinceMs)
		proxy.freeSinceMs = math.Inf(1)
	}
	view := proxy.view()
	c.deliver(func() { c.manager.HandleAnswer(proxyName, nonce, granted, view) })
	if before.Controller != proxy.grantor.Controller {
		proxy.broadcastExcept(c.name)
	}
}

func (c *testController) ReleaseLease(proxyName string, epoch uint64) {
	proxy := c.world.proxy(proxyName)
	if proxy.connected[c.name] && proxy.grantor.Release(c.name, c.incarnation, epoch) {
		proxy.freeSinceMs = c.world.nowMs
		proxy.broadcast()
	}
}

func (c *testController) StartCommand(string, uint64) {}

func (c *testController) StopCommand(string) {}

func (c *testController) SetTimer(float64) {}

func (c *testController) ReserveEpochs(upTo uint64) {
	if c.diskFull {
		c.manager.ReservationFailed()
		return
	}
	c.reservedEpoch = upTo
	c.manager.EpochsReserved(upTo)
}

func (c *testController) SetAcceptsLeases(open bool) {
	c.open = open
	for _, proxy := range c.world.proxies {
		proxy.broadcast()
	}
}

func (p *testProxy) view() ProxyView {
	view := ProxyView{
		Epoch:             p.grantor.Epoch,
		Controller:        p.grantor.Controller,
		Incarnation:       p.grantor.Incarnation,
		RemainingMs:       p.grantor.RemainingMs() / p.clockRate,
		DialedControllers: len(p.world.names),
	}
	for _, name := range p.world.names {
		if p.connected[name] && p.world.controllers[name].open {
			view.Reachable = append(view.Reachable, name)
		}
	}
	return view
}

// broadcast sends a proxy's view to all controllers.
func (p *testProxy) broadcast() { p.broadcastExcept("") }

// broadcastExcept sends a proxy's view to all controllers but one.
func (p *testProxy) broadcastExcept(excluded string) {
	view := p.view()
	for _, name := range p.world.names {
		if !p.connected[name] || name == excluded {
			continue
		}
		controller := p.world.controllers[name]
		controller.deliver(func() { controller.manager.UpdateLease(p.name, view) })
	}
}

func (w *world) connect(proxy *testProxy, controller *testController) {
	if controller.dead || proxy.connected[controller.name] {
		return
	}
	proxy.connected[controller.name] = true
	view := proxy.view()
	controller.deliver(func() { controller.manager.AddProxy(proxy.name, view) })
	proxy.broadcastExcept(controller.name)
}

func (w *world) connectAll(controller *testController) {
	for _, proxy := range w.proxies {
		w.connect(proxy, controller)
	}
}

func (w *world) disconnect(proxy *testProxy, controller *testController) {
	if !proxy.connected[controller.name] {
		return
	}
	proxy.connected[controller.name] = false
	controller.deliver(func() { controller.manager.RemoveProxy(proxy.name) })
	proxy.broadcast()
}

func (w *world) disconnectAll(controller *testController) {
	for _, proxy := range w.proxies {
		w.disconnect(proxy, controller)
	}
}

// kill ends a controller with all its streams.
func (w *world) kill(controller *testController) {
	controller.dead = true
	w.disconnectAll(controller)
}

func (w *world) proxy(name string) *testProxy {
	return w.proxies[slices.IndexFunc(w.proxies, func(proxy *testProxy) bool { return proxy.name == name })]
}

func (w *world) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%.0f ms: ", w.nowMs) + fmt.Sprintf(format, args...)
	}
}

// step advances the time by a millisecond: leases expire, controllers handle messages and decide, and holders send orders.
func (w *world) step() {
	w.nowMs++
	for _, proxy := range w.proxies {
		if proxy.grantor.SetTime(w.nowMs * proxy.clockRate) {
			proxy.freeSinceMs = w.nowMs
			proxy.broadcast()
		}
	}
	for _, name := range w.names {
		w.controllers[name].decide()
	}
	for _, proxy := range w.proxies {
		w.sendOrders(proxy)
		if len(proxy.delayedOrders) > 0 && w.random.Float64() < arrivalChance {
			proxy.delayedOrders[0]()
			proxy.delayedOrders = proxy.delayedOrders[1:]
		}
		if !math.IsInf(proxy.freeSinceMs, 1) {
			w.longestFreeMs = max(w.longestFreeMs, w.nowMs-proxy.freeSinceMs)
		}
	}
}

// decide has a running controller handle its messages and carry out all its decisions.
func (c *testController) decide() {
	if !c.running() {
		return
	}
	messages := c.inbox
	c.inbox = nil
	c.manager.SetTime(c.clockMs())
	for _, handle := range messages {
		handle()
	}
	for decisions := 0; c.manager.Next(c); decisions++ {
		if decisions > maxDecisions {
			c.world.t.Fatal("decisions without end")
		}
	}
}

// sendOrders has each controller that holds a proxy's lease send it an order now and then, and checks that at most one
// does.
func (w *world) sendOrders(proxy *testProxy) {
	var holders []string
	for _, name := range w.names {
		controller := w.controllers[name]
		if controller.dead {
			continue
		}
		controller.manager.SetTime(controller.clockMs()) // a paused one's clock goes on, so it will not believe more once it runs
		epoch, held := controller.manager.HoldsLease(proxy.name)
		if !held {
			continue
		}
		holders = append(holders, name)
		if controller.running() {
			w.sendOrder(proxy, controller, epoch)
		}
	}
	if len(holders) > 1 {
		w.recordViolation("%v both command %s", holders, proxy.name)
	}
}

// sendOrder delivers an order now, has it delayed, or sends none.
func (w *world) sendOrder(proxy *testProxy, controller *testController, epoch uint64) {
	name := controller.name
	incarnation := controller.incarnation
	deliver := func() { w.deliverOrder(proxy, name, incarnation, epoch) }
	switch {
	case !proxy.connected[controller.name]:
	case w.random.Float64() < orderChance:
		deliver()
	case w.random.Float64() < delayedChance:
		proxy.delayedOrders = append(proxy.delayedOrders, deliver)
	}
}

// deliverOrder checks that a proxy obeys an order only if it was decided under the epoch that it granted last.
func (w *world) deliverOrder(proxy *testProxy, controller string, incarnation, epoch uint64) {
	if !w.unfenced && !proxy.grantor.Accepts(controller, incarnation, epoch) {
		return
	}
	w.obeyedOrders++
	if epoch < proxy.grantor.Epoch || proxy.grantor.Controller != controller {
		w.recordViolation("%s obeyed %s under epoch %d; it has granted %d to %q",
			proxy.name, controller, epoch, proxy.grantor.Epoch, proxy.grantor.Controller)
	}
}

func (w *world) run(ms int) {
	for range ms {
		w.step()
	}
}

// countHeld counts proxies by the controller that they have granted their lease to; free ones by "".
func (w *world) countHeld() map[string]int {
	counts := map[string]int{}
	for _, proxy := range w.proxies {
		counts[proxy.grantor.Controller]++
	}
	return counts
}

// checkRules fails the test if a rule was broken so far.
func (w *world) checkRules(t *testing.T) {
	t.Helper()
	if w.violation != "" {
		t.Error(w.violation)
	}
}
