package platform

import (
	"fmt"
	"strings"
	"testing"

	"lichenpick/policy"
)

const settledProxyID = 1

// settle lets time pass, in which proxy settledProxyID acknowledges what it is sent and reports its demand.
func (h *testHost) settle(connection *Connection, seconds int) {
	for range seconds {
		h.advance(1000)
		h.acknowledge(connection, settledProxyID)
		h.receive(connection, demandMessage(settledProxyID))
	}
}

// Guards against proxies without a server to pick (found in the release of incident 49e403): the ejection by an earlier planner of
// a server that is listed again only after the proxy has joined was never ended, although the proxy got an entry of the server.
func TestServerListedAfterJoinIsReadmitted(t *testing.T) {
	server := policy.Endpoint{Server: "s-20", Zone: 0, RelativeCapacity: 1, State: policy.Ready}
	list := func(h *testHost, state policy.State) {
		listed := server
		listed.State = state
		h.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{listed})
	}
	for name, test := range map[string]struct {
		newFlag int
		before  func(h *testHost, connection *Connection)
	}{
		"unknown to a planner that has just started": {0, func(*testHost, *Connection) {}},
		"forgotten by the planner that ejected it": {1, func(h *testHost, connection *Connection) {
			for _, state := range []policy.State{policy.Ready, policy.Draining, policy.Removed} {
				list(h, state)
				h.settle(connection, 10)
			}
			h.atMs += 2 * removedRetentionMs
			h.settle(connection, 10)
			list(h, policy.Removed) // the lists of the policy and of the core forget at a list
			h.settle(connection, 10)
			h.atMs += 2 * removedRetentionMs
			h.settle(connection, 10)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := startCore(t)
			connection := h.connect(fmt.Sprintf("joined id=%d site=a rps=10 new=%d", settledProxyID, test.newFlag))
			h.settle(connection, 5)
			test.before(h, connection)
			if test.newFlag == 1 && !strings.Contains(h.sent[connection], "drop="+server.Server) {
				t.Fatal("the server was not ejected at the proxy, so the test shows nothing")
			}
			h.sent[connection] = ""
			list(h, policy.Ready)
			h.settle(connection, 20)
			entry := strings.Index(h.sent[connection], server.Server+":0.")
			readmission := strings.Index(h.sent[connection], "undrop="+server.Server)
			if entry < 0 || readmission < 0 {
				t.Errorf("entry at %d, readmission at %d of what the proxy was sent: %s", entry, readmission, h.sent[connection])
			}
		})
	}
}
