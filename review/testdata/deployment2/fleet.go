package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the deployment. They are those of the pages' example of the settings, or lie in the ranges of a site.
const (
	reportEvery    = time.Second
	reportLate     = 500 * time.Millisecond // how late sums reach the planner
	slackMs        = 300                    // by which the protocol page lengthens the time limits
	settleAfter    = time.Second            // time limits begin no sooner after the planner first answered
	unservedMaxMs  = 5900
	serverAnswerMs = 100
)

type class struct {
	name       string
	repeat     string
	deadline   time.Duration
	staysLocal bool
	work       time.Duration // work of a request at a server with a model; 0: each answer takes serverAnswerMs
}

// figures are those figures of a deployment that differ from case to case.
type figures struct {
	stopSendingMs  float64 // grace of the rule on drains
	pushesAllowed  int     // messages to one proxy within pushWindow
	perMessage     float64
	lateMs         float64 // mean time of a message from the channel to a proxy
	transitMaxMs   float64
	smallestConns  float64
	fallMs         float64 // window of the rule on cold servers
	tipMultiple    float64 // multiple of its capacity at which a cold server falls over
	linesPerSecond float64
	mostWaiting    float64
	coldShare      float64
	warmUpMs       float64
}

// midlands are the figures of the settings' example on the page of the simulator's wire.
var midlands = figures{
	stopSendingMs: 3600, pushesAllowed: 20, perMessage: 4, lateMs: 413, transitMaxMs: 1032.5, smallestConns: 290, fallMs: 3000,
	tipMultiple: 2.5, linesPerSecond: 2300, mostWaiting: 3500, coldShare: 0.21, warmUpMs: 16000,
}

// pushWindow is the span of the limit of messages to one proxy.
const pushWindow = 10 * time.Second

// tally is what the proxies of a zone met at a server.
type tally struct {
	count, fail int
	tookMs      float64 // of all that succeeded together
}

// pair says at which server the proxies of a planner and a zone met something.
type pair struct{ planner, zone, server string }

// fleet is the deployment round the planners: servers, proxies, collectors and the rules' check.
type fleet struct {
	folder   string
	zones    []string
	servers  []entry
	classes  []class
	proxies  []*proxy
	planners []*planner
	zonal    bool
	figures  figures
	trouble  bool        // the disruption is played
	idle     atomic.Bool // the first proxy gets no requests

	wayOf  func(proxy int) time.Duration
	redial func(proxy int) time.Duration
	rate   func(proxy int) float64
	spoil  func(proxy int, answer string) string

	mu            sync.Mutex
	ended         bool
	listedIDs     map[string]bool
	hung          map[string]bool
	met           map[pair]*tally
	models        map[string]*serverModel
	worstMultiple float64
	sent          int
	served        int
	failed        int
	unserved      int
	broken        map[string]int    // sends or times that broke a rule, by rule
	firstBad      map[string]string // first of these, by rule
	longest       map[string]time.Duration
}

func newFleet(folder string) *fleet {
	return &fleet{
		folder:    folder,
		figures:   midlands,
		wayOf:     func(int) time.Duration { return 150 * time.Millisecond },
		redial:    func(id int) time.Duration { return time.Duration(300+150*(id%9)) * time.Millisecond },
		rate:      func(int) float64 { return 15 },
		spoil:     func(_ int, answer string) string { return answer },
		listedIDs: map[string]bool{},
		hung:      map[string]bool{},
		met:       map[pair]*tally{},
		models:    map[string]*serverModel{},
		broken:    map[string]int{},
		firstBad:  map[string]string{},
		longest:   map[string]time.Duration{},
	}
}

// addServers adds ready servers that started long ago.
func (f *fleet) addServers(zone string, count int) {
	for index := range count {
		id := fmt.Sprintf("s-%s-%d", zone, index+1)
		f.servers = append(f.servers, entry{
			ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", 18001+len(f.servers)), Zone: zone, Kind: "c4-std", Cell: len(f.servers) / 4,
			State: "ready", Weight: 1,
		})
		f.listedIDs[id] = true
	}
}

// start adds a server that has just started.
func (f *fleet) start(e entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.models[e.ID] = &serverModel{startedAt: time.UnixMilli(int64(e.StartedMs))}
	f.servers = append(f.servers, e)
	f.listedIDs[e.ID] = true
}

// inState returns the servers of a zone in another state.
func (f *fleet) inState(zone, state string) []entry {
	var list []entry
	for _, e := range f.servers {
		if e.Zone == zone {
			e.State = state
			list = append(list, e)
		}
	}
	return list
}

// settings returns the settings in the form of the simulator's first message.
func (f *fleet) settings() map[string]any {
	var classes []map[string]any
	var writes, local []bool
	for _, c := range f.classes {
		classes = append(classes, map[string]any{
			"Name": c.name, "AimMs": 600.0, "DeadlineMs": float64(c.deadline.Milliseconds()), "DedupScope": "all",
			"KeyTtlMs": 5000.0, "LateWorth": 0.2, "Repeat": c.repeat, "Worth": 3.0,
		})
		writes = append(writes, c.repeat != "read_like")
		local = append(local, c.staysLocal)
	}
	return map[string]any{
		"Azs": f.zones, "Balancers": len(f.planners), "Classes": classes, "CountedBy": "request", "Discovery": "automatic",
		"Family": "control",
		"FamilyInfo": map[string]any{
			"Admit": "share", "Bootstrap": 5, "ChannelRate": f.figures.linesPerSecond, "ClassWrites": writes, "DataPlaneSize": len(f.proxies),
			"DefaultRetry": 1, "FirstWait": 1.2, "IntakePerS": 120.0, "LateMs": f.figures.lateMs, "MostWaiting": f.figures.mostWaiting,
			"OneOwner": false, "OrderPrice": 0.04, "PerMessage": f.figures.perMessage, "PushesAllowed": f.figures.pushesAllowed, "ReloadSpanMs": float64(pushWindow.Milliseconds()),
			"ReportEveryMs": float64(reportEvery.Milliseconds()), "SelectsBy": "round", "ShiftFee": 0.01, "Slices": 0,
			"SmallestConnTable": f.figures.smallestConns, "StaysLocal": local, "Strikes": 0, "TransitMaxMs": f.figures.transitMaxMs,
			"UnservedMaxMs": float64(unservedMaxMs), "WaitsForTableMs": 300.0, "WarmKeys": false, "WriteLeaseMs": 2500.0,
			"WriteLifeMs": 2520.0, "Zonal": f.zonal,
		},
		"Goal":      map[string]any{"Nines": 0.15, "NinesFull": 2.0, "Whole": 0.55, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.2},
		"HostTypes": []string{"c4-std"},
		"Limits": map[string]any{
			"ConnIdleMs": 15000.0, "CpuUsPerS": 343844, "DialTimeoutMs": 250.0, "MayTell": false, "Multiplex": 32, "Probing": false,
		},
		"Ordinal": 0, "PeriodMs": 2.0,
		"Prices": map[string]any{
			"Connection": 0.02, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.04, "LateFail": 0.03, "Moves": 0.0,
			"Peer": 0.0, "Probe": 0.02, "Waste": 0.05,
		},
		"Report": map[string]any{"Names": []string{"concurrent"}, "Via": "answers"},
		"Rules": map[string]any{
			"AskWithinMs": 10000.0, "ColdShare": f.figures.coldShare, "FallMs": f.figures.fallMs, "StopSendingWithinMs": f.figures.stopSendingMs,
			"TipMultiple": f.figures.tipMultiple, "WarmUpMs": f.figures.warmUpMs,
		},
		"WeightKind": "rough", "Zone": 0,
	}
}

// usualRate returns the requests a second that a proxy usually gets.
func (f *fleet) usualRate(id int) float64 {
	if rate := f.rate(id); rate > 0 {
		return rate
	}
	return 15
}

func (f *fleet) over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

func (f *fleet) listed(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedIDs[server]
}

func (f *fleet) setHung(servers []entry, hung bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range servers {
		f.hung[e.ID] = hung
	}
}

// classIndices returns the classes that a 'for' field names, all for an empty one, and nil for one that is unknown.
func (f *fleet) classIndices(names string) []int {
	var indices []int
	for index, c := range f.classes {
		if names == "" || slices.Contains(strings.Split(names, "+"), c.name) {
			indices = append(indices, index)
		}
	}
	if names != "" && len(indices) != len(strings.Split(names, "+")) {
		return nil
	}
	return indices
}

// serve plays a request at a server and reports whether it was answered in time, or refused unseen. A hung server takes it and answers
// nothing.
func (f *fleet) serve(planner, zone, server string, class int) (served, refused bool) {
	f.mu.Lock()
	f.sent++
	c := f.classes[class]
	wait := serverAnswerMs * time.Millisecond
	switch {
	case f.hung[server]:
		wait = c.deadline
	case c.work > 0:
		wait, refused = f.take(server, c.work)
	}
	f.mu.Unlock()
	served = !refused && wait < c.deadline
	time.Sleep(min(wait, c.deadline))
	f.mu.Lock()
	defer f.mu.Unlock()
	key := pair{planner, zone, server}
	if f.met[key] == nil {
		f.met[key] = &tally{}
	}
	f.met[key].count++
	if !served {
		f.met[key].fail++
		f.failed++
		return false, refused
	}
	f.met[key].tookMs += float64(wait.Microseconds()) / 1000
	f.served++
	return true, false
}

func (f *fleet) countUnserved() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unserved++
}

// note records a break of a rule.
func (f *fleet) note(rule, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(rule, text)
}

// noteLocked does what note does; the caller holds the lock.
func (f *fleet) noteLocked(rule, text string) {
	f.broken[rule]++
	if f.firstBad[rule] == "" {
		f.firstBad[rule] = text
		say("RULE BROKEN, %s: %s", rule, text)
	}
}

// judgeSend checks the rule on drains. The time limit begins when the planner in charge was told, when the proxy joined, or 1 s
// after the planner first answered, whichever is last.
func (f *fleet) judgeSend(p *proxy, in *planner, joinedAt time.Time, server string, class int) {
	if in == nil {
		return
	}
	told, known := in.agent.toldAt(server)
	if !known {
		return
	}
	from := told
	if joinedAt.After(from) {
		from = joinedAt
	}
	if settled := in.ready().Add(settleAfter); settled.After(from) {
		from = settled
	}
	late := time.Since(from) - time.Duration(f.figures.stopSendingMs+slackMs)*time.Millisecond
	if late > 0 {
		f.note("safe drain", fmt.Sprintf("proxy %d sends %s to %s, which is %s, %.1f s after the limit began",
			p.id, f.classes[class].name, server, in.agent.entry(server).State, time.Since(from).Seconds()))
	}
}

// watchLines checks the rule that nobody is left without a server, each 20 ms.
func (f *fleet) watchLines() {
	for !f.over() {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		for _, p := range f.proxies {
			p.mu.Lock()
			for index := range f.classes {
				from := p.bareFrom[index]
				excused := p.planner == nil || now.Before(p.planner.ready().Add(settleAfter)) || p.hasLine(index) || p.shares[index] == 0 || !f.open(p, index)
				switch {
				case excused:
					p.bareFrom[index] = time.Time{}
					if !from.IsZero() {
						say("proxy %d has a line for %s again, or none is due, after %.1f s", p.id, f.classes[index].name, now.Sub(from).Seconds())
					}
				case from.IsZero():
					p.bareFrom[index] = now
					say("proxy %d has no line to pick for %s", p.id, f.classes[index].name)
				case now.Sub(from) > (unservedMaxMs+slackMs)*time.Millisecond:
					f.note("nobody left without a server", fmt.Sprintf("proxy %d (%s) has had no line to pick for %s for %.1f s, while %s is listed as ready and warm",
						p.id, p.zone, f.classes[index].name, now.Sub(from).Seconds(), f.openServer(p, index)))
				}
			}
			p.mu.Unlock()
		}
	}
}

func (f *fleet) open(p *proxy, class int) bool { return f.openServer(p, class) != "" }

// openServer returns a server that the planner's list shows as ready and no longer cold, and that is open to a class.
func (f *fleet) openServer(p *proxy, class int) string {
	for _, e := range p.planner.agent.known().Servers {
		warm := e.StartedMs == 0 || float64(time.Now().UnixMilli())-e.StartedMs >= f.figures.warmUpMs
		if e.State == "ready" && warm && (!f.classes[class].staysLocal || e.Zone == p.zone) {
			return e.ID
		}
	}
	return ""
}

// collect is the collector of a zone for a planner: it brings each second, late, what the zone's proxies met at servers.
func (f *fleet) collect(zone string, to *planner) {
	var conn net.Conn
	for !f.over() {
		time.Sleep(50 * time.Millisecond)
		if !to.available() {
			conn = nil
			continue
		}
		if conn == nil {
			dialled, err := net.DialTimeout("tcp", to.listen, 250*time.Millisecond)
			if err != nil {
				continue
			}
			if _, err := fmt.Fprintf(dialled, "collector site=%s\r\n", zone); err != nil {
				continue
			}
			conn = dialled
		}
		start := time.Now()
		time.Sleep(reportEvery)
		lines := f.takeHeard(to.name, zone, time.Since(start))
		time.Sleep(reportLate)
		if _, err := fmt.Fprint(conn, lines); err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// takeHeard returns the reports on a planner's proxies of a zone since the last call.
func (f *fleet) takeHeard(planner, zone string, over time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines strings.Builder
	for _, e := range f.servers {
		t := f.met[pair{planner, zone, e.ID}]
		if t == nil {
			continue
		}
		mean := 0.0
		if t.count > t.fail {
			mean = t.tookMs / float64(t.count-t.fail)
		}
		fmt.Fprintf(&lines, "heard site=%s target=%s count=%d fail=%d mean=%.1f over=%.1f\r\n",
			zone, e.ID, t.count, t.fail, mean, float64(over.Microseconds())/1000)
		delete(f.met, pair{planner, zone, e.ID})
	}
	if lines.Len() > 0 {
		say("planner %s hears: %s", planner, strings.ReplaceAll(strings.TrimSpace(lines.String()), "\r\n", " | "))
	}
	return lines.String()
}

// clients sends a proxy requests at an even rate, its classes in turn.
func (f *fleet) clients(p *proxy) {
	time.Sleep(time.Duration(p.id*37%100) * time.Millisecond) // not all at once
	for class := 0; !f.over(); class = (class + 1) % len(f.classes) {
		rate := f.rate(p.id)
		if rate <= 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go p.request(class)
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// run starts planners, proxies, collectors and clients.
func (f *fleet) run() error {
	for _, p := range f.planners {
		if err := p.start(); err != nil {
			return err
		}
		for _, zone := range f.zones {
			go f.collect(zone, p)
		}
	}
	for _, p := range f.proxies {
		go p.follow()
		go f.clients(p)
		go func() {
			for !f.over() {
				time.Sleep(reportEvery)
				p.report(reportEvery)
			}
		}()
	}
	go f.watchLines()
	return nil
}
