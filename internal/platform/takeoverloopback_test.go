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
	loopbackRate             = 1200.0 // entries per second, so few that a rush of joins lasts
	loopbackOverhead         = 4.0    // entries of each message, as in testSettings
	loopbackBacklog          = 2400.0 // entries
	loopbackGraceMs          = 3000.0 // as in testSettings
	loopbackServers          = 30     // so few that the first table, which is for one proxy, is not much larger than later ones
	loopbackOwnProxies       = 20     // proxies that join first
	loopbackInheritedProxies = 60     // proxies with tables of other planners, that join at once
	loopbackDrainingServers  = 9      // servers that begin to drain as these join
	arrivalQueueLength       = 1 << 16
)

var loopbackClasses = []string{"lookup", "order"} // of testSettings

// loopbackSettings are testSettings for more proxies and a slower channel.
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

// loopbackFleet is the proxies of a planner on sockets. What they read is applied one update after another at the rate of
// the channel, which sockets do not have.
type loopbackFleet struct {
	planner       *testPlanner
	clock         clock.Clock
	arrivals      chan arrival
	channelFreeMs float64 // when all that arrived will have left the channel
	own           []*loopbackProxy
	inherited     []*loopbackProxy
}

// join connects a proxy and reads its updates until the connection ends.
func (f *loopbackFleet) join(p *modelProxy, fresh int) *loopbackProxy {
	joined := &loopbackProxy{p, f.planner.dial(fmt.Sprintf("joined id=%d site=a rps=8 new=%d\r\n", p.id, fresh))}
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

// applyNext applies and acknowledges the next update when it has left the channel.
func (f *loopbackFleet) applyNext(t *testing.T) {
	t.Helper()
	var next arrival
	select {
	case next = <-f.arrivals:
	case <-after(peerTimeoutMs):
		t.Fatal("proxies wait for updates that do not come")
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

// picksOneOf says whether a proxy may pick one of some servers.
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

// weightsExcept returns a proxy's weights by class and server, but for some servers.
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

// isComplete says whether a proxy's table is that of one that had it from the start, but for servers that drain, and whether
// it has ejected no other servers of it.
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

// startLoopbackFleet starts a planner, and proxies that are assigned their first tables by it.
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

// applyUntil applies updates until a condition holds, and returns the time.
func (f *loopbackFleet) applyUntil(t *testing.T, holds func() bool) float64 {
	t.Helper()
	for !holds() {
		f.applyNext(t)
	}
	return f.clock.Monotonic()
}

// Proxies with tables of planners that ended join one over sockets while servers drain: none picks such a server beyond the
// grace, and later each holds its complete table.
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
	f.applyUntil(t, func() bool { return f.own[0].ejected[servers[0].Server] }) // the planner knows of the drains
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
		t.Errorf("servers that drain are picked until %.0f ms after the notification", lateMs)
	}
	completeMs := f.applyUntil(t, func() bool {
		return !slices.ContainsFunc(f.inherited, func(p *loopbackProxy) bool { return !f.isComplete(p, drained) })
	}) - notifiedMs
	t.Logf("no drained server is picked after %.0f ms, and tables are complete after %.0f ms", lateMs, completeMs)
}
