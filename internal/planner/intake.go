package planner

import "math"

// intake merges sums per server and zone, and usage per proxy and group, and lets a stated number of lines a second
// through to the module, oldest first; what waits is added up. A line of some server is in it once at most.
type intake struct {
	everyMs float64
	perS    float64
	most    int // lines that wait

	opened  float64 // start of the period that is being filled
	filling map[any]*tally
	news    []*tally // of filling, in order of coming
	waiting []*tally // oldest first
	queued  map[any]*tally
	tokens  float64
	at      float64
	dropped int // lines shed, in all
}

// tally is one line to be.
type tally struct {
	key           any
	count, failed int
	latency       float64 // summed over the good ones, ms
	covers        float64 // ms
}

type serverKey struct {
	server string
	zone   int
}

type usageKey struct {
	proxy *peer
	group int
}

func newIntake(everyMs, perS float64, most int, now float64) *intake {
	return &intake{everyMs: everyMs, perS: perS, most: most, opened: now, at: now,
		filling: map[any]*tally{}, queued: map[any]*tally{}}
}

func (in *intake) add(key any, count, failed int, latency float64) {
	t := in.filling[key]
	if t == nil {
		t = &tally{key: key}
		in.filling[key], in.news = t, append(in.news, t)
	}
	t.count, t.failed, t.latency = t.count+count, t.failed+failed, t.latency+latency*float64(count-failed)
}

// tick closes periods and counts what may pass.
func (in *intake) tick(now float64) {
	in.tokens = math.Min(in.tokens+(now-in.at)/1000*in.perS, math.Max(in.perS/5, 1)) // a fifth of a second at once
	in.at = now
	if now-in.opened < in.everyMs {
		return
	}
	covers := now - in.opened
	in.opened = now
	for _, t := range in.waiting { // what waits covers the new period too, also if nothing came
		t.covers += covers
	}
	for _, t := range in.news {
		if q := in.queued[t.key]; q != nil {
			q.count, q.failed, q.latency = q.count+t.count, q.failed+t.failed, q.latency+t.latency
			continue
		}
		if len(in.waiting) >= in.most { // the newest is kept; the module hears the longer cover of what follows
			delete(in.queued, in.waiting[0].key)
			in.waiting, in.dropped = in.waiting[1:], in.dropped+1
		}
		t.covers = covers
		in.queued[t.key], in.waiting = t, append(in.waiting, t)
	}
	clear(in.filling)
	in.news = in.news[:0]
}

// next gives the oldest line, if one may pass.
func (in *intake) next() *tally {
	if len(in.waiting) == 0 || in.tokens < 1 {
		return nil
	}
	t := in.waiting[0]
	in.waiting, in.tokens = in.waiting[1:], in.tokens-1
	delete(in.queued, t.key)
	return t
}

// due is when the next line may pass, in ms.
func (in *intake) due() float64 {
	switch {
	case len(in.waiting) > 0:
		return in.at + math.Max(1-in.tokens, 0)/in.perS*1000
	case len(in.news) > 0:
		return in.opened + in.everyMs
	}
	return math.Inf(1)
}

// forget drops what waits of a proxy that left.
func (in *intake) forget(p *peer, groups int) {
	for g := range groups {
		key := usageKey{p, g}
		delete(in.filling, key)
		if t := in.queued[key]; t != nil {
			delete(in.queued, key)
		}
	}
	in.news = without(in.news, p)
	in.waiting = without(in.waiting, p)
}

func without(list []*tally, p *peer) []*tally {
	kept := list[:0]
	for _, t := range list {
		if k, ok := t.key.(usageKey); !ok || k.proxy != p {
			kept = append(kept, t)
		}
	}
	return kept
}
