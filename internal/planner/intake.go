package planner

import "math"

// intake merges sums per server and zone, and usage per proxy and group, and lets a stated number of lines a second
// through to the module, oldest first; what waits is added up. A line of some server is in it once at most.
type intake struct {
	everyMs float64
	perS    float64
	most    int // lines that wait

	opened  float64  // start of the period that is being filled
	news    []*tally // with something in this period, in order of coming
	waiting []*tally // oldest first
	dead    int      // of these, those whose proxy left
	tokens  float64
	at      float64
	dropped int // lines shed, in all
}

// tally is a server's line for a zone, or a proxy's for a traffic group. Its owner keeps it, so that a sum costs no search and
// nothing new.
type tally struct {
	server string // none: it is of a proxy
	zone   int
	proxy  *peer
	group  int

	fresh, queued loadSample // of this period; of those before, as it waits
	covers        float64    // ms that the queued ones cover
	isNew, waits  bool
	gone          bool
}

type loadSample struct {
	count, failed int
	latency       float64 // summed over the good ones, ms
}

func (f *loadSample) add(g loadSample) {
	f.count, f.failed, f.latency = f.count+g.count, f.failed+g.failed, f.latency+g.latency
}

func newIntake(everyMs, perS float64, most int, now float64) *intake {
	return &intake{everyMs: everyMs, perS: perS, most: most, opened: now, at: now}
}

func (in *intake) add(t *tally, count, failed int, latency float64) {
	if !t.isNew {
		t.isNew, in.news = true, append(in.news, t)
	}
	t.fresh.add(loadSample{count, failed, latency * float64(count-failed)})
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
	in.bury()
	for _, t := range in.waiting { // what waits covers the new period too, also if nothing came
		t.covers += covers
	}
	for _, t := range in.news {
		if t.isNew = false; t.gone {
			continue
		}
		if !t.waits {
			if len(in.waiting) >= in.most { // the newest is kept; the module hears the longer cover of what follows
				old := in.waiting[0]
				old.queued, old.waits = loadSample{}, false
				in.waiting, in.dropped = in.waiting[1:], in.dropped+1
			}
			t.waits, t.covers, in.waiting = true, covers, append(in.waiting, t)
		}
		t.queued.add(t.fresh)
		t.fresh = loadSample{}
	}
	in.news = in.news[:0]
}

// next gives the oldest line, if one may pass. What it says is to be taken before anything is added.
func (in *intake) next() *tally {
	for len(in.waiting) > 0 && in.waiting[0].gone {
		in.waiting, in.dead = in.waiting[1:], in.dead-1
	}
	if len(in.waiting) == 0 || in.tokens < 1 {
		return nil
	}
	t := in.waiting[0]
	in.waiting, in.tokens, t.waits = in.waiting[1:], in.tokens-1, false
	return t
}

// take empties what waited.
func (t *tally) take() (f loadSample) {
	f, t.queued = t.queued, loadSample{}
	return f
}

// due is when the next line may pass, in ms.
func (in *intake) due() float64 {
	switch {
	case len(in.waiting) > in.dead:
		return in.at + math.Max(1-in.tokens, 0)/in.perS*1000
	case len(in.news) > 0:
		return in.opened + in.everyMs
	}
	return math.Inf(1)
}

// forget ends tallies whose owner is gone; they are left out when their turn comes.
func (in *intake) forget(tallies []*tally) {
	for _, t := range tallies {
		if t.gone = true; t.waits {
			in.dead++
		}
	}
}

// bury takes out those that are gone, once they are many.
func (in *intake) bury() {
	if in.dead == 0 {
		return
	}
	kept := in.waiting[:0]
	for _, t := range in.waiting {
		if !t.gone {
			kept = append(kept, t)
		}
	}
	in.waiting, in.dead = kept, 0
}
