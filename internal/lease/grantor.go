package lease

// Lease is the state of a proxy's lease as the proxy itself holds it.
type Lease struct {
	Epoch       uint64  // highest epoch that the proxy has granted; it never decreases
	Controller  string  // name of the holder; empty while the proxy is free
	Incarnation uint64  // identifies the holder's process; 0 while the proxy is free
	ExpiresMs   float64 // expiry time by the proxy's clock; meaningless while the proxy is free
}

// Grantor is the proxy's side of the lease protocol: it grants leases and checks orders. The zero value is a free proxy
// that has granted nothing. A copy is an independent snapshot. Callers must call SetTime before the other methods whenever
// time has passed.
type Grantor struct {
	Lease
	nowMs float64
}

// SetTime sets the current time, in ms of a monotonic clock, and reports whether the lease expired, which frees the proxy.
func (g *Grantor) SetTime(nowMs float64) (expired bool) {
	g.nowMs = nowMs
	if g.Controller == "" || nowMs < g.ExpiresMs {
		return false
	}
	g.clearHolder()
	return true
}

// Grant decides on a request for a lease of leaseMs, and reports whether the lease is granted. The holder may renew its
// lease; a lease under a new epoch is granted while no other process holds a lease. The duration is limited to DurationMs.
func (g *Grantor) Grant(controller string, incarnation, epoch uint64, leaseMs float64) (granted bool) {
	isHolder := g.heldBy(controller, incarnation)
	free := g.Controller == ""
	switch {
	case controller == "":
		return false // an empty name denotes a free proxy
	case !free && !isHolder:
		return false // another process, maybe of the same name, holds the lease
	case epoch < g.Epoch:
		return false // the request was delayed until after a later grant
	case epoch == g.Epoch && !isHolder:
		return false // no two holders may use the same epoch
	}
	g.Lease = Lease{
		Epoch:       epoch,
		Controller:  controller,
		Incarnation: incarnation,
		ExpiresMs:   g.nowMs + min(leaseMs, DurationMs),
	}
	return true
}

// Release frees the proxy if the given process holds its lease under the epoch, and reports whether it freed the proxy.
func (g *Grantor) Release(controller string, incarnation, epoch uint64) (released bool) {
	if controller == "" || !g.heldBy(controller, incarnation) || g.Epoch != epoch {
		return false
	}
	g.clearHolder()
	return true
}

// Accepts reports whether the proxy must now obey orders that a controller process decided under an epoch.
func (g *Grantor) Accepts(controller string, incarnation, epoch uint64) bool {
	if g.Controller == "" || g.nowMs >= g.ExpiresMs {
		return false
	}
	return g.heldBy(controller, incarnation) && g.Epoch == epoch
}

// RemainingMs returns the time until the lease expires, in ms; 0 while the proxy is free.
func (g *Grantor) RemainingMs() float64 {
	if g.Controller == "" {
		return 0
	}
	return max(g.ExpiresMs-g.nowMs, 0)
}

// heldBy reports whether a process holds the lease: both its name and its incarnation must be those of the holder.
func (g *Grantor) heldBy(controller string, incarnation uint64) bool {
	return g.Controller == controller && g.Incarnation == incarnation
}

func (g *Grantor) clearHolder() {
	g.Controller = ""
	g.Incarnation = 0
}
