package platform

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

const (
	loopbackRate             = 1200.0 // entries per second of the simulated channel; so low that a mass join takes a while
	loopbackOverhead         = 4.0    // entries per message, as in testSettings
	loopbackBacklog          = 2400.0 // highest number of entries that may wait in the channel
	loopbackGraceMs          = 3000.0 // ms of the drain grace, as in testSettings
	loopbackServers          = 30     // few servers, so that the first table, for one proxy, is not much larger than later ones
	loopbackOwnProxies       = 20     // proxies that join first
	loopbackInheritedProxies = 60     // proxies with tables of other planners, which join together
	loopbackDrainingServers  = 9      // servers that start to drain when loopbackInheritedProxies join
	arrivalQueueLength       = 1 << 16
)

var loopbackClasses = []string{"lookup", "order"} // names of the traffic classes of testSettings

// loopbackSettings changes testSettings to more proxies and a slower channel.
var loopbackSettings = strings.NewReplacer(
	`"Balancers":2`, `"Balancers":5`,
	`"DataPlaneSize":8`, fmt.Sprintf(`"DataPlaneSize":%d`, loopbackOwnProxies+loopbackInheritedProxies),
	`"ChannelRate":2500`, fmt.Sprintf(`"ChannelRate":%g`, loopbackRate),
	`"MostWaiting":3500`, fmt.Sprintf(`"MostWaiting":%g`, loopbackBacklog),
)

// arrival is an update that a proxy has read from its socket.
type arrival struct {
	proxy  *loopbackProxy
	update string
	atMs   float64
}

type loopbackProxy struct {
	*modelProxy
	peer *testPeer
}

// loopbackFleet holds the proxies of a planner that runs on sockets. Sockets do not limit the rate as the channel does, so
// the fleet applies updates one after another at loopbackRate.
type loopbackFleet struct {
	planner       *testPlanner
	clock         clock.Clock
	arrivals      chan arrival
	channelFreeMs float64 // time at which the last applied update left the simulated channel
	own           []*loopbackProxy
	inherited     []*loopbackProxy
}

// join connects a proxy and reads its updates until the connection ends.
func (f *loopbackFleet) join(p *modelProxy, newFlag int) *loopbackProxy {
	joined := &loopbackProxy{p, f.planner.dial(fmt.Sprintf("joined id=%d site=a rps=8 new=%d\r\n", p.id, newFlag))}
	go func() {
		update := ""
		for {
			line, err := joined.peer.reader.ReadString('\n')
			if err != nil {
				return
			}
			update += line
			if !strings.Contains(line, " part=1") {
				f.arrivals <- arrival{joined, update, f.clock.Monotonic()}
				update = ""
			}
		}
	}()
	return joined
}

// applyNext waits until the next update has left the simulated channel, then applies and acknowledges it.
func (f *loopbackFleet) applyNext(t *testing.T) {
	t.Helper()
	var next arrival
	select {
	case next = <-f.arrivals:
	case <-after(peerTimeoutMs):
		t.Fatal("no update arrives although the condition is not met")
	}
	entries := float64(countEntries(next.update)) + loopbackOverhead
	f.channelFreeMs = max(f.channelFreeMs, next.atMs) + entries/loopbackRate*millisecondsPerSecond
	if waitMs := f.channelFreeMs - f.clock.Monotonic(); waitMs > 0 {
		<-after(waitMs)
	}
	for _, stamp := range next.proxy.apply(next.update) {
		next.proxy.peer.write(fmt.Sprintf("applied id=%d seq=%s ms=%.0f\r\n", next.proxy.id, stamp, f.channelFreeMs-next.atMs))
	}
}

// picksOneOf reports whether a proxy may pick one of the given servers.
func (p *loopbackProxy) picksOneOf(servers map[string]bool) bool {
	for class := range p.weights {
		for server := range p.eligibleServers(class) {
			if servers[server] {
				return true
			}
		}
	}
	return false
}

// weightsExcept returns the weights of a proxy by class and server, without those of some servers.
func (p *loopbackProxy) weightsExcept(except map[string]bool) map[string]float64 {
	weights := map[string]float64{}
	for class := range p.weights {
		for server, weight := range p.weights[class] {
			if !except[server] {
				weights[class+" "+server] = weight
			}
		}
	}
	return weights
}

// isComplete reports whether a proxy has the same table as one of the first proxies and has ejected none of its servers,
// both apart from the drained servers.
func (f *loopbackFleet) isComplete(p *loopbackProxy, drained map[string]bool) bool {
	for class := range p.weights {
		for server := range p.weights[class] {
			if p.ejected[server] && !drained[server] {
				return false
			}
		}
	}
	equal := func(own *loopbackProxy) bool { return maps.Equal(own.weightsExcept(drained), p.weightsExcept(drained)) }
	return p.assigned && slices.ContainsFunc(f.own, equal)
}

// startLoopbackFleet starts a planner and its first proxies, and waits until these have been assigned tables.
func startLoopbackFleet(t *testing.T, discovery *fakeDiscovery, known string) *loopbackFleet {
	t.Helper()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		discovery.address(), known, loopbackSettings.Replace(testSettings))
	f := &loopbackFleet{
		planner:  startPlannerWith(t, config, nil),
		clock:    clock.NewReal(),
		arrivals: make(chan arrival, arrivalQueueLength),
	}
	<-discovery.watched
	for id := range loopbackOwnProxies {
		f.own = append(f.own, f.join(newModelProxy(id, loopbackClasses), 1))
	}
	f.applyUntil(t, func() bool {
		return !slices.ContainsFunc(f.own, func(p *loopbackProxy) bool { return !p.assigned })
	})
	return f
}

// applyUntil applies updates until a condition holds, and returns the clock's time in ms at that point.
func (f *loopbackFleet) applyUntil(t *testing.T, holds func() bool) float64 {
	t.Helper()
	for !holds() {
		f.applyNext(t)
	}
	return f.clock.Monotonic()
}

// TestDrainsDuringMassJoinOnLoopback makes proxies of other planners join over sockets while servers drain. It checks that
// none of them picks a draining server after the drain grace, and that each holds its complete table in the end.
func TestDrainsDuringMassJoinOnLoopback(t *testing.T) {
	servers := testEndpoints(loopbackServers, policy.Ready)
	drained := map[string]bool{}
	var ready, draining []string
	for index, endpoint := range servers {
		ready = append(ready, endpoint.Server+":ready")
		if index < loopbackDrainingServers {
			draining = append(draining, endpoint.Server+":draining")
			drained[endpoint.Server] = true
		}
	}
	known := listText(1, true, ready...)
	discovery := newFakeDiscovery(t, known)
	f := startLoopbackFleet(t, discovery, known)
	discovery.lines <- listText(2, false, draining...)
	notifiedMs := f.clock.Monotonic()
	f.applyUntil(t, func() bool { return f.own[0].ejected[servers[0].Server] }) // the planner has been notified of the drains
	random := rand.New(rand.NewSource(1))
	for id := loopbackOwnProxies; id < loopbackOwnProxies+loopbackInheritedProxies; id++ {
		p := newModelProxy(id, loopbackClasses)
		p.inheritTables(random, servers)
		f.inherited = append(f.inherited, f.join(p, 0))
	}
	lateMs := f.applyUntil(t, func() bool {
		return !slices.ContainsFunc(append(f.inherited, f.own...), func(p *loopbackProxy) bool { return p.picksOneOf(drained) })
	}) - notifiedMs
	if lateMs > loopbackGraceMs {
		t.Errorf("draining servers are picked until %.0f ms after the notification", lateMs)
	}
	completeMs := f.applyUntil(t, func() bool {
		return !slices.ContainsFunc(f.inherited, func(p *loopbackProxy) bool { return !f.isComplete(p, drained) })
	}) - notifiedMs
	t.Logf("no draining server is picked after %.0f ms, and tables are complete after %.0f ms", lateMs, completeMs)
}
