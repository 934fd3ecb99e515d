package lease

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const (
	orderChance   = 0.3     // probability per step that a holder sends a proxy an order
	delayedChance = 0.01    // probability per step that a holder sends a delayed order, if it sends no other order
	arrivalChance = 0.002   // probability per step that a proxy's oldest delayed order arrives
	maxDecisions  = 10_000  // limit on the decisions of one controller in a step
	maxSkewMs     = 1e6     // largest offset of a controller's clock, in ms
	testRateBound = 1.0 / 2 // largest difference between the rates of clocks, as a fraction of clockRateBound
)

// world simulates controllers and proxies in steps of 1 ms: lost requests, delayed orders, clocks with different rates, and
// pauses. All random choices come from one seed.
type world struct {
	t             testing.TB
	random        *rand.Rand
	nowMs         float64
	names         []string // names of the controllers, in order
	controllers   map[string]*testController
	proxies       []*testProxy
	obeyedOrders  int
	takeoverGapMs []float64 // for each takeover, the time for which the proxy had been free before
	longestFreeMs float64   // longest time that any proxy has been free
	loss          float64   // share of lease requests that are lost, together with the stream that carries them
	unfenced      bool      // whether proxies obey orders without checking the epoch of the order
	violation     string    // the first violation of a rule; empty if there was none
}

// testController is one controller with its store and clock. It is the Host of its manager.
type testController struct {
	world         *world
	name          string
	incarnation   uint64
	reservedEpoch uint64 // highest epoch reserved in the controller's store
	manager       *Manager
	clockRate     float64
	clockSkewMs   float64
	pausedUntilMs float64
	dead          bool
	diskFull      bool
	open          bool
	inbox         []func() // messages that the controller has not handled yet
}

// testProxy is one proxy with its clock and its streams to controllers.
type testProxy struct {
	world         *world
	name          string
	grantor       Grantor
	clockRate     float64
	connected     map[string]bool // whether there is a stream, by controller
	highestEpoch  uint64
	freeSinceMs   float64  // when the proxy became free; infinite while a lease is held
	delayedOrders []func() // orders in transit, oldest first
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

// start begins a new process of the controller, which keeps only the content of the store.
func (c *testController) start() {
	c.incarnation = c.world.random.Uint64()
	c.manager = NewManager(c.name, c.incarnation, c.reservedEpoch, c.clockMs())
	c.dead = false
}

func (c *testController) clockMs() float64 { return c.world.nowMs*c.clockRate + c.clockSkewMs }

func (c *testController) running() bool { return !c.dead && c.world.nowMs >= c.pausedUntilMs }

// deliver queues a message for the controller's current process, which handles the message the next time that the process
// runs. A later process ignores the message.
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
		w.disconnect(proxy, c) // the request is lost together with the stream
		return
	}
	proxy.grantor.SetTime(w.nowMs * proxy.clockRate)
	before := proxy.grantor.Lease
	granted := proxy.grantor.Grant(c.name, c.incarnation, epoch, leaseMs)
	if granted && proxy.grantor.Epoch < proxy.highestEpoch {
		w.recordViolation("the epoch of %s decreased to %d from %d", proxyName, proxy.grantor.Epoch, proxy.highestEpoch)
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

// broadcastExcept sends a proxy's view to all controllers except the excluded one.
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

// kill ends a controller and all its streams.
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

// decide makes a controller handle its messages and carry out all due decisions, unless the controller is paused or dead.
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
			c.world.t.Fatal("a controller does not stop making decisions")
		}
	}
}

// sendOrders makes the controller that holds a proxy's lease send the proxy an order now and then. It records a violation
// if more than one controller considers itself the holder.
func (w *world) sendOrders(proxy *testProxy) {
	var holders []string
	for _, name := range w.names {
		controller := w.controllers[name]
		if controller.dead {
			continue
		}
		controller.manager.SetTime(controller.clockMs()) // clocks of paused controllers run on, so that a pause extends no lease
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

// sendOrder delivers an order at once, delays it, or sends none, at random.
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

// deliverOrder delivers an order to a proxy, and checks that the proxy obeys it only if it was decided under the epoch
// that the proxy granted last.
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

// countHeld counts proxies by the controller that holds their lease; free proxies count under "".
func (w *world) countHeld() map[string]int {
	counts := map[string]int{}
	for _, proxy := range w.proxies {
		counts[proxy.grantor.Controller]++
	}
	return counts
}

// checkRules fails the test if a rule has been broken so far.
func (w *world) checkRules(t *testing.T) {
	t.Helper()
	if w.violation != "" {
		t.Error(w.violation)
	}
}
