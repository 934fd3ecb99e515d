package lease

// Lease is what a proxy has granted.
type Lease struct {
	Epoch       uint64  // the highest granted; it never falls
	Controller  string  // name of the holder; empty while the proxy is free
	Incarnation uint64  // process of the holder; 0 while the proxy is free
	ExpiresMs   float64 // by the proxy's clock; no meaning while the proxy is free
}

// Grantor is a proxy's side of the protocol: it grants leases and checks orders. The zero value is a free proxy that has
// granted nothing. It is a plain value: a copy is a snapshot. SetTime must be called before the other methods whenever time
// has passed.
type Grantor struct {
	Lease
	nowMs float64
}

// SetTime states the time, in ms of a monotonic clock, and reports whether a lease expired by it.
func (g *Grantor) SetTime(nowMs float64) (expired bool) {
	g.nowMs = nowMs
	if g.Controller == "" || nowMs < g.ExpiresMs {
		return false
	}
	g.clearHolder()
	return true
}

// Grant decides on a lease request of leaseMs and reports whether it is granted. It grants a renewal to the holder, and a
// lease under a new epoch while nobody else holds one. The duration is cut to DurationMs.
func (g *Grantor) Grant(controller string, incarnation, epoch uint64, leaseMs float64) (granted bool) {
	isHolder := g.heldBy(controller, incarnation)
	free := g.Controller == ""
	switch {
	case controller == "":
		return false // the empty name stands for a free proxy
	case !free && !isHolder:
		return false // guards against two holders, also of one name
	case epoch < g.Epoch:
		return false // guards against a request that was delayed past a later grant
	case epoch == g.Epoch && !isHolder:
		return false // guards against an epoch's use by two holders
	}
	g.Lease = Lease{
		Epoch:       epoch,
		Controller:  controller,
		Incarnation: incarnation,
		ExpiresMs:   g.nowMs + min(leaseMs, DurationMs),
	}
	return true
}

// Release frees the proxy if the caller holds its lease under the epoch, and reports whether it did.
func (g *Grantor) Release(controller string, incarnation, epoch uint64) (released bool) {
	if controller == "" || !g.heldBy(controller, incarnation) || g.Epoch != epoch {
		return false
	}
	g.clearHolder()
	return true
}

// Accepts reports whether orders that a controller decided under an epoch are to be obeyed now.
func (g *Grantor) Accepts(controller string, incarnation, epoch uint64) bool {
	if g.Controller == "" || g.nowMs >= g.ExpiresMs {
		return false
	}
	return g.heldBy(controller, incarnation) && g.Epoch == epoch
}

// RemainingMs is how long the lease lasts from the time set, in ms; 0 while the proxy is free.
func (g *Grantor) RemainingMs() float64 {
	if g.Controller == "" {
		return 0
	}
	return max(g.ExpiresMs-g.nowMs, 0)
}

// heldBy reports whether a process is the holder. A process of the holder's name with another incarnation is not.
func (g *Grantor) heldBy(controller string, incarnation uint64) bool {
	return g.Controller == controller && g.Incarnation == incarnation
}

func (g *Grantor) clearHolder() {
	g.Controller = ""
	g.Incarnation = 0
}
