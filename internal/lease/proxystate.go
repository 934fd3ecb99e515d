package lease

import "math"

// ProxyView is the state of a proxy's lease as the proxy reports it. It contains durations instead of points in time,
// because the clocks of the proxy and the controller differ.
type ProxyView struct {
	Epoch             uint64   // highest epoch that the proxy has granted
	Controller        string   // name of the holder; empty while the proxy is free
	Incarnation       uint64   // identifies the holder's process
	RemainingMs       float64  // time until the lease expires, in ms
	Reachable         []string // controllers that send the proxy heartbeats and accept leases; must not be modified afterwards
	DialedControllers int      // how many controllers the proxy is configured to dial
}

// proxyState is a controller's state of one connected proxy. Times are in ms of the controller's clock.
type proxyState struct {
	name string

	view             ProxyView
	viewMs           float64 // when the view arrived
	connectedMs      float64 // when the proxy's stream came up
	reachableSinceMs float64 // since when the proxy has reported its current set of reachable controllers
	freeSinceMs      float64 // since when the proxy has been free by its own view; infinite while the proxy is held

	pending     []leaseRequest // unanswered lease requests, oldest first
	epoch       uint64         // epoch of the lease that this controller holds; 0 if it holds none
	heldUntilMs float64        // until when this controller considers itself the holder of the lease
	commanded   bool           // whether Host.StartCommand was called for the lease

	rank                   int     // rank of this controller among those that the proxy can reach; 0 is the best
	outrankedSinceMs       float64 // since when a better ranked controller has been reachable; infinite if none is
	transferredMs          float64 // when the proxy was last transferred; minus infinity if never
	transferDelayDoublings int     // consecutive transfers after which the proxy soon came back, up to a limit
	nextEvaluationMs       float64 // when the proxy is due for a decision
	queueIndex             int     // index of the proxy in Manager.queue
}

// leaseRequest is a lease request that has not been answered yet.
type leaseRequest struct {
	nonce  uint64 // identifies the request in the proxy's answer
	epoch  uint64
	sentMs float64
}

// newProxyState returns the state of a proxy whose stream has just come up.
func newProxyState(name string, nowMs float64) *proxyState {
	return &proxyState{
		name:             name,
		connectedMs:      nowMs,
		freeSinceMs:      math.Inf(1),
		outrankedSinceMs: math.Inf(1),
		transferredMs:    math.Inf(-1),
	}
}

// lastRequestMs returns when the latest pending request was sent; minus infinity if none is pending.
func (p *proxyState) lastRequestMs() float64 {
	if len(p.pending) == 0 {
		return math.Inf(-1)
	}
	return p.pending[len(p.pending)-1].sentMs
}

// heldAt reports whether the controller considers itself the holder of the lease at a given time.
func (p *proxyState) heldAt(nowMs float64) bool { return p.epoch > 0 && nowMs < p.heldUntilMs }

// heldUntilMs returns the time until which a holder may use a lease of leaseMs that it requested at requestedMs. Both times
// are by the holder's clock.
func heldUntilMs(requestedMs, leaseMs float64) float64 {
	return requestedMs + leaseMs*(1-clockRateBound) - safetyMarginMs
}
