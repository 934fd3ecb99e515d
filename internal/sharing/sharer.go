package sharing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is a proxy's last word, as a controller heard it.
type View struct {
	Epoch       uint64
	Controller  string // empty: free
	Incarnation uint64
	LeftMs      float64
	Reachable   []string
}

// Host carries out a controller's decisions. Each method is one decision.
type Host interface {
	Claim(proxy string, nonce, epoch uint64, leaseMs float64)
	Release(proxy string, epoch uint64)
	Command(proxy string, epoch uint64) // it is ours from now on
	Yield(proxy string)                 // and no longer
	Reserve(upTo uint64)                // write down that epochs up to here may be used; answer by Reserved or NotReserved
	Stand(open bool)                    // tell all proxies whether this controller is open to claims
	Wake(at float64)
}

// holding is a proxy as a controller knows it.
type holding struct {
	name      string
	view      View
	seen      float64 // when the view came
	freeSince float64 // since when it has been free by that; infinite: it is not
	asks      []ask   // claims not answered yet, oldest first
	epoch     uint64  // under which it is ours; 0: it is not
	until     float64 // believed ours until then
	commanded bool
	better    float64 // since when a better placed controller has been reachable; infinite: none is
	back      int     // times that it was handed over and came back, as the other did not claim it
	handedAt  float64 // when it was last handed over
	rank      int     // ours among the controllers that the proxy can reach
	first     string  // the best placed
}

// ask is a claim under way.
type ask struct {
	nonce, epoch uint64
	at           float64
}

// mostAsks bounds the claims under way to one proxy; older ones can no longer be of use.
const mostAsks = 8

// lastAsked is when the last claim went out; long ago if none is under way.
func (h *holding) lastAsked() float64 {
	if len(h.asks) == 0 {
		return math.Inf(-1)
	}
	return h.asks[len(h.asks)-1].at
}

// Sharer is one controller's part in sharing a fleet.
type Sharer struct {
	name        string
	incarnation uint64
	now         float64
	proxies     map[string]*holding
	order       []*holding // by name, so that the same inputs give the same decisions
	nonce       uint64
	used        uint64 // the highest epoch asked for
	reserved    uint64 // the highest that is written down
	reserving   bool
	retryAt     float64 // of a write that failed
	unable      bool    // the last write failed: nothing new can be claimed
	draining    bool
	told        bool // whether proxies know of draining
	handed      float64
	at          int // where the last look at proxies ended
	wokenAt     float64

	Takeovers, Handed, Expired, Refusals int // counts since the start
}

// NewSharer starts a controller that may use epochs above what its store says was reserved, once it has reserved more.
func NewSharer(name string, incarnation, reserved uint64, now float64) *Sharer {
	return &Sharer{name: name, incarnation: incarnation, now: now, proxies: map[string]*holding{}, used: reserved, reserved: reserved,
		told: true, handed: math.Inf(-1), retryAt: math.Inf(-1)}
}

// Tick tells the time, in ms of a clock that never jumps.
func (s *Sharer) Tick(now float64) { s.now = now }

// Joined takes in a proxy's new stream, with its word. What was believed of an older stream is void.
func (s *Sharer) Joined(proxy string, v View) {
	s.Lost(proxy)
	h := &holding{name: proxy, better: math.Inf(1), freeSince: math.Inf(1), handedAt: math.Inf(-1)}
	s.proxies[proxy] = h
	at, _ := slices.BinarySearchFunc(s.order, h, func(a, b *holding) int { return cmp.Compare(a.name, b.name) })
	s.order = slices.Insert(s.order, at, h)
	s.hear(h, v)
}

// Lost takes in that the stream of a proxy ended. It is ours no longer: no order can reach it any more.
func (s *Sharer) Lost(proxy string) {
	if h := s.proxies[proxy]; h != nil {
		delete(s.proxies, proxy)
		s.order = slices.DeleteFunc(s.order, func(x *holding) bool { return x == h })
	}
}

// Heard takes in a proxy's word, unasked.
func (s *Sharer) Heard(proxy string, v View) {
	if h := s.proxies[proxy]; h != nil {
		s.hear(h, v)
	}
}

// Answered takes in a proxy's word on a claim. A late answer to an older claim says nothing about what was granted.
func (s *Sharer) Answered(proxy string, nonce uint64, granted bool, v View) {
	h := s.proxies[proxy]
	if h == nil {
		return
	}
	s.hear(h, v)
	at := slices.IndexFunc(h.asks, func(a ask) bool { return a.nonce == nonce })
	if at < 0 {
		return
	}
	asked := h.asks[at]
	h.asks = slices.Delete(h.asks, 0, at+1) // answers come in order
	if !granted {
		s.Refusals++
		if asked.epoch == h.epoch {
			h.until = math.Inf(-1)
		}
		return
	}
	if h.epoch != asked.epoch {
		s.Takeovers++
		// One better placed that let it lie free is not well, whatever it looks like: it must settle again, for longer each
		// time that a proxy comes back. Guards against a controller that is paused with its streams up.
		if h.better = math.Max(h.better, s.now); math.IsInf(h.better, 1) {
			h.back = 0
		} else if s.now-h.handedAt < settledMs {
			h.back = min(h.back+1, mostBack)
		}
		h.epoch, h.until, h.commanded = asked.epoch, math.Inf(-1), false
	}
	h.until = max(h.until, heldUntil(asked.at, LeaseMs))
}

// Refused takes in that a proxy did not obey, as it has granted another epoch.
func (s *Sharer) Refused(proxy string) {
	if h := s.proxies[proxy]; h != nil && h.epoch > 0 {
		s.Refusals++
		h.until = math.Inf(-1)
	}
}

// Reserved takes in that the store holds a mark; NotReserved that it could not be written.
func (s *Sharer) Reserved(upTo uint64) {
	s.told = s.told && !s.unable
	s.reserved, s.reserving, s.unable = max(s.reserved, upTo), false, false
}

// NotReserved is followed by another attempt a while later. Until one succeeds nothing new is claimed, what is held is
// kept, and proxies are told that this controller is not open: others would hand it proxies that it cannot take.
func (s *Sharer) NotReserved() {
	s.told = s.told && s.unable
	s.reserving, s.unable, s.retryAt = false, true, s.now+answerMs
}

// Drain makes the controller hand over all that it holds, and claim nothing; or ends that.
func (s *Sharer) Drain(on bool) { s.told, s.draining = s.told && s.draining == on, on }

func (s *Sharer) hear(h *holding, v View) {
	h.view, h.seen = v, s.now
	if v.Controller == "" {
		if math.IsInf(h.freeSince, 1) {
			h.freeSince = s.now
		}
	} else {
		h.freeSince = math.Inf(1)
	}
	h.rank, h.first = s.place(h)
	if h.first == s.name || h.first == "" {
		h.better = math.Inf(1)
	} else {
		h.better = math.Min(h.better, s.now)
	}
}

// place ranks the controllers that a proxy can reach, by rendezvous hashing: all that hear the same word rank the same, and
// one that comes or goes moves its own share only.
func (s *Sharer) place(h *holding) (rank int, first string) {
	best, own := uint64(0), weight(s.name, h.name)
	for _, c := range h.view.Reachable {
		w := weight(c, h.name)
		if first == "" || w > best {
			best, first = w, c
		}
		if c != s.name && w > own {
			rank++
		}
	}
	return rank, first
}

func weight(controller, proxy string) uint64 { return xxhash.Sum64String(controller + "\x00" + proxy) }

// ours says whether a proxy is believed to be ours now.
func (s *Sharer) ours(h *holding) bool { return h.epoch > 0 && s.now < h.until }

// Commands says whether orders may be sent to a proxy now, and under which epoch. It is to be asked right before each.
func (s *Sharer) Commands(proxy string) (epoch uint64, ok bool) {
	h := s.proxies[proxy]
	if h == nil || !h.commanded || !s.ours(h) {
		return 0, false
	}
	return h.epoch, true
}

// Open says whether this controller takes proxies.
func (s *Sharer) Open() bool { return !s.draining && !s.unable }

// Held counts the proxies that are believed to be ours, and all that have a stream.
func (s *Sharer) Held() (ours, all int) {
	for _, h := range s.order {
		if s.ours(h) {
			ours++
		}
	}
	return ours, len(s.order)
}

// Next carries out at most one decision, and says whether it did. What is no longer ours goes first.
func (s *Sharer) Next(h Host) bool {
	if !s.told {
		s.told = true
		h.Stand(s.Open())
		return true
	}
	if s.unable && s.reserve(s.used+1, h) {
		return true
	}
	for range s.order {
		if s.at++; s.at >= len(s.order) {
			s.at = 0
		}
		if s.one(s.order[s.at], h) {
			return true
		}
	}
	if due := s.due(); due != s.wokenAt {
		s.wokenAt = due
		h.Wake(due)
		return true
	}
	return false
}

func (s *Sharer) one(x *holding, h Host) bool {
	switch {
	case x.epoch > 0 && !s.ours(x):
		x.epoch, x.asks = 0, nil
		s.Expired++
		if x.commanded {
			x.commanded = false
			h.Yield(x.name)
			return true
		}
	case x.epoch > 0 && !x.commanded:
		x.commanded = true
		h.Command(x.name, x.epoch)
		return true
	case x.epoch > 0 && s.mayHand(x):
		return s.hand(x, h)
	case x.epoch > 0 && s.now >= s.renewAt(x):
		s.ask(x, x.epoch, h)
		return true
	}
	if x.epoch > 0 || s.draining || !s.mayClaim(x) {
		return false
	}
	epoch := max(s.used, x.view.Epoch) + 1
	if epoch > s.reserved {
		return s.reserve(epoch, h)
	}
	s.used = epoch
	s.ask(x, epoch, h)
	return true
}

// reserve has more epochs written down, if that is not under way.
func (s *Sharer) reserve(epoch uint64, h Host) bool {
	if s.reserving || s.now < s.retryAt {
		return false
	}
	s.reserving = true
	h.Reserve(epoch + reserveAhead)
	return true
}

func (s *Sharer) ask(x *holding, epoch uint64, h Host) {
	s.nonce++
	if len(x.asks) >= mostAsks {
		x.asks = slices.Delete(x.asks, 0, 1)
	}
	x.asks = append(x.asks, ask{s.nonce, epoch, s.now})
	h.Claim(x.name, s.nonce, epoch, LeaseMs)
}

// renewAt is when a lease is to be asked for again: a while after it was last asked for, answered or not.
func (s *Sharer) renewAt(x *holding) float64 {
	return renewMs + max(x.lastAsked(), x.until-(heldUntil(0, LeaseMs)))
}

// mayClaim says whether a proxy is free, or its lease over by its own word, and our turn has come.
func (s *Sharer) mayClaim(x *holding) bool {
	if s.now-x.lastAsked() < answerMs {
		return false
	}
	mine := x.view.Controller == s.name && x.view.Incarnation == s.incarnation // by an older stream
	free := math.Min(x.freeSince, x.seen+x.view.LeftMs*(1+rateBound)+marginMs)
	return mine || s.now >= free+staggerMs*float64(x.rank)
}

// mayHand says whether a proxy should go to a better placed controller: one that has been reachable for a while, at a pace.
func (s *Sharer) mayHand(x *holding) bool {
	paced := s.now-s.handed >= 1000/handPerS
	return paced && (s.draining && len(x.view.Reachable) > 0 || s.now-x.better >= settledMs*math.Exp2(float64(x.back)))
}

func (s *Sharer) hand(x *holding, h Host) bool {
	epoch := x.epoch
	x.handedAt = s.now
	s.handed, x.epoch, x.until, x.asks = s.now, 0, math.Inf(-1), nil
	x.freeSince = s.now + answerMs // another is to come first
	x.view.Controller, x.view.LeftMs, x.seen = "", 0, s.now
	s.Handed++
	if x.commanded {
		x.commanded = false
		h.Yield(x.name)
	}
	h.Release(x.name, epoch)
	return true
}

// due is when the next decision may be due, in ms.
func (s *Sharer) due() float64 {
	due := s.now + renewMs
	for _, x := range s.order {
		switch {
		case x.epoch > 0:
			due = min(due, x.until, s.renewAt(x))
		case !s.draining:
			due = min(due, max(math.Min(x.freeSince, x.seen+x.view.LeftMs*(1+rateBound)+marginMs)+staggerMs*float64(x.rank), s.now+staggerMs/4))
		}
	}
	return max(due, s.now+1)
}
