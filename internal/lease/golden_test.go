package lease_test

import (
	"fmt"
	"math/rand"
	"testing"

	"lichenpick/internal/golden"
	"lichenpick/internal/lease"
)

const (
	stepMs           = 5.0
	runMs            = 40_000.0
	faultsEndMs      = 32_000.0 // end of the random faults
	digestIntervalMs = 1000.0   // time that each digest in the golden file covers
	seed             = 20261202
	plannerCount     = 3
	proxyCount       = 15
	disconnectChance = 0.02 // probability per step that one random stream ends
	dialChance       = 0.05 // probability per step that a missing stream is dialed
	pauseMs          = 1500 // duration of a planner's pause
)

// simulation runs three planners that share fifteen proxies, in simulated time, with random faults from a fixed seed.
// Messages of a planner reach their proxy at once; a planner handles the messages of a proxy when it next decides.
type simulation struct {
	digest   *golden.Digest
	random   *rand.Rand
	nowMs    float64
	planners []*simulatedPlanner
	proxies  []*simulatedProxy
}

type simulatedPlanner struct {
	simulation  *simulation
	name        string
	incarnation uint64
	manager     *lease.Manager
	reserved    uint64 // highest epoch reserved in the planner's store
	diskFull    bool
	open        bool
	resumeMs    float64  // time until which the planner is paused
	inbox       []func() // messages that the planner has not handled yet
}

type simulatedProxy struct {
	name      string
	grantor   lease.Grantor
	connected map[string]bool // whether the proxy has a stream to a planner, by planner
}

func newSimulation() *simulation {
	s := &simulation{digest: golden.NewDigest("leases", digestIntervalMs), random: rand.New(rand.NewSource(seed))}
	for number := range plannerCount {
		planner := &simulatedPlanner{simulation: s, name: fmt.Sprint("planner-", number), open: true}
		planner.start()
		s.planners = append(s.planners, planner)
	}
	for number := range proxyCount {
		s.proxies = append(s.proxies, &simulatedProxy{name: fmt.Sprint("edge-", number), connected: map[string]bool{}})
	}
	return s
}

// start begins a new incarnation of the planner, which keeps only the content of its store.
func (p *simulatedPlanner) start() {
	p.incarnation++
	p.inbox, p.open, p.resumeMs = nil, true, 0
	p.manager = lease.NewManager(p.name, p.incarnation, p.reserved, p.simulation.nowMs)
}

// log adds an event to the digest. The golden file depends on the wording of the events, so the wording must not change.
func (p *simulatedPlanner) log(format string, args ...any) {
	p.simulation.digest.Add(p.simulation.nowMs, p.name+" "+format, args...)
}

func (p *simulatedPlanner) RequestLease(proxyName string, nonce, epoch uint64, leaseMs float64) {
	p.log("claims %s nonce %d epoch %d for %g ms", proxyName, nonce, epoch, leaseMs)
	proxy := p.simulation.proxyNamed(proxyName)
	if !proxy.connected[p.name] {
		return
	}
	before := proxy.grantor.Controller
	granted := proxy.grantor.Grant(p.name, p.incarnation, epoch, leaseMs)
	p.log("is granted %s: %t", proxyName, granted)
	view := p.simulation.viewOf(proxy)
	p.inbox = append(p.inbox, func() { p.manager.HandleAnswer(proxyName, nonce, granted, view) })
	if proxy.grantor.Controller != before {
		p.simulation.broadcast(proxy)
	}
}

func (p *simulatedPlanner) ReleaseLease(proxyName string, epoch uint64) {
	p.log("releases %s epoch %d", proxyName, epoch)
	proxy := p.simulation.proxyNamed(proxyName)
	if proxy.connected[p.name] && proxy.grantor.Release(p.name, p.incarnation, epoch) {
		p.simulation.broadcast(proxy)
	}
}

func (p *simulatedPlanner) StartCommand(proxyName string, epoch uint64) {
	p.log("commands %s epoch %d", proxyName, epoch)
}

func (p *simulatedPlanner) StopCommand(proxyName string) { p.log("yields %s", proxyName) }

func (p *simulatedPlanner) SetTimer(atMs float64) { p.log("wakes at %g", atMs) }

func (p *simulatedPlanner) ReserveEpochs(upTo uint64) {
	p.log("reserves %d, disk full %t", upTo, p.diskFull)
	if p.diskFull {
		p.manager.ReservationFailed()
		return
	}
	p.reserved = upTo
	p.manager.EpochsReserved(upTo)
}

func (p *simulatedPlanner) SetAcceptsLeases(open bool) {
	p.log("is open: %t", open)
	p.open = open
	for _, proxy := range p.simulation.proxies {
		p.simulation.broadcast(proxy)
	}
}

func (s *simulation) proxyNamed(name string) *simulatedProxy {
	for _, proxy := range s.proxies {
		if proxy.name == name {
			return proxy
		}
	}
	panic("no proxy " + name)
}

func (s *simulation) viewOf(proxy *simulatedProxy) lease.ProxyView {
	view := lease.ProxyView{
		Epoch:             proxy.grantor.Epoch,
		Controller:        proxy.grantor.Controller,
		Incarnation:       proxy.grantor.Incarnation,
		RemainingMs:       proxy.grantor.RemainingMs(),
		DialedControllers: plannerCount,
	}
	for _, planner := range s.planners {
		if proxy.connected[planner.name] && planner.open {
			view.Reachable = append(view.Reachable, planner.name)
		}
	}
	return view
}

// broadcast sends a proxy's view to all planners that the proxy is connected to.
func (s *simulation) broadcast(proxy *simulatedProxy) {
	view := s.viewOf(proxy)
	for _, planner := range s.planners {
		if proxy.connected[planner.name] {
			planner.inbox = append(planner.inbox, func() { planner.manager.UpdateLease(proxy.name, view) })
		}
	}
}

func (s *simulation) connect(proxy *simulatedProxy, planner *simulatedPlanner) {
	proxy.connected[planner.name] = true
	view := s.viewOf(proxy)
	planner.inbox = append(planner.inbox, func() { planner.manager.AddProxy(proxy.name, view) })
	s.broadcast(proxy)
}

func (s *simulation) disconnect(proxy *simulatedProxy, planner *simulatedPlanner) {
	if !proxy.connected[planner.name] {
		return
	}
	proxy.connected[planner.name] = false
	planner.inbox = append(planner.inbox, func() { planner.manager.RemoveProxy(proxy.name) })
	s.broadcast(proxy)
}

// restart ends a planner and all its streams, and starts it again.
func (s *simulation) restart(planner *simulatedPlanner) {
	for _, proxy := range s.proxies {
		s.disconnect(proxy, planner)
	}
	planner.start()
}

// scheduledFaults starts and ends the faults that are due at the current time.
func (s *simulation) scheduledFaults() {
	switch s.nowMs {
	case 6000:
		s.planners[0].resumeMs = s.nowMs + pauseMs
	case 9000:
		s.restart(s.planners[1])
	case 14000:
		s.planners[2].manager.SetDraining(true)
	case 19000:
		s.planners[2].manager.SetDraining(false)
	case 22000:
		s.planners[0].diskFull = true
	case 23000:
		s.restart(s.planners[0])
	case 26000:
		s.planners[0].diskFull = false
	case 28000:
		s.planners[1].resumeMs = s.nowMs + 3*pauseMs
	case 29000:
		s.proxies[3].grantor.Epoch += 5_000_000 // an epoch above any that a planner has reserved
	}
}

func (s *simulation) randomFaults() {
	if s.random.Float64() < disconnectChance {
		proxy := s.proxies[s.random.Intn(proxyCount)]
		s.disconnect(proxy, s.planners[s.random.Intn(plannerCount)])
	}
}

func (s *simulation) advance() {
	s.nowMs += stepMs
	s.scheduledFaults()
	if s.nowMs < faultsEndMs {
		s.randomFaults()
	}
	for _, proxy := range s.proxies {
		if proxy.grantor.SetTime(s.nowMs) {
			s.digest.Add(s.nowMs, "lease of %s expires", proxy.name)
			s.broadcast(proxy)
		}
		for _, planner := range s.planners {
			if !proxy.connected[planner.name] && s.random.Float64() < dialChance {
				s.connect(proxy, planner)
			}
		}
	}
	for _, planner := range s.planners {
		if s.nowMs >= planner.resumeMs {
			planner.decide()
		}
	}
}

func (p *simulatedPlanner) decide() {
	inbox := p.inbox
	p.inbox = nil
	p.manager.SetTime(p.simulation.nowMs)
	for _, message := range inbox {
		message()
	}
	for p.manager.Next(p) {
	}
	for _, proxy := range p.simulation.proxies {
		if epoch, ok := p.manager.HoldsLease(proxy.name); ok {
			obeyed := proxy.grantor.Accepts(p.name, p.incarnation, epoch)
			p.log("may order %s under %d, obeyed %t", proxy.name, epoch, obeyed)
		}
	}
}

// TestGoldenLeases compares every decision of lease managers and grantors with the golden file, in a run with pauses,
// restarts, a drain, broken streams and a full disk.
func TestGoldenLeases(t *testing.T) {
	s := newSimulation()
	for s.nowMs < runMs {
		s.advance()
	}
	for _, planner := range s.planners {
		manager := planner.manager
		held, all := manager.CountHeld()
		s.digest.Add(s.nowMs, "%s holds %d of %d, takeovers %d, handed over %d, expired %d, refused %d", planner.name, held, all,
			manager.Takeovers, manager.Transferred, manager.Expired, manager.Rejections)
	}
	golden.Check(t, "testdata/leases.golden.txt", s.digest.Finish(runMs))
	for _, proxy := range s.proxies {
		if proxy.grantor.Controller == "" {
			t.Errorf("%s has no lease holder at the end", proxy.name)
		}
	}
	for _, planner := range s.planners {
		if held, _ := planner.manager.CountHeld(); held == 0 {
			t.Errorf("%s holds no proxy at the end", planner.name)
		}
	}
}
