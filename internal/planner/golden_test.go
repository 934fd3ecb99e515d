package planner_test

import (
	"errors"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/golden"
	"lichenpick/internal/lease"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	stepMs                  = 25.0
	simulatedMs             = 30_000.0
	digestIntervalMs        = 1000.0 // time covered by one line of a golden file
	reportIntervalMs        = 1000.0 // interval of each proxy's load reports
	unixOriginMs            = 1_790_000_000_000
	randomSeed              = 20261202
	proxyCount              = 12
	serverCount             = 14
	classCount              = 3
	redialSteps             = 20 // steps from the end of a stream to the next dial
	idleSteps               = 40 // steps until the first proxy joins
	joinSteps               = 8  // steps between the joins of successive proxies
	otherPlannerName        = "planner-2"
	plannerName             = "planner-1"
	otherPlannerIncarnation = 99
	initialIncarnation      = 5 // initial incarnation of all proxies
)

const goldenSettings = `name: "planner-1" listen: "127.0.0.1:0"
zones { name: "a" prefixes: "127.1.0.0/16" } zones { name: "b" prefixes: "127.2.0.0/16" }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" utility: 3 repeat: RETRIABLE }
groups { name: "start" latency_budget: "1s" expiry: "2.5s" repeat: DEDUPED }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" utility: 5 only_zone: true }
servers { warm_up: "8s" }
proxies: 12 seed: 7
list { file { path: "x" } }
`

// reasonNames are the close reasons' names in golden files. They are separate from the reasons' texts, so that changing a
// text changes no golden file.
var reasonNames = map[controlstream.CloseReason]string{
	controlstream.ReasonAckTimeout:    "unacknowledged",
	controlstream.ReasonNameInUse:     "name in use",
	controlstream.ReasonSuperseded:    "replaced",
	controlstream.ReasonUnknownPeer:   "unknown",
	controlstream.ReasonLimitExceeded: "full",
}

// fakeProxy is a simulated proxy.
type fakeProxy struct {
	name         string
	zone         int
	incarnation  uint64
	lease        lease.Grantor
	stream       *planner.Stream // current stream; nil: not connected
	streamCount  uint64          // streams opened so far
	redialStep   int             // step of the next dial while the proxy is not connected
	inbox        []proto.Message // messages on the current stream that the proxy answers in the next step
	unresponsive bool            // whether the proxy answers no messages
	silent       bool            // whether the proxy sends no frames at all
}

// simulation runs a planner core with simulated proxies and endpoint updates in simulated time. The digest covers all
// decisions of the core, byte for byte.
type simulation struct {
	t        *testing.T
	core     *planner.Core
	digest   *golden.Digest
	random   *rand.Rand
	shared   bool
	step     int
	proxies  []*fakeProxy
	servers  []discovery.Endpoint
	slow     map[string]float64 // factor by which the latency is multiplied, by server
	failing  map[string]bool    // servers at which all attempts fail
	diskFull bool               // whether writes to the epoch store fail
}

func newSimulation(t *testing.T, name, more string, shared bool) *simulation {
	t.Helper()
	configuration := &pb.Planner{}
	if err := settings.Parse(name, []byte(goldenSettings+more), configuration); err != nil {
		t.Fatal(err)
	}
	c := &simulation{
		t:       t,
		core:    planner.NewCore(configuration, planner.NewPolicy(configuration), 1, 0),
		digest:  golden.NewDigest(name, digestIntervalMs),
		random:  rand.New(rand.NewSource(randomSeed)),
		shared:  shared,
		slow:    map[string]float64{},
		failing: map[string]bool{},
	}
	if shared {
		c.core.EnableLeases(0)
	}
	for number := range serverCount {
		c.servers = append(c.servers, discovery.Endpoint{Server: fmt.Sprintf("10.0.0.%d:80", number), Zone: string("ab"[number%2]), RelativeCapacity: float64(1 + number%3)})
	}
	for number := range proxyCount {
		proxy := &fakeProxy{
			name: fmt.Sprint("edge-", number), zone: number % 2, incarnation: initialIncarnation, redialStep: idleSteps + number*joinSteps,
		}
		c.proxies = append(c.proxies, proxy)
	}
	return c
}

func (c *simulation) now() float64 { return float64(c.step) * stepMs }

func (c *simulation) proxyOf(stream *planner.Stream) *fakeProxy {
	proxy, ok := stream.Transport.(*fakeProxy)
	if !ok {
		c.t.Fatal("the stream belongs to no simulated proxy")
	}
	return proxy
}

func (c *simulation) Send(stream *planner.Stream, kind controlstream.FrameKind, message proto.Message) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		c.t.Fatal(err)
	}
	proxy := c.proxyOf(stream)
	c.digest.Add(c.now(), "to %s kind %d body %x", proxy.name, int(kind), body)
	if proxy.stream == stream {
		proxy.inbox = append(proxy.inbox, message)
	}
}

func (c *simulation) Close(stream *planner.Stream, why *controlstream.CloseError) {
	reason, known := reasonNames[why.Reason]
	if !known {
		c.t.Fatalf("the planner closed a stream for a reason that is missing in reasonNames: %v", why)
	}
	proxy := c.proxyOf(stream)
	c.digest.Add(c.now(), "end %s: %s", proxy.name, reason)
	if proxy.stream == stream {
		proxy.disconnect(c.step)
	}
}

func (c *simulation) SetTimer(atMs float64) { c.digest.Add(c.now(), "wake at %g", atMs) }

func (c *simulation) ReserveEpochs(upTo uint64) {
	c.digest.Add(c.now(), "reserve %d", upTo)
	var err error
	if c.diskFull {
		err = errors.New("no space left")
	}
	c.core.EpochsReserved(upTo, err)
}

func (p *fakeProxy) disconnect(step int) {
	p.stream, p.inbox = nil, nil
	p.unresponsive, p.silent = false, false
	p.redialStep = step + redialSteps
}

// leaseState returns the lease state that a proxy reports.
func (p *fakeProxy) leaseState() *order.Lease {
	return &order.Lease{
		Epoch:       p.lease.Epoch,
		Controller:  p.lease.Controller,
		Incarnation: p.lease.Incarnation,
		LeftMs:      p.lease.RemainingMs(),
		Reachable:   []string{plannerName, otherPlannerName},
		Controllers: 2,
	}
}

func (c *simulation) connect(proxy *fakeProxy) {
	proxy.streamCount++
	proxy.silent = false
	proxy.stream = c.join(proxy, proxy.incarnation)
}

// join opens a stream under a proxy's name. The incarnation in the join may differ from that of the proxy's process.
func (c *simulation) join(proxy *fakeProxy, incarnation uint64) *planner.Stream {
	address := netip.MustParseAddr([]string{"127.1.0.9", "127.2.0.9"}[proxy.zone])
	stream := &planner.Stream{Address: address, Transport: proxy}
	join := &order.Join{
		Proxy: proxy.name, UsualPerS: 10, Incarnation: incarnation, Stream: proxy.streamCount, Groups: classCount,
		Holds: []*order.Holding{{
			Groups: []uint32{0, 1, 2},
			Lines:  []*order.Line{{Server: c.servers[proxy.zone].Server, Weight: 0.5}, {Server: c.servers[2].Server, Weight: 0.5}},
		}},
	}
	if c.shared {
		join.Lease = proxy.leaseState()
	}
	c.core.HandleJoin(stream, join)
	return stream
}

// answer sends a proxy's answers to the messages of the previous step.
func (c *simulation) answer(proxy *fakeProxy) {
	inbox := proxy.inbox
	proxy.inbox = nil
	if proxy.unresponsive {
		return
	}
	for _, message := range inbox {
		switch message := message.(type) {
		case *order.Welcome:
			c.core.HandleAck(proxy.stream, &order.Applied{})
		case *order.Orders:
			c.core.HandleAck(proxy.stream, c.acknowledge(proxy, message))
		case *order.Claim:
			granted := proxy.lease.Grant(message.Controller, message.Incarnation, message.Epoch, float64(message.LeaseMs))
			answer := proxy.leaseState()
			answer.Nonce, answer.Granted = message.Nonce, granted
			answer.Holds = []*order.Holding{{Groups: []uint32{0}, Lines: []*order.Line{{Server: c.servers[1].Server, Weight: 1}}}}
			answer.MessagesAgoMs = []float64{100, 2000}
			c.core.HandleLease(proxy.stream, answer)
		case *order.Release:
			proxy.lease.Release(plannerName, 1, message.Epoch)
			c.core.HandleLease(proxy.stream, proxy.leaseState())
		}
		if proxy.stream == nil {
			return
		}
	}
}

func (c *simulation) acknowledge(proxy *fakeProxy, message *order.Orders) *order.Applied {
	acknowledgement := &order.Applied{Number: message.Number}
	if c.shared {
		acknowledgement.Epoch = proxy.lease.Epoch
		acknowledgement.Refused = !proxy.lease.Accepts(message.Planner, message.Incarnation, message.Epoch)
	}
	for _, o := range message.Orders {
		if request, ok := o.What.(*order.Order_Receipt); ok {
			acknowledgement.Receipts = append(acknowledgement.Receipts, request.Receipt)
		}
	}
	return acknowledgement
}

// report sends a proxy's load report, with the latencies and failures that are set for the servers.
func (c *simulation) report(proxy *fakeProxy) {
	report := &order.Sums{CoversMs: reportIntervalMs}
	for class := range classCount {
		report.Groups = append(report.Groups, &order.GroupSum{Group: uint32(class), Came: uint32(c.random.Intn(12)), Dropped: 0})
	}
	for _, number := range c.random.Perm(len(c.servers))[:5] {
		server := c.servers[number].Server
		sample := &order.ServerSum{Server: server, Tries: uint32(1 + c.random.Intn(6)), LatencyMs: 30 + 20*c.random.Float64()}
		if factor := c.slow[server]; factor > 0 {
			sample.LatencyMs *= factor
		}
		if c.failing[server] {
			sample.Dropped, sample.LatencyMs = sample.Tries, 0
		}
		report.Servers = append(report.Servers, sample)
	}
	c.core.HandleLoadReport(proxy.stream, report)
}

func (c *simulation) sendFullList(version uint64) {
	c.core.UpdateEndpoints(discovery.Update{Kind: policy.FullUpdate, AsOfMs: unixOriginMs + uint64(c.now()), Version: version, Endpoints: c.servers})
}

func (c *simulation) changeState(number int, state policy.State) {
	c.servers[number].State = state
	changed := c.servers[number : number+1]
	c.core.UpdateEndpoints(discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: unixOriginMs + uint64(c.now()), Version: 2, Endpoints: changed})
}

// faults are the scripted faults and endpoint updates, by the second in which they occur.
var faults = map[int]func(*simulation){
	5: func(c *simulation) { c.failing[c.servers[3].Server] = true },
	7: func(c *simulation) { c.changeState(0, policy.Draining) },
	9: func(c *simulation) {
		c.slow[c.servers[4].Server] = 20
		c.proxies[1].unresponsive = true
	},
	10: func(c *simulation) {
		c.changeState(0, policy.Removed)
		c.changeState(5, policy.Draining) // the unresponsive proxy does not acknowledge this drain
	},
	12: func(c *simulation) {
		c.core.UpdateEndpoints(discovery.Update{Kind: policy.FailedUpdate, Fault: "no answer"})
		delete(c.failing, c.servers[3].Server)
	},
	13: func(c *simulation) {
		c.breakConnection(c.proxies[4])
		c.breakConnection(c.proxies[5])
	},
	14: func(c *simulation) { c.core.RecordLag(1500) },
	15: func(c *simulation) {
		c.core.RecordLag(10)
		c.servers = append(c.servers, discovery.Endpoint{Server: "10.0.1.1:80", Zone: "a", RelativeCapacity: 2, StartedUnixMs: unixOriginMs + uint64(c.now()) - 500})
		c.sendFullList(3)
	},
	16: func(c *simulation) { c.diskFull = true },
	18: func(c *simulation) { c.connect(c.proxies[6]) }, // opens a newer stream while the older one is open
	20: func(c *simulation) { c.core.SetDraining(true) },
	21: func(c *simulation) { c.diskFull = false },
	23: func(c *simulation) {
		c.core.SetDraining(false)
		c.proxies[8].silent = true
		c.servers = c.servers[:6]
		c.sendFullList(4) // most servers are missing from the list
	},
	// A new process joins under the name of proxy 8, whose old process has been silent since second 23. The planner rejects
	// the join, as the old process may still be alive.
	25: func(c *simulation) { c.join(c.proxies[8], initialIncarnation+1) },
	// The new process joins again. The planner accepts the join, as the old process has been silent for nameReservedMs.
	26: func(c *simulation) {
		c.proxies[8].incarnation++
		c.connect(c.proxies[8])
	},
}

func (c *simulation) breakConnection(proxy *fakeProxy) {
	if proxy.stream == nil {
		return
	}
	c.core.HandleDisconnect(proxy.stream, &controlstream.CloseError{Reason: controlstream.ReasonConnectionLost})
	proxy.disconnect(c.step)
}

// grantToOtherPlanner makes a free proxy grant a lease to another planner at random, and makes the proxy report when that
// lease begins or expires.
func (c *simulation) grantToOtherPlanner(proxy *fakeProxy) {
	const chance, leaseMs = 0.01, 1500
	expired := proxy.lease.SetTime(c.now())
	taken := proxy.lease.Controller == "" && c.random.Float64() < chance &&
		proxy.lease.Grant(otherPlannerName, otherPlannerIncarnation, proxy.lease.Epoch+1, leaseMs)
	if (expired || taken) && proxy.stream != nil {
		c.core.HandleLease(proxy.stream, proxy.leaseState())
	}
}

func (c *simulation) advance() {
	const stepsPerSecond = 1000 / stepMs
	c.core.SetTime(c.now(), time.UnixMilli(unixOriginMs+int64(c.now())))
	if c.step == 0 {
		c.sendFullList(1)
	}
	if c.step%stepsPerSecond == 0 {
		if fault := faults[c.step/stepsPerSecond]; fault != nil {
			fault(c)
		}
	}
	for number, proxy := range c.proxies {
		if c.shared {
			c.grantToOtherPlanner(proxy)
		}
		if proxy.stream == nil && c.step >= proxy.redialStep {
			c.connect(proxy)
		}
		if proxy.stream == nil || proxy.silent {
			continue
		}
		c.core.HandleHeartbeat(proxy.stream)
		c.answer(proxy)
		if proxy.stream != nil && (c.step+3*number)%stepsPerSecond == 0 {
			c.report(proxy)
		}
	}
	for c.core.Next(c) {
	}
	c.step++
}

// TestGoldenCore compares all decisions of a planner core with golden files in two simulations: one with a single
// planner, and one with a planner that shares its fleet with another.
func TestGoldenCore(t *testing.T) {
	for name, variant := range map[string]struct {
		more   string
		shared bool
	}{
		"alone":  {"", false},
		"shared": {`planners: 2 sharing { store: "x" }`, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newSimulation(t, name, variant.more, variant.shared)
			for c.now() < simulatedMs {
				c.advance()
			}
			golden.Check(t, "testdata/core-"+name+".golden.txt", c.digest.Finish(simulatedMs))
			checkCoverage(t, c)
		})
	}
}

// checkCoverage checks that the simulation still leads to enough decisions and to the scripted closes of streams.
func checkCoverage(t *testing.T, c *simulation) {
	t.Helper()
	counts := c.core.Counts
	if counts.Messages < 50 || counts.Entries < 500 || counts.LoadReports < 100 {
		t.Errorf("too few decisions: %+v", counts)
	}
	if c.shared && counts.EpochReservations == 0 {
		t.Error("no epochs were reserved")
	}
	if !c.shared && (counts.Closes[controlstream.ReasonAckTimeout] == 0 || counts.Closes[controlstream.ReasonNameInUse] == 0 || counts.Closes[controlstream.ReasonSuperseded] < 2) {
		t.Errorf("streams were not closed for the scripted reasons: %v", counts.Closes)
	}
}
