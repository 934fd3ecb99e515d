// Package model explores the lease protocol of package lease exhaustively, at a small size and in whole ticks: two
// controllers that claim, renew, order and restart, proxies that judge by the product's own Arbiter, and messages
// that are lost or take any time. A pause needs no state of its own: nobody must act
// at any time, and what was decided may leave ever so late. It shows what no number of drawn runs can: that no order of events breaks a rule, or the
// shortest one that does.
package model

import (
	"fmt"
	"strings"

	"lichenpick/internal/lease"
)

// Ticks of a lease, and of it those that a holder believes in. A controller's clock may stand still for one tick of a lease.
const (
	leaseState = 3
	belief     = leaseState - 1
)

// Bounds keep the space finite.
type Bounds struct {
	Proxies   int // 1 or 2
	Epochs    uint8
	Restarts  uint8 // of each controller
	Losses    bool
	MaxStates int // give up beyond so many
}

// Mutation leaves a part of the protocol out, to see that the explorer finds what it is for.
type Mutation int

const (
	NoMutation            Mutation = iota
	WithoutFencing                 // a proxy obeys whatever comes
	LeaseFromAnswer                // a holder counts its lease from the answer
	WithoutIncarnation             // a restarted controller passes for the one before, and forgets which epochs it used
	WithoutClockRateBound          // a holder believes in the whole lease, though its clock may be slow
)

type proxy struct {
	epoch, left uint8
	holder      int8 // controller + 1; 0: free
	process     uint8
}

// way is what is between a controller and a proxy.
type way struct {
	claim, claimProcess, claimAge    uint8 // epoch, 0: none
	answer, answerProcess, answerAge uint8 // epoch granted
	order, orderProcess              uint8 // epoch under which it was decided
	own, ownLeft                     uint8 // what the controller believes
}

type controller struct {
	process, used uint8
	still         uint8 // ticks until its clock may stand still again
}

type state struct {
	p [2]proxy
	c [2]controller
	w [2][2]way
}

// Result of an exploration.
type Result struct {
	States, Depth int
	Complete      bool     // the bound on states was not met
	Violation     string   // what was broken, empty: nothing
	Trace         []string // the shortest way to it
}

type explorer struct {
	b      Bounds
	broken Mutation
	from   map[state]state
	next   []state
	wrong  string
	last   state
	end    string
	told   func(s state, what string) // set while a way is told again
}

// Explore goes through all states within the bounds, breadth first.
func Explore(b Bounds, broken Mutation) Result {
	e := &explorer{b: b, broken: broken, from: map[state]state{}}
	start := state{}
	e.from[start] = start
	r := Result{Complete: true}
	for level := []state{start}; len(level) > 0; r.Depth++ {
		e.next = nil
		for _, s := range level {
			if e.expand(s); e.wrong != "" {
				r.States, r.Violation, r.Trace = len(e.from), e.wrong, e.trace()
				return r
			}
		}
		if level = e.next; len(e.from) > b.MaxStates {
			r.Complete = false
			break
		}
	}
	r.States = len(e.from)
	return r
}

// trace tells the way to the last state, by going from each state on it to the next once more.
func (e *explorer) trace() (out []string) {
	out = append(out, e.end)
	for s := e.last; e.from[s] != s; s = e.from[s] {
		said := ""
		e.told = func(n state, what string) {
			if n == s {
				said = what
			}
		}
		e.expand(e.from[s])
		out = append([]string{said}, out...)
	}
	return out
}

func (e *explorer) add(s, from state, format string, args ...any) {
	if e.told != nil {
		e.told(s, fmt.Sprintf(format, args...))
		return
	}
	if e.wrong != "" {
		return
	}
	for p := range e.b.Proxies {
		if s.w[0][p].ownLeft > 0 && s.w[1][p].ownLeft > 0 {
			e.wrong, e.last, e.end = fmt.Sprintf("both controllers believe to command proxy %d", p), from, fmt.Sprintf(format, args...)
			return
		}
	}
	if _, seen := e.from[s]; !seen {
		e.from[s] = from
		e.next = append(e.next, s)
	}
}

func name(c int) string { return string(rune('A' + c)) }

// judge asks the product's own arbiter.
func (e *explorer) judge(p *proxy, c int, process, epoch uint8, what func(a *lease.Grantor, who string, process uint64) bool) bool {
	a := lease.Grantor{Lease: lease.Lease{Epoch: uint64(p.epoch), ExpiresMs: float64(p.left)}}
	if p.holder > 0 {
		a.Controller, a.Incarnation = name(int(p.holder-1)), uint64(p.process)
	}
	if e.broken == WithoutIncarnation {
		process = 0
	}
	ok := what(&a, name(c), uint64(process))
	p.epoch, p.left, p.process, p.holder = uint8(a.Epoch), uint8(a.ExpiresMs), uint8(a.Incarnation), 0
	if a.Controller != "" {
		p.holder = int8(a.Controller[0]-'A') + 1
	} else {
		p.left = 0
	}
	return ok
}

func (e *explorer) expand(s state) {
	e.tick(s)
	for c := range 2 {
		if s.c[c].process < e.b.Restarts {
			n := s
			n.c[c].process++
			if e.broken == WithoutIncarnation {
				n.c[c].used = 0
			}
			for p := range e.b.Proxies {
				n.w[c][p].own, n.w[c][p].ownLeft = 0, 0
			}
			e.add(n, s, "%s restarts", name(c))
		}
		for p := range e.b.Proxies {
			e.act(s, c, p)
			e.deliver(s, c, p)
		}
	}
}

// tick lets time pass for all; a controller's clock may stand still now and then.
func (e *explorer) tick(s state) {
	for still := range 4 { // bit c: the clock of controller c stands still
		n, may := s, true
		for p := range e.b.Proxies {
			if n.p[p].left > 0 {
				if n.p[p].left--; n.p[p].left == 0 {
					n.p[p].holder, n.p[p].process = 0, 0
				}
			}
		}
		for c := range 2 {
			stands := still&(1<<c) != 0
			if stands && n.c[c].still > 0 {
				may = false
			}
			if stands {
				n.c[c].still = leaseState
				continue
			}
			n.c[c].still -= min(n.c[c].still, 1)
			for p := range e.b.Proxies {
				w := &n.w[c][p]
				w.ownLeft -= min(w.ownLeft, 1)
				if w.ownLeft == 0 {
					w.own = 0
				}
				if w.claim > 0 {
					w.claimAge = min(w.claimAge+1, leaseState)
				}
				if w.answer > 0 {
					w.answerAge = min(w.answerAge+1, leaseState)
				}
			}
		}
		if may {
			e.add(n, s, "a tick passes%s", []string{"", ", not for A", ", not for B", ", for proxies only"}[still])
		}
	}
}

// act is what a running controller may do about a proxy: claim, renew or order.
func (e *explorer) act(s state, c, p int) {
	w := s.w[c][p]
	if w.claim == 0 && w.answer == 0 {
		n := s
		x := &n.w[c][p]
		x.claimProcess, x.claimAge = n.c[c].process, 0
		if w.ownLeft > 0 {
			x.claim = w.own
			e.add(n, s, "%s asks proxy %d to renew epoch %d", name(c), p, x.claim)
		} else if x.claim = e.fresh(n.c[c].used, n.p[p].epoch); x.claim <= e.b.Epochs {
			n.c[c].used = x.claim
			e.add(n, s, "%s claims proxy %d under epoch %d", name(c), p, x.claim)
		}
	}
	if w.ownLeft > 0 && w.order == 0 {
		n := s
		n.w[c][p].order, n.w[c][p].orderProcess = w.own, n.c[c].process
		e.add(n, s, "%s decides an order for proxy %d under epoch %d", name(c), p, w.own)
	}
}

// fresh is the epoch of a new claim: above all that this controller used and the proxy granted.
func (e *explorer) fresh(used, granted uint8) uint8 {
	if e.broken == WithoutIncarnation {
		return used + 1
	}
	return max(used, granted) + 1
}

// deliver lets one message arrive, or be lost.
func (e *explorer) deliver(s state, c, p int) {
	w := s.w[c][p]
	if w.claim > 0 {
		n := s
		x := &n.w[c][p]
		granted := e.judge(&n.p[p], c, w.claimProcess, w.claim, func(a *lease.Grantor, who string, process uint64) bool {
			return a.Grant(who, process, uint64(w.claim), leaseState)
		})
		x.claim, x.claimProcess, x.claimAge = 0, 0, 0
		if granted {
			x.answer, x.answerProcess, x.answerAge = w.claim, w.claimProcess, w.claimAge
		}
		e.add(n, s, "proxy %d %s %s epoch %d", p, map[bool]string{true: "grants", false: "denies"}[granted], name(c), w.claim)
		if e.b.Losses {
			n = s
			x = &n.w[c][p]
			x.claim, x.claimProcess, x.claimAge = 0, 0, 0
			e.add(n, s, "a claim of %s on proxy %d is lost", name(c), p)
		}
	}
	if w.answer > 0 {
		n := s
		x := &n.w[c][p]
		x.answer, x.answerProcess, x.answerAge = 0, 0, 0
		if w.answerProcess == n.c[c].process {
			left := uint8(belief)
			if e.broken == WithoutClockRateBound {
				left = leaseState
			}
			if e.broken != LeaseFromAnswer {
				left -= min(left, w.answerAge)
			}
			if x.own != w.answer {
				x.ownLeft = 0
			}
			if x.ownLeft = max(x.ownLeft, left); x.ownLeft > 0 {
				x.own = w.answer
			}
		}
		e.add(n, s, "%s hears that proxy %d granted epoch %d, asked for %d ticks ago", name(c), p, w.answer, w.answerAge)
	}
	if w.order > 0 {
		n := s
		n.w[c][p].order, n.w[c][p].orderProcess = 0, 0
		copied := s.p[p]
		obeyed := e.broken == WithoutFencing || e.judge(&copied, c, w.orderProcess, w.order, func(a *lease.Grantor, who string, process uint64) bool {
			return a.Accepts(who, process, uint64(w.order))
		})
		what := fmt.Sprintf("proxy %d obeys an order of %s under epoch %d", p, name(c), w.order)
		if !obeyed {
			what = strings.Replace(what, "obeys", "refuses", 1)
		}
		if obeyed && (w.order != s.p[p].epoch || int(s.p[p].holder) != c+1 || w.orderProcess != s.c[c].process && s.w[c][p].own == w.order) && e.wrong == "" {
			e.wrong, e.last, e.end = "an order that is past was obeyed", s, what
			return
		}
		e.add(n, s, "%s", what)
	}
}
