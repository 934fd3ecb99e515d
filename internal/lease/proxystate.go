package lease

import "math"

// ProxyView is how a proxy says that its lease stands. Times are spans, as the clocks of both ends differ.
type ProxyView struct {
	Epoch             uint64   // the highest granted
	Controller        string   // name of the holder; empty while the proxy is free
	Incarnation       uint64   // process of the holder
	RemainingMs       float64  // until the lease expires, in ms
	Reachable         []string // controllers that it gets heartbeats of and that are open; not to be changed afterwards
	DialedControllers int      // how many controllers the proxy dials
}

// proxyState is what a controller knows of one proxy. Times are in ms of the controller's clock.
type proxyState struct {
	name string

	view             ProxyView
	viewMs           float64 // when the view came
	connectedMs      float64 // when its stream came up
	reachableSinceMs float64 // since when it has named the same controllers reachable
	freeSinceMs      float64 // since when it has been free by its own view; infinite while it is not

	pending     []leaseRequest // unanswered, oldest first
	epoch       uint64         // of the lease that this controller holds; 0: none
	heldUntilMs float64        // when this controller stops believing that it holds the lease
	commanded   bool           // whether Host.StartCommand was called for the lease

	rank                   int     // of this controller among those that the proxy can reach, from 0
	outrankedSinceMs       float64 // since when a better ranked controller has been reachable; infinite while none is
	transferredMs          float64 // when it was last transferred; minus infinity: never
	transferDelayDoublings int     // transfers in a row after which no other controller requested the proxy
	nextEvaluationMs       float64 // when it is due for a decision
	queueIndex             int     // in Manager.queue
}

// leaseRequest is a request that has not been answered.
type leaseRequest struct {
	nonce  uint64 // names the request in its answer
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

// lastRequestMs is when the last request went out; minus infinity if none is pending.
func (p *proxyState) lastRequestMs() float64 {
	if len(p.pending) == 0 {
		return math.Inf(-1)
	}
	return p.pending[len(p.pending)-1].sentMs
}

// heldAt reports whether the controller believes at a time that it holds the lease.
func (p *proxyState) heldAt(nowMs float64) bool { return p.epoch > 0 && nowMs < p.heldUntilMs }

// heldUntilMs is when a holder stops believing in a lease that it asked for at a time, by its own clock.
func heldUntilMs(askedMs, leaseMs float64) float64 {
	return askedMs + leaseMs*(1-clockRateBound) - safetyMarginMs
}
