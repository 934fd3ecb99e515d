package planner

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestRun(t *testing.T) {
	t.Run("200 proxies that join at once are assigned tables with a bounded backlog", testManyJoins)
	t.Run("the stream of a proxy that stops reading is closed within the grace of a drain", testStoppedReader)
	t.Run("a proxy that dials again replaces its half-open stream", testRedial)
	t.Run("a wall clock that is stepped by an hour forward and back has no effect", testSteppedDate)
	t.Run("a planner that is stopped during joins and reports ends in time and closes its streams", testShutdownUnderLoad)
	t.Run("a policy that panics makes the planner dump its last inputs and return an error", testPolicyFailure)
	t.Run("a restarted planner starts from its saved endpoint list", testSavedEndpoints)
}

func testManyJoins(t *testing.T) {
	t.Parallel()
	const proxies, maxBacklog = 200, 3500
	server := startServer(t, parseTestSettings(t, "proxies: 200 channel { lines: \"5000/s\" }"), nil, 10)
	var all []*testProxy
	for number := range proxies {
		all = append(all, server.join(fmt.Sprint("x", number), 1, 1))
	}
	for _, p := range all {
		eventually(t, "the assignment of a table to each proxy", func() bool { return p.received(isAssignment) })
	}
	last := server.stop()
	if last.MaxBacklog > maxBacklog || last.Joins != proxies || len(last.Closes) != 0 {
		t.Errorf("wrong backlog, joins or closes in the last status: %+v", last)
	}
}

// The stream of each faulty peer must be closed for one reason, which is logged once and counted, without affecting a healthy
// proxy.
func TestFaultyPeer(t *testing.T) {
	for name, variant := range map[string]struct {
		bytes  []byte
		reason controlstream.CloseReason
	}{
		"garbage":                   {[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), controlstream.ReasonBadMagic},
		"half a frame":              {encodeFrame(t, controlstream.FrameJoin, &order.Join{Proxy: "y"})[:15], controlstream.ReasonHandshakeTimeout},
		"nothing":                   {nil, controlstream.ReasonHandshakeTimeout},
		"a join from another zone":  {encodeFrame(t, controlstream.FrameJoin, &order.Join{Proxy: "y", Zone: "mars", Groups: 2}), controlstream.ReasonUnknownPeer},
		"a report before its join":  {encodeFrame(t, controlstream.FrameLoadReport, &order.Sums{}), controlstream.ReasonUnexpectedFrame},
		"a huge size in its header": {[]byte{'L', 'P', 1, 1, 0xff, 0xff, 0xff, 0xff}, controlstream.ReasonBadSize},
		"a name in use":             {encodeFrame(t, controlstream.FrameJoin, &order.Join{Proxy: "healthy", Incarnation: 9, Groups: 2}), controlstream.ReasonNameInUse},
		"a close frame":             {encodeFrame(t, controlstream.FrameClose, &order.Bye{Reason: "never mind"}), controlstream.ReasonPeerClosed},
	} {
		t.Run("a peer that sends "+name, func(t *testing.T) {
			t.Parallel()
			testFaultyPeer(t, variant.bytes, variant.reason)
		})
	}
}

func testFaultyPeer(t *testing.T, bytes []byte, reason controlstream.CloseReason) {
	t.Helper()
	server := startServer(t, parseTestSettings(t, `proxies: 4 streams { join_within: "300ms" }`), nil, 4)
	healthy := server.joinAndAwaitTable("healthy", 1, 1)
	faulty := server.connect()
	if _, err := faulty.conn.Write(bytes); err != nil {
		t.Fatal(err)
	}
	<-faulty.done
	eventually(t, "one log record with the close reason", func() bool {
		return server.log.count("reason=\""+string(reason)+"\"")+server.log.count("reason="+string(reason)+" ") == 1
	})
	select {
	case <-healthy.done:
		t.Error("the stream of the healthy proxy was closed")
	default:
	}
	last := server.stop()
	if last.Closes[reason] != 1 {
		t.Errorf("wrong number of closes by reason: %v", last.Closes)
	}
}

func testStoppedReader(t *testing.T) {
	t.Parallel()
	const drainGrace = 3 * time.Second // default drain grace
	server := startServer(t, parseTestSettings(t, "proxies: 4"), nil, 4)
	stopped := server.joinAndAwaitTable("stopped", 1, 1)
	healthy := server.joinAndAwaitTable("healthy", 1, 1)
	time.Sleep(time.Second)
	stopped.paused.Store(true)
	begun := time.Now()
	server.source <- stateChange("s0", policy.Draining)
	eventually(t, "the ejection at the healthy proxy", func() bool { return healthy.received(isEjectionOf("s0")) })
	eventually(t, "the log record of the closed stream", func() bool { return server.log.count("reason=answer") == 1 })
	if took := time.Since(begun); took > drainGrace {
		t.Errorf("the stream was closed after %v, the drain grace is %v", took, drainGrace)
	}
	stopped.paused.Store(false)
	<-stopped.done
}

func testRedial(t *testing.T) {
	t.Parallel()
	server := startServer(t, parseTestSettings(t, "proxies: 4"), nil, 4)
	first := server.joinAndAwaitTable("x", 7, 1)
	server.joinAndAwaitTable("x", 7, 2)
	eventually(t, "the close frame on the first stream", func() bool { return first.isClosedFor(controlstream.ReasonSuperseded) })
}

func testSteppedDate(t *testing.T) {
	t.Parallel()
	const settleTime = 700 * time.Millisecond
	const hourMs = 3600e3
	server := startServer(t, parseTestSettings(t, "proxies: 4"), nil, 0)
	list := func(asOfMs uint64) discovery.Update {
		update := endpointList(4)
		update.AsOfMs = asOfMs
		for number := range update.Endpoints {
			update.Endpoints[number].StartedUnixMs = testUnixOriginMs - 1e8
		}
		return update
	}
	server.source <- list(testUnixOriginMs)
	p := server.joinAndAwaitTable("x", 1, 1)
	server.clock.offset.Store(int64(time.Hour))
	server.source <- list(testUnixOriginMs + hourMs)
	time.Sleep(settleTime)
	server.clock.offset.Store(-int64(time.Hour))
	server.source <- list(testUnixOriginMs - hourMs)
	time.Sleep(settleTime)
	if p.received(func(o *order.Order) bool { return o.GetWithdraw() != nil }) {
		t.Error("a server was ejected")
	}
	last := server.stop()
	if len(last.Closes) != 0 || last.Ready != 4 {
		t.Errorf("wrong closes or number of ready servers in the last status: %+v", last)
	}
}

func testShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	const proxies, reports = 50, 200
	server := startServer(t, parseTestSettings(t, "proxies: 100"), nil, 10)
	var all []*testProxy
	var reporting sync.WaitGroup
	for number := range proxies {
		p := server.join(fmt.Sprint("x", number), 1, 1)
		all = append(all, p)
		reporting.Go(func() {
			for range reports {
				p.send(controlstream.FrameLoadReport, &order.Sums{CoversMs: 5, Servers: []*order.ServerSum{{Server: "s1", Tries: 9, LatencyMs: 3}}})
			}
		})
	}
	eventually(t, "the assignment of a table to the first proxy", func() bool { return all[0].received(isAssignment) })
	server.stop()
	for number, p := range all {
		<-p.done
		if p.closeCause() != nil && !p.isClosedFor(controlstream.ReasonShutdown) {
			t.Errorf("stream %d was closed for another reason: %v", number, p.closeCause())
		}
	}
	reporting.Wait()
}

func testPolicyFailure(t *testing.T) {
	t.Parallel()
	set := parseTestSettings(t, "proxies: 4")
	set.Dump = filepath.Join(t.TempDir(), "dump")
	server := startServer(t, set, panickingPolicy{NewPolicy(set)}, 4)
	server.join("x", 1, 1)
	eventually(t, "the log record of the panic", func() bool { return server.log.count("core failed") > 0 })
	server.cancelAndWait()
	if !errors.Is(server.err, ErrCoreFailed) || !strings.Contains(server.err.Error(), errPolicyPanic.Error()) {
		t.Errorf("wrong error of Run: %v", server.err)
	}
	dump, err := os.ReadFile(set.Dump)
	if err != nil || !strings.Contains(string(dump), "join proxy:\"x\"") {
		t.Errorf("wrong dump, error %v: %.300s", err, dump)
	}
}

func testSavedEndpoints(t *testing.T) {
	t.Parallel()
	set := parseTestSettings(t, "proxies: 4")
	set.List.Keep = filepath.Join(t.TempDir(), "saved")
	first := startServer(t, set, nil, 4)
	first.joinAndAwaitTable("x", 1, 1)
	eventually(t, "a saved endpoint list", func() bool {
		_, err := os.ReadFile(set.List.Keep)
		return err == nil
	})
	first.stop()
	second := startServer(t, set, nil, 0) // the source of this planner sends no list
	second.joinAndAwaitTable("x", 1, 2)
}

// When the core stalls for 2 s under load reports, readers must not wait for the core, because all proxies would then close
// their streams and dial again at once. There must never be more than one waiting report per stream, and no attempt may be
// lost.
func TestStalledCore(t *testing.T) {
	t.Parallel()
	const proxies, reports, attempts, stallMs = 8, 1500, 2, 2000
	set := parseTestSettings(t, `reports { every: "100ms" intake: "100000/s" } streams { silent_after: "20s" }`)
	stalling := &stallingPolicy{Decider: NewPolicy(set), lagging: make(chan bool, 100)}
	server := startServer(t, set, stalling, 6)
	var all []*testProxy
	for number := range proxies {
		all = append(all, server.joinAndAwaitTable(fmt.Sprint("x", number), 1, 1))
	}
	stalling.gate.Lock()
	var sending sync.WaitGroup
	for _, p := range all {
		sending.Go(func() {
			for range reports {
				p.send(controlstream.FrameLoadReport, &order.Sums{CoversMs: 1, Servers: []*order.ServerSum{{Server: "s1", Tries: attempts, LatencyMs: 30}}})
			}
		})
	}
	sending.Wait() // Wait returns although the core takes no reports
	err := clock.Sleep(t.Context(), server.clock, stallMs)
	stalling.gate.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the record of every attempt", func() bool { return stalling.attempts.Load() == attempts*proxies*reports })
	eventually(t, "the start and the end of lagging", func() bool { return len(stalling.lagging) >= 2 })
	begins := <-stalling.lagging
	ends := <-stalling.lagging
	if !begins || ends {
		t.Errorf("lagging is set to %v, then to %v", begins, ends)
	}
	last := server.stop()
	if last.Merged < proxies*reports/2 || last.Lost != 0 || len(last.Closes) != 0 {
		t.Errorf("wrong counts of merged reports, lost samples or closes in the last status: %+v", last)
	}
}
