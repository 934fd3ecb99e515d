package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

const (
	testOriginMs = 1.8e12 // Unix ms at the start of a test; as large as real times
	testStepMs   = 50.0   // ms between evaluations
	testServers  = 8
)

const testSettings = `{"Azs":["a","b"],"Balancers":2,"PeriodMs":2,"Classes":[
 {"Name":"lookup","AimMs":600,"Worth":1,"Repeat":"read_like"},{"Name":"order","AimMs":800,"Worth":2,"Repeat":"non_idempotent"}],
 "FamilyInfo":{"Admit":"share","ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"DefaultRetry":1,"PushesAllowed":20,
 "ReloadSpanMs":10000,"ReportEveryMs":1000,"TransitMaxMs":900,"DataPlaneSize":8,"SmallestConnTable":300},
 "Rules":{"ColdShare":0.3,"WarmUpMs":8000,"FallMs":3000,"StopSendingWithinMs":3000},"Limits":{"ConnIdleMs":15000}}`

func readTestSettings(t testing.TB) simulator.Settings {
	t.Helper()
	site, err := simulator.ReadSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// testHost is a core with a Host that records what each connection was sent, and whether and why it was closed.
type testHost struct {
	*Core
	t       testing.TB
	atMs    float64 // ms since the start
	sent    map[*Connection]string
	closed  map[*Connection]bool
	reasons map[*Connection]CloseReason
}

// newTestHost creates a core with a number of servers, all ready, in alternating zones.
func newTestHost(t testing.TB, site simulator.Settings, servers int) *testHost {
	t.Helper()
	h := &testHost{
		Core:    NewCore(site, 7, testOriginMs),
		t:       t,
		sent:    map[*Connection]string{},
		closed:  map[*Connection]bool{},
		reasons: map[*Connection]CloseReason{},
	}
	h.UpdateEndpoints(policy.RestoredUpdate, testEndpoints(servers, policy.Ready))
	return h
}

func startCore(t testing.TB) *testHost {
	t.Helper()
	return newTestHost(t, readTestSettings(t), testServers)
}

func testEndpoints(count int, state policy.State) []policy.Endpoint {
	var list []policy.Endpoint
	for index := range count {
		list = append(list, policy.Endpoint{Server: fmt.Sprintf("s-%d", index), Zone: index % 2, RelativeCapacity: 1, State: state})
	}
	return list
}

func (h *testHost) Send(connection *Connection, messages []byte) {
	h.sent[connection] += string(messages)
}

func (h *testHost) CloseConnection(connection *Connection, reason CloseReason, _ error) {
	h.closed[connection] = true
	h.reasons[connection] = reason
}

func (h *testHost) SetTimer(float64) {}

// advance lets time pass. It evaluates the core every testStepMs, and at the end of that time.
func (h *testHost) advance(ms float64) {
	endMs := h.atMs + ms
	for {
		h.SetTime(testOriginMs + h.atMs)
		for h.Next(h) {
			continue
		}
		if h.atMs >= endMs {
			return
		}
		h.atMs = min(h.atMs+testStepMs, endMs)
	}
}

// connect opens a connection whose peer sends some messages.
func (h *testHost) connect(messages ...string) *Connection {
	connection := &Connection{}
	h.SetTime(testOriginMs + h.atMs)
	h.HandleConnect(connection)
	h.receive(connection, messages...)
	return connection
}

// receive passes messages to the core, and evaluates it.
func (h *testHost) receive(connection *Connection, messages ...string) {
	h.SetTime(testOriginMs + h.atMs)
	for _, message := range messages {
		h.HandleData(connection, []byte(message+lineEnd))
	}
	h.advance(0)
}

func (h *testHost) join(id int) *Connection {
	return h.connect(fmt.Sprintf("joined id=%d site=a rps=10 new=1", id))
}

// acknowledge sends all outstanding acknowledgements of a proxy.
func (h *testHost) acknowledge(connection *Connection, id int) {
	for _, request := range slices.Clone(connection.proxy.unacknowledged) {
		h.receive(connection, fmt.Sprintf("applied id=%d seq=%d ms=300", id, request.number))
	}
}

// demandMessage returns a valid demand report of a proxy.
func demandMessage(id int) string {
	return fmt.Sprintf("usage id=%d lane=lookup count=1 fail=0 over=1000", id)
}

// zoneNames are the zones of testSettings.
var zoneNames = []string{"a", "b"}

func TestJoinedProxyIsServed(t *testing.T) {
	h := startCore(t)
	connection := h.join(3)
	h.advance(1000)
	sent := h.sent[connection]
	if strings.Count(sent, "replace=1") != 1 || !strings.Contains(sent, "rows=s-") || !strings.Contains(sent, " stamp=") {
		t.Fatalf("no complete table with a request for an acknowledgement: %q", sent)
	}
	if !strings.Contains(sent, "update for=order gate=1 again=1") && strings.Contains(sent, "again=2") {
		t.Errorf("requests of a non-idempotent class may be retried after any failure: %q", sent)
	}
	t.Run("its acknowledgement reaches the policy", func(t *testing.T) {
		h.acknowledge(connection, 3)
		if len(connection.proxy.unacknowledged) != 0 || h.Counts.Acknowledgements == 0 || h.Counts.RejectedMessages > 0 {
			t.Errorf("acknowledgements missing or rejected: %+v", h.Counts)
		}
	})
	t.Run("each update consists of complete lines, with part=1 on all but the last", func(t *testing.T) {
		checkUpdateLines(t, sent)
	})
	t.Run("a demand report may have more failures than requests", func(t *testing.T) {
		before := h.Counts
		h.receive(connection, "usage id=3 lane=lookup count=0 fail=2 over=1000.0")
		if h.Counts.DemandReports != before.DemandReports+1 || h.Counts.RejectedMessages != before.RejectedMessages {
			t.Errorf("report not accepted: %+v", h.Counts)
		}
	})
	t.Run("a draining server is ejected or removed within the drain grace", func(t *testing.T) {
		h.SetTime(testOriginMs + h.atMs)
		h.UpdateEndpoints(policy.DeltaUpdate, testEndpoints(1, policy.Draining))
		h.advance(1500)
		if !strings.Contains(h.sent[connection], "drop=s-0") && !strings.Contains(h.sent[connection], "s-0:0") {
			t.Errorf("no update ejects or removes the server: %q", h.sent[connection])
		}
	})
}

func checkUpdateLines(t *testing.T, sent string) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(sent, lineEnd), lineEnd)
	for _, line := range lines {
		if !strings.HasPrefix(line, wireUpdate+" ") || strings.Contains(line, "  ") {
			t.Errorf("malformed line of an update: %q", line)
		}
	}
	if strings.Contains(lines[len(lines)-1], "part=") {
		t.Errorf("the last part announces another one: %q", lines[len(lines)-1])
	}
}
