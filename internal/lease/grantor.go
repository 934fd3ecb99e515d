// Package lease decides who commands which proxy where several controllers share one fleet. The proxy is the only
// judge of that: it grants a lease under an epoch that only rises (Grantor), and obeys nothing that was ordered under
// another. A controller (Manager) claims, renews, yields and gives back. Neither does I/O or reads a clock.
//
// Why no proxy has two commanders: a proxy counts a lease from when it grants it, its holder from before it asked, less what
// their clocks may differ by. So the holder has stopped to believe before the proxy grants another, and what was under way by
// then carries an epoch that is past.
package lease

// All constants of package lease.
const (
	DurationMs         = 2000.0  // ms; how long a proxy is without a commander after one died, at the most, less a claim's way
	renewMs            = 400.0   // ms between renewals; four may be lost before a lease ends
	rateBound          = 0.1     // part by which two clocks may run apart; quartz keeps 0.0001, a paused machine does not count
	marginMs           = 20.0    // ms of a lease that its holder does not use; a decision in hand is sent within that
	staggerMs          = 150.0   // ms by which each next in rank waits to claim; a claim's way and answer take a tenth of it
	gatherMs           = 500.0   // ms that a new stream's proxy may take to reach the other controllers; a redial takes as long
	answerMs           = 600.0   // ms until a claim that was not answered is made again
	settledMs          = 3000.0  // ms that a better placed controller must be reachable before it is handed proxies
	mostBack           = 5       // doublings of that, as many as a proxy came back; a minute and a half then
	ReachableMs        = 1200.0  // ms without a frame after which a proxy no longer names a controller reachable
	HeartbeatMs        = 400.0   // ms between a controller's frames at the least; three make the above
	transfersPerSecond = 20.0    // proxies a second that are handed over; each brings its successor a table to send
	reserveAhead       = 1000    // epochs that one write to the store covers; a takeover of so many proxies costs one
	DrainMemoryMs      = 30000.0 // ms that a drain known by a predecessor is kept while one's own list does not show it
)

// Lease is what a proxy has granted.
type Lease struct {
	Epoch       uint64 // the highest granted; it never falls
	Controller  string // empty: free
	Incarnation uint64
	ExpiresMs   float64 // ms of the proxy's clock
}

// Grantor is a proxy's judgement. It is a value: a copy is a snapshot.
type Grantor struct {
	Lease
	now float64
}

// SetTime tells the time, in ms of a clock that never jumps. It says whether a lease ran out.
func (a *Grantor) SetTime(now float64) (ended bool) {
	a.now = now
	if a.Controller != "" && now >= a.ExpiresMs {
		a.Controller, a.Incarnation = "", 0
		return true
	}
	return false
}

// Grant judges one: the holder's renewal under its epoch, or a new epoch while no other holds. A process that bears the
// holder's name and is another is another.
func (a *Grantor) Grant(controller string, incarnation, epoch uint64, leaseMs float64) (granted bool) {
	mine := a.Controller == controller && a.Incarnation == incarnation
	switch {
	case controller == "" || a.Controller != "" && !mine:
		return false
	case epoch < a.Epoch, epoch == a.Epoch && !mine:
		return false
	}
	a.Lease = Lease{Epoch: epoch, Controller: controller, Incarnation: incarnation, ExpiresMs: a.now + min(leaseMs, DurationMs)}
	return true
}

// Release takes a lease back from its holder, and from nobody else.
func (a *Grantor) Release(controller string, incarnation, epoch uint64) (released bool) {
	if a.Controller != controller || a.Incarnation != incarnation || a.Epoch != epoch || controller == "" {
		return false
	}
	a.Controller, a.Incarnation = "", 0
	return true
}

// Accepts says whether orders under an epoch from a controller are to be obeyed now.
func (a *Grantor) Accepts(controller string, incarnation, epoch uint64) bool {
	return a.Controller != "" && a.Controller == controller && a.Incarnation == incarnation && a.Epoch == epoch && a.now < a.ExpiresMs
}

// RemainingMs is how long the lease lasts, in ms; 0 while free.
func (a *Grantor) RemainingMs() float64 {
	if a.Controller == "" {
		return 0
	}
	return max(a.ExpiresMs-a.now, 0)
}

// heldUntil is when a holder stops to believe, by its own clock, of a lease that it asked for at a time.
func heldUntil(askedAt, leaseMs float64) float64 { return askedAt + leaseMs*(1-rateBound) - marginMs }
