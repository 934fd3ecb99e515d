package proxy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/golden"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	runMs                       = 20_000.0
	digestIntervalMs            = 1000.0 // time covered by each line of a golden file, in ms
	reportIntervalMs            = 1000.0
	orderIntervalMs             = 150.0
	leaseRequestIntervalMs      = 700.0
	leaseDurationMs             = 1200
	requestIntervalMs           = 5.0
	serverCount                 = 9
	classCount                  = 4
	tableCount                  = 3
	maxRetryMode                = 3
	seed                        = 20261202
	failureProbability          = 0.25
	partialAdmissionProbability = 0.2
	welcomeProbability          = 0.03
)

const proxySettings = `name: "edge-1" listen: "127.0.0.1:0" planners: "127.0.0.1:1" sharing: true seed: 3
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "start" latency_budget: "1s" expiry: "2.5s" repeat: DEDUPED }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" repeat: NON_RETRIABLE }
groups { name: "read" latency_budget: "100ms" expiry: "300ms" repeat: RETRIABLE }
standing: "10.0.0.1:80" standing: "10.0.0.2:80"
`

// openAttempt is an attempt in flight.
type openAttempt struct {
	request *proxy.Request
	server  string
	sentMs  float64
	limitMs float64
}

// simulation runs a Core with a planner and clients whose actions are random, from a fixed seed.
type simulation struct {
	t        *testing.T
	core     *proxy.Core
	digest   *golden.Digest
	random   *rand.Rand
	nowMs    float64
	message  uint64
	attempts []openAttempt
}

func serverName(number int) string { return fmt.Sprintf("10.0.0.%d:80", number) }

func newSimulation(t *testing.T, name, extraSettings string) *simulation {
	t.Helper()
	configuration := &pb.Proxy{}
	if err := settings.Parse(name, []byte(proxySettings+extraSettings), configuration); err != nil {
		t.Fatal(err)
	}
	return &simulation{
		t:      t,
		core:   proxy.NewCore(configuration, 0),
		digest: golden.NewDigest(name, digestIntervalMs),
		random: rand.New(rand.NewSource(seed)),
	}
}

func (c *simulation) log(format string, args ...any) { c.digest.Add(c.nowMs, format, args...) }

func (c *simulation) logMessage(what string, message proto.Message) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		c.t.Fatal(err)
	}
	c.log("%s %x", what, body)
}

func (c *simulation) randomServer() string { return serverName(c.random.Intn(serverCount)) }

func (c *simulation) randomAdmission() *order.Level {
	level := &order.Level{Group: uint32(c.random.Intn(classCount)), Share: 1, Retry: uint32(c.random.Intn(maxRetryMode + 1))}
	if c.random.Float64() < partialAdmissionProbability {
		level.Share = c.random.Float64()
	}
	return level
}

func (c *simulation) randomAssignment() *order.Bind {
	bind := &order.Bind{Table: uint32(c.random.Intn(tableCount)), Levels: []*order.Level{c.randomAdmission()}}
	for class := range classCount {
		if c.random.Intn(2) == 0 {
			bind.Groups = append(bind.Groups, uint32(class))
		}
	}
	for _, number := range c.random.Perm(serverCount)[:5] {
		bind.Lines = append(bind.Lines, &order.Line{Server: serverName(number), Weight: c.random.Float64()})
	}
	if c.random.Intn(3) == 0 {
		server := c.randomServer()
		bind.Withdrawn, bind.Going = []string{server}, []string{server}
	}
	return bind
}

func (c *simulation) randomOrder() *order.Order {
	switch c.random.Intn(6) {
	case 0:
		return &order.Order{What: &order.Order_Bind{Bind: c.randomAssignment()}}
	case 1, 2:
		entry := &order.SetLine{Table: uint32(c.random.Intn(tableCount)), Line: &order.Line{Server: c.randomServer()}}
		if c.random.Intn(4) > 0 {
			entry.Line.Weight = c.random.Float64()
		}
		entry.Forget = c.random.Intn(4) == 0
		return &order.Order{What: &order.Order_Line{Line: entry}}
	case 3:
		ejection := &order.Withdraw{Server: c.randomServer(), Out: c.random.Intn(3) == 0}
		ejection.Going = ejection.Out && c.random.Intn(2) == 0
		return &order.Order{What: &order.Order_Withdraw{Withdraw: ejection}}
	case 4:
		return &order.Order{What: &order.Order_Level{Level: c.randomAdmission()}}
	default:
		return &order.Order{What: &order.Order_Receipt{Receipt: uint32(c.message)}}
	}
}

// sendOrders applies a random Orders message or, more rarely, starts a new session with a Welcome.
func (c *simulation) sendOrders() {
	if c.random.Float64() < welcomeProbability {
		c.core.StartSession(&order.Welcome{Withdrawn: []string{c.randomServer()}})
		c.log("welcome")
		return
	}
	c.message++
	message := &order.Orders{Number: c.message, Incarnation: 1, Epoch: c.message / 8}
	for range 1 + c.random.Intn(3) {
		message.Orders = append(message.Orders, c.randomOrder())
	}
	c.log("obeys %t", c.core.AcceptsOrders(c.nowMs, "planner-1", message))
	c.core.RecordOrders(c.nowMs)
	c.log("receipts %v", c.core.ApplyOrders(message))
}

func (c *simulation) requestLease() {
	request := &order.Claim{
		Controller:  []string{"planner-1", "planner-2"}[c.random.Intn(2)],
		Epoch:       c.message/8 + uint64(c.random.Intn(2)),
		Incarnation: 1,
		LeaseMs:     leaseDurationMs,
	}
	granted, newlyGranted := c.core.HandleLeaseRequest(c.nowMs, request)
	c.log("granted %t, fresh %t", granted, newlyGranted)
	c.logMessage("lease", c.core.LeaseState(c.nowMs, newlyGranted))
}

func (c *simulation) request() {
	class := c.random.Intn(classCount)
	request, admitted := c.core.Admit(c.nowMs, class)
	c.log("class %d admitted %t", class, admitted)
	if admitted {
		c.attempt(request)
	}
}

func (c *simulation) attempt(request *proxy.Request) {
	server, limitMs, found := c.core.Pick(c.nowMs, request)
	c.log("attempt %d goes to %q for %g ms", request.Attempts, server, limitMs)
	if !found {
		c.core.RecordNoServer(request)
		return
	}
	c.attempts = append(c.attempts, openAttempt{request, server, c.nowMs, limitMs})
}

// finish ends a random open attempt. The attempt fails if it has reached its time limit; otherwise its outcome is random.
func (c *simulation) finish() {
	if len(c.attempts) == 0 {
		return
	}
	index := c.random.Intn(len(c.attempts))
	attempt := c.attempts[index]
	c.attempts = append(c.attempts[:index], c.attempts[index+1:]...)
	outcome := proxy.Succeeded
	tookMs := c.nowMs - attempt.sentMs
	switch {
	case tookMs >= attempt.limitMs:
		outcome = proxy.Failed
	case c.random.Float64() < failureProbability:
		outcome = []proxy.Outcome{proxy.Unprocessed, proxy.Failed}[c.random.Intn(2)]
	}
	retry := c.core.FinishAttempt(c.nowMs, attempt.request, attempt.server, outcome, tookMs)
	c.log("attempt at %s ends, retry %t", attempt.server, retry)
	if retry {
		c.attempt(attempt.request)
	}
}

// every reports whether the current time is a multiple of an interval.
func (c *simulation) every(intervalMs float64) bool {
	return int(c.nowMs)%int(intervalMs) == 0
}

func (c *simulation) advance() {
	c.nowMs += requestIntervalMs
	if c.every(orderIntervalMs) {
		c.sendOrders()
	}
	if c.every(leaseRequestIntervalMs) {
		c.requestLease()
	}
	c.request()
	for c.random.Intn(40) < len(c.attempts) { // the more attempts are open, the likelier it is that one of them ends
		c.finish()
	}
	if c.every(reportIntervalMs) {
		c.logMessage("report", c.core.TakeLoadReport(c.nowMs))
		for _, holding := range c.core.HeldTables() {
			c.logMessage("holds", holding)
		}
		for number := range serverCount {
			c.log("%s held %t", serverName(number), c.core.MayReceive(serverName(number)))
		}
	}
}

// TestGoldenCore compares every decision of a Core in a simulation with a golden file, for each pick method.
func TestGoldenCore(t *testing.T) {
	for _, pick := range []string{"WEIGHTED", "ROUND", "TWO"} {
		t.Run(pick, func(t *testing.T) {
			c := newSimulation(t, pick, "pick: "+pick)
			for c.nowMs < runMs {
				c.advance()
			}
			golden.Check(t, "testdata/core-"+pick+".golden.txt", c.digest.Finish(runMs))
		})
	}
}
