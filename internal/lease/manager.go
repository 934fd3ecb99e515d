package lease

import (
	"container/heap"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ProxyView is a proxy's last word, as a controller heard it.
type ProxyView struct {
	Epoch             uint64
	Controller        string // empty: free
	Incarnation       uint64
	RemainingMs       float64
	Reachable         []string
	DialedControllers int // that it dials
}

// Host carries out a controller's decisions. Each method is one decision.
type Host interface {
	RequestLease(proxy string, nonce, epoch uint64, leaseMs float64)
	ReleaseLease(proxy string, epoch uint64)
	StartCommand(proxy string, epoch uint64) // it is ours from now on
	StopCommand(proxy string)                // and no longer
	ReserveEpochs(upTo uint64)               // write down that epochs up to here may be used; answer by EpochsReserved or ReservationFailed
	SetOpen(open bool)                       // tell all proxies whether this controller is open to claims
	SetTimer(at float64)
}

// holding is a proxy as a controller knows it.
type holding struct {
	name      string
	view      ProxyView
	seen      float64        // when the view came
	joined    float64        // when its stream came up
	placed    float64        // since when the same controllers have been reachable
	freeSince float64        // since when it has been free by that; infinite: it is not
	asks      []leaseRequest // claims not answered yet, oldest first
	epoch     uint64         // under which it is ours; 0: it is not
	until     float64        // believed ours until then
	commanded bool
	better    float64 // since when a better placed controller has been reachable; infinite: none is
	back      int     // times that it was handed over and came back, as the other did not claim it
	handedAt  float64 // when it was last handed over
	rank      int     // ours among the controllers that the proxy can reach
	first     string  // the best placed
	due       float64 // when it is to be looked at next
	at        int     // in the queue
}

// queue has what is due first on top, and by name what is due together, so that the same inputs give the same decisions.
type queue []*holding

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].due < q[b].due || q[a].due == q[b].due && q[a].name < q[b].name
}
func (q queue) Swap(a, b int) { q[a], q[b], q[a].at, q[b].at = q[b], q[a], b, a }
func (q *queue) Push(x any) {
	x.(*holding).at = len(*q)
	*q = append(*q, x.(*holding))
}

func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// leaseRequest is a claim under way.
type leaseRequest struct {
	nonce, epoch uint64
	at           float64
}

// maxRequests bounds the claims under way to one proxy; older ones can no longer be of use.
const maxRequests = 8

// lastAsked is when the last claim went out; long ago if none is under way.
func (h *holding) lastAsked() float64 {
	if len(h.asks) == 0 {
		return math.Inf(-1)
	}
	return h.asks[len(h.asks)-1].at
}

// Manager is one controller's part in sharing a fleet.
type Manager struct {
	name        string
	incarnation uint64
	now         float64
	proxies     map[string]*holding
	queue       queue
	nonce       uint64
	used        uint64 // the highest epoch asked for
	reserved    uint64 // the highest that is written down
	reserving   bool
	retryAt     float64 // of a write that failed
	unable      bool    // the last write failed: nothing new can be claimed
	draining    bool
	told        bool // whether proxies know of draining
	transferred float64
	wokenAt     float64

	Takeovers, Transferred, Expired, Rejections int // counts since the start
}

// NewManager starts a controller that may use epochs above what its store says was reserved, once it has reserved more.
func NewManager(name string, incarnation, reserved uint64, now float64) *Manager {
	return &Manager{
		name: name, incarnation: incarnation, now: now, proxies: map[string]*holding{}, used: reserved, reserved: reserved,
		told: true, transferred: math.Inf(-1), retryAt: math.Inf(-1),
	}
}

// SetTime tells the time, in ms of a clock that never jumps.
func (s *Manager) SetTime(now float64) { s.now = now }

// AddProxy takes in a proxy's new stream, with its word. What was believed of an older stream is void.
func (s *Manager) AddProxy(proxy string, v ProxyView) {
	s.RemoveProxy(proxy)
	h := &holding{name: proxy, better: math.Inf(1), freeSince: math.Inf(1), handedAt: math.Inf(-1), joined: s.now}
	s.proxies[proxy] = h
	heap.Push(&s.queue, h)
	s.hear(h, v)
}

// RemoveProxy takes in that the stream of a proxy ended. It is ours no longer: no order can reach it any more.
func (s *Manager) RemoveProxy(proxy string) {
	if h := s.proxies[proxy]; h != nil {
		delete(s.proxies, proxy)
		heap.Remove(&s.queue, h.at)
	}
}

// UpdateLease takes in a proxy's word, unasked.
func (s *Manager) UpdateLease(proxy string, v ProxyView) {
	if h := s.proxies[proxy]; h != nil {
		s.hear(h, v)
	}
}

// HandleAnswer takes in a proxy's word on a claim. A late answer to an older claim says nothing about what was granted.
func (s *Manager) HandleAnswer(proxy string, nonce uint64, granted bool, v ProxyView) {
	h := s.proxies[proxy]
	if h == nil {
		return
	}
	s.hear(h, v)
	defer s.plan(h)
	at := slices.IndexFunc(h.asks, func(a leaseRequest) bool { return a.nonce == nonce })
	if at < 0 {
		return
	}
	asked := h.asks[at]
	h.asks = slices.Delete(h.asks, 0, at+1) // answers come in order
	if !granted {
		s.Rejections++
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
	h.until = max(h.until, heldUntil(asked.at, DurationMs))
}

// OrdersRejected takes in that a proxy did not obey, as it has granted another epoch.
func (s *Manager) OrdersRejected(proxy string) {
	if h := s.proxies[proxy]; h != nil && h.epoch > 0 {
		s.Rejections++
		h.until = math.Inf(-1)
		s.plan(h)
	}
}

// EpochsReserved takes in that the store holds a mark; ReservationFailed that it could not be written.
func (s *Manager) EpochsReserved(upTo uint64) {
	s.told = s.told && !s.unable
	s.reserved, s.reserving, s.unable = max(s.reserved, upTo), false, false
	s.planAll()
}

// ReservationFailed is followed by another attempt a while later. Until one succeeds nothing new is claimed, what is held is
// kept, and proxies are told that this controller is not open: others would hand it proxies that it cannot take.
func (s *Manager) ReservationFailed() {
	s.told = s.told && s.unable
	s.reserving, s.unable, s.retryAt = false, true, s.now+answerMs
	s.planAll()
}

// SetDraining makes the controller hand over all that it holds, and claim nothing; or ends that.
func (s *Manager) SetDraining(on bool) {
	s.told, s.draining = s.told && s.draining == on, on
	s.planAll()
}

func (s *Manager) hear(h *holding, v ProxyView) {
	if !slices.Equal(v.Reachable, h.view.Reachable) {
		h.placed = s.now
	}
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
	s.plan(h)
}

// place ranks the controllers that a proxy can reach, by rendezvous hashing: all that hear the same word rank the same, and
// one that comes or goes moves its own share only.
func (s *Manager) place(h *holding) (rank int, first string) {
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
func (s *Manager) ours(h *holding) bool { return h.epoch > 0 && s.now < h.until }

// HoldsLease says whether orders may be sent to a proxy now, and under which epoch. It is to be asked right before each.
func (s *Manager) HoldsLease(proxy string) (epoch uint64, ok bool) {
	h := s.proxies[proxy]
	if h == nil || !h.commanded || !s.ours(h) {
		return 0, false
	}
	return h.epoch, true
}

// Open says whether this controller takes proxies.
func (s *Manager) Open() bool { return !s.draining && !s.unable }

// CountHeld counts the proxies that are believed to be ours, and all that have a stream.
func (s *Manager) CountHeld() (ours, all int) {
	for _, h := range s.queue {
		if s.ours(h) {
			ours++
		}
	}
	return ours, len(s.queue)
}

// Next carries out at most one decision, and says whether it did; what has been due longest goes first.
func (s *Manager) Next(h Host) bool {
	if !s.told {
		s.told = true
		h.SetOpen(s.Open())
		return true
	}
	if s.unable && s.reserve(s.used+1, h) {
		return true
	}
	for len(s.queue) > 0 && s.queue[0].due <= s.now {
		x := s.queue[0]
		did := s.one(x, h)
		if s.plan(x); !did && x.due <= s.now { // it waits for something else than its time
			s.put(x, s.now+1)
		}
		if did {
			return true
		}
	}
	due := math.Inf(1)
	if len(s.queue) > 0 {
		due = s.queue[0].due
	}
	if s.unable {
		due = min(due, max(s.retryAt, s.now+1))
	}
	if due != s.wokenAt && !math.IsInf(due, 1) {
		s.wokenAt = due
		h.SetTimer(due)
		return true
	}
	return false
}

func (s *Manager) one(x *holding, h Host) bool {
	switch {
	case x.epoch > 0 && !s.ours(x):
		x.epoch, x.asks = 0, nil
		s.Expired++
		if x.commanded {
			x.commanded = false
			h.StopCommand(x.name)
			return true
		}
	case x.epoch > 0 && !x.commanded:
		x.commanded = true
		h.StartCommand(x.name, x.epoch)
		return true
	case x.epoch > 0 && s.now >= s.transferAt(x):
		return s.transfer(x, h)
	case x.epoch > 0 && s.now >= s.renewAt(x):
		s.requestLease(x, x.epoch, h)
		return true
	}
	if x.epoch > 0 || s.draining || s.now < s.requestAt(x) {
		return false
	}
	epoch := max(s.used, x.view.Epoch) + 1
	if epoch > s.reserved {
		return s.reserve(epoch, h)
	}
	s.used = epoch
	s.requestLease(x, epoch, h)
	return true
}

// reserve has more epochs written down, if that is not under way.
func (s *Manager) reserve(epoch uint64, h Host) bool {
	if s.reserving || s.now < s.retryAt {
		return false
	}
	s.reserving = true
	h.ReserveEpochs(epoch + reserveAhead)
	return true
}

func (s *Manager) requestLease(x *holding, epoch uint64, h Host) {
	s.nonce++
	if len(x.asks) >= maxRequests {
		x.asks = slices.Delete(x.asks, 0, 1)
	}
	x.asks = append(x.asks, leaseRequest{s.nonce, epoch, s.now})
	h.RequestLease(x.name, s.nonce, epoch, DurationMs)
}

// renewAt is when a lease is to be asked for again: a while after it was last asked for, answered or not.
func (s *Manager) renewAt(x *holding) float64 {
	return renewMs + max(x.lastAsked(), x.until-heldUntil(0, DurationMs))
}

// requestAt is when a proxy is free, or its lease over by its own word, and our turn has come.
func (s *Manager) requestAt(x *holding) float64 {
	at := x.lastAsked() + answerMs
	if x.view.Controller == s.name && x.view.Incarnation == s.incarnation { // by an older stream
		return at
	}
	free := math.Min(x.freeSince, x.seen+x.view.RemainingMs*(1+rateBound)+marginMs)
	if len(x.view.Reachable) < x.view.DialedControllers { // else each start would hand most proxies over a while later
		at = max(at, x.joined+gatherMs)
	}
	return max(at, max(free, x.placed)+staggerMs*float64(x.rank))
}

// transferAt is when a proxy should go to a better placed controller: one that has been reachable for a while, at a pace.
func (s *Manager) transferAt(x *holding) float64 {
	at := math.Inf(1)
	if !math.IsInf(x.better, 1) {
		at = x.better + settledMs*math.Exp2(float64(x.back))
	}
	if s.draining && len(x.view.Reachable) > 0 {
		at = s.now
	}
	return max(at, s.transferred+1000/transfersPerSecond)
}

func (s *Manager) transfer(x *holding, h Host) bool {
	epoch := x.epoch
	x.handedAt = s.now
	s.transferred, x.epoch, x.until, x.asks = s.now, 0, math.Inf(-1), nil
	x.freeSince = s.now + answerMs // another is to come first
	x.view.Controller, x.view.RemainingMs, x.seen = "", 0, s.now
	s.Transferred++
	if x.commanded {
		x.commanded = false
		h.StopCommand(x.name)
	}
	h.ReleaseLease(x.name, epoch)
	return true
}

// plan works out anew when a proxy is to be looked at; it is to be called whenever something is heard of it.
func (s *Manager) plan(x *holding) {
	due := math.Inf(1)
	switch {
	case x.epoch > 0 && (!x.commanded || !s.ours(x)):
		due = s.now
	case x.epoch > 0:
		due = min(x.until, s.renewAt(x), s.transferAt(x))
	case !s.draining:
		if due = s.requestAt(x); s.reserving {
			due = max(due, s.now+staggerMs/4)
		} else if s.unable {
			due = max(due, s.retryAt)
		}
	}
	s.put(x, due)
}

func (s *Manager) put(x *holding, due float64) {
	if x.due != due {
		x.due = due
		heap.Fix(&s.queue, x.at)
	}
}

func (s *Manager) planAll() {
	for _, x := range slices.Clone(s.queue) { // it moves meanwhile
		s.plan(x)
	}
}
