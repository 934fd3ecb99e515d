package main

import (
	"slices"
	"strings"
	"time"
)

var scenarios = map[string]scenario{
	"hung-zone":    {"nobody left without a server", buildHungZone, playHungZone},
	"late-joiner":  {"safe drain", buildLateJoiner, playLateJoiner},
	"cold-zone":    {"safe fail-back", buildColdZone, playColdZone},
	"deploy":       {"safe drain", buildDeploy, playDeploy},
	"deploy-small": {"safe drain", buildSmallDeploy, playDeploy},
	"idle-proxy":   {"safe drain", buildIdleProxy, playIdleProxy},
}

// threeZones gives a fleet 16 servers and nine proxies in three zones, and a class that keeps to the proxy's zone.
func threeZones(f *fleet, planners ...string) error {
	f.zones = []string{"east", "mid", "west"}
	f.addServers("east", 7)
	f.addServers("mid", 6)
	f.addServers("west", 3)
	f.classes = []class{
		{name: "lookup", repeat: "read_like", deadline: 1500 * time.Millisecond},
		{name: "charge", repeat: "non_idempotent", deadline: 2500 * time.Millisecond},
		{name: "gate-open", repeat: "read_like", deadline: 1500 * time.Millisecond, staysLocal: true},
	}
	for _, name := range planners {
		p, err := newPlanner(name, f)
		if err != nil {
			return err
		}
		f.planners = append(f.planners, p)
	}
	return nil
}

func buildHungZone(f *fleet) error {
	if err := threeZones(f, "n1"); err != nil {
		return err
	}
	f.rate = func(int) float64 { return 23 }
	for id := range 9 {
		f.proxies = append(f.proxies, newProxy(id, f.zones[id%3], f, f.planners[0]))
	}
	return nil
}

// playHungZone lets the three servers of one zone take requests and answer none for 20 s.
func playHungZone(f *fleet, trouble bool) error {
	time.Sleep(10 * time.Second)
	if trouble {
		say("the servers of zone west hang")
		f.setHung(f.inState("west", "ready"), true)
	}
	time.Sleep(20 * time.Second)
	say("the servers of zone west answer again")
	f.setHung(f.inState("west", "ready"), false)
	time.Sleep(15 * time.Second)
	return nil
}

func buildLateJoiner(f *fleet) error {
	if err := threeZones(f, "n1", "n2"); err != nil {
		return err
	}
	for id := range 9 {
		home, other := f.planners[id%2], f.planners[1-id%2]
		if id == 8 { // two of the three proxies of zone west are with n2
			home, other = f.planners[1], f.planners[0]
		}
		f.proxies = append(f.proxies, newProxy(id, f.zones[id/3], f, home, other))
	}
	return nil
}

// playLateJoiner drains the servers of zone west, as a step of a release, while the planners are restarted one after the other.
// Planner n2 hears of the drain later than n1.
func playLateJoiner(f *fleet, trouble bool) error {
	n1, n2 := f.planners[0], f.planners[1]
	time.Sleep(8 * time.Second)
	drained := f.inState("west", "draining")
	say("the servers of zone west drain")
	n1.agent.apply(drained...)
	time.Sleep(time.Second)
	if trouble {
		n1.terminate()
		time.Sleep(500 * time.Millisecond)
		if err := n1.start(); err != nil {
			return err
		}
		time.Sleep(1200 * time.Millisecond)
		n2.terminate()
		time.Sleep(1800 * time.Millisecond)
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	n2.agent.apply(drained...)
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		if err := n2.start(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}

func buildIdleProxy(f *fleet) error {
	if err := threeZones(f, "n1"); err != nil {
		return err
	}
	for index := range f.classes {
		f.classes[index].staysLocal = false
	}
	f.idle.Store(true)
	f.rate = func(id int) float64 {
		if id == 0 && f.idle.Load() {
			return 0
		}
		if id == 0 {
			return 45
		}
		return 15
	}
	begin := time.Now()
	f.spoil = func(id int, answer string) string {
		if id != 0 || !f.trouble || time.Since(begin) > 4*time.Second {
			return answer
		}
		return strings.Replace(answer, "seq=", "seq=x", 1)
	}
	for id := range 9 {
		f.proxies = append(f.proxies, newProxy(id, f.zones[id%3], f, f.planners[0]))
	}
	return nil
}

// playIdleProxy lets the first proxy get no requests for a while, drains a server, and lets requests come to the proxy again.
// With the disruption, the proxy's answers to marks in the first 4 s, one or two, are spoilt.
func playIdleProxy(f *fleet, _ bool) error {
	time.Sleep(18 * time.Second)
	say("a server of zone east drains")
	f.planners[0].agent.apply(f.inState("east", "draining")[:1]...)
	time.Sleep(6300 * time.Millisecond) // the next report on usage is due 0.7 s later
	say("requests come to proxy 0")
	f.idle.Store(false)
	time.Sleep(5 * time.Second)
	return nil
}

// booking gives a fleet servers in four zones and one planner, with figures in the ranges of the second site.
func booking(f *fleet, serversPerZone int) error {
	f.figures = figures{
		stopSendingMs: 1500, pushesAllowed: 12, perMessage: 3, lateMs: 300, transitMaxMs: 750, smallestConns: 80, fallMs: 3000,
		tipMultiple: 3, linesPerSecond: 2700, mostWaiting: 4050, coldShare: 0.22, warmUpMs: 17000,
	}
	f.wayOf = func(int) time.Duration { return 300 * time.Millisecond }
	f.zones = []string{"wien", "linz", "graz", "salzburg"}
	for _, zone := range f.zones {
		f.addServers(zone, serversPerZone)
	}
	f.classes = []class{
		{name: "slot-search", repeat: "read_like", deadline: 1500 * time.Millisecond, work: 106 * time.Millisecond},
		{name: "slot-booking", repeat: "idempotency_key", deadline: 3 * time.Second, work: 180 * time.Millisecond},
	}
	n1, err := newPlanner("n1", f)
	f.planners = append(f.planners, n1)
	return err
}

// buildDeploy gives a fleet 120 servers and 48 proxies. The load is six tenths of what the servers can do.
func buildDeploy(f *fleet) error { return buildLoaded(f, 30, 48) }

// buildSmallDeploy does the same with 32 servers and 20 proxies.
func buildSmallDeploy(f *fleet) error { return buildLoaded(f, 8, 20) }

func buildLoaded(f *fleet, serversPerZone, proxies int) error {
	if err := booking(f, serversPerZone); err != nil {
		return err
	}
	total := 0.6 * float64(len(f.servers)) * 2 / (f.classes[0].work + f.classes[1].work).Seconds()
	f.rate = func(int) float64 { return total / float64(proxies) }
	for id := range proxies {
		f.proxies = append(f.proxies, newProxy(id, f.zones[id%4], f, f.planners[0]))
	}
	return nil
}

// playDeploy replaces all servers but a hundredth within 23 s, 16 in a hundred at a time. Each is listed as draining and ends 2 s later;
// its successor starts 0.8 s after that and is listed 0.7 s later. Changes of the list come together each 0.5 s. Without the disruption, one
// server is replaced.
func playDeploy(f *fleet, trouble bool) error {
	replaced := len(f.servers) * 99 / 100
	f.planners[0].agent.period = 500 * time.Millisecond
	time.Sleep(12 * time.Second)
	start := time.Now()
	for index, old := range slices.Clone(f.servers[:replaced]) {
		time.Sleep(time.Until(start.Add(time.Duration(index) * 23 * time.Second / time.Duration(replaced+1))))
		old.State = "draining"
		go f.replace(old, 2*time.Second, 2800*time.Millisecond, 700*time.Millisecond)
		if !trouble {
			time.Sleep(15 * time.Second)
			return nil
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// replace lists a server as draining, ends it after a time, and starts a new one under a new id, which is listed a little later.
func (f *fleet) replace(old entry, endsAfter, startsAfter, listedAfter time.Duration) {
	agent := f.planners[0].agent
	say("%s is taken away", old.ID)
	agent.apply(old)
	time.Sleep(endsAfter)
	f.setHung([]entry{old}, true)
	old.State = "gone"
	agent.apply(old)
	time.Sleep(startsAfter - endsAfter)
	next := old
	next.ID += "-b"
	next.State = "ready"
	next.StartedMs = float64(time.Now().UnixMilli())
	say("%s starts", next.ID)
	f.start(next)
	time.Sleep(listedAfter)
	agent.apply(next)
}

// buildColdZone gives a fleet 20 servers and 12 proxies in four zones of the same size; one of two classes keeps to the proxy's zone.
// The load is six tenths of what the servers can do.
func buildColdZone(f *fleet) error {
	if err := buildLoaded(f, 5, 12); err != nil {
		return err
	}
	f.classes[1].staysLocal = true
	return nil
}

// playColdZone takes the five servers of one zone away in four waves within 9 s. They are listed as draining and are dead 2 s later.
// The replacement of each starts 13 s after it was taken away, and is listed 0.7 s after it started. Without the disruption, one server
// is taken away.
func playColdZone(f *fleet, trouble bool) error {
	time.Sleep(12 * time.Second)
	taken := f.inState("salzburg", "draining")
	if !trouble {
		taken = taken[:1]
	}
	for index, old := range taken {
		if index > 0 && index < 4 {
			time.Sleep(3 * time.Second)
		}
		go f.replace(old, 2*time.Second, 13*time.Second, 700*time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	return nil
}
