package platform

import (
	"fmt"
	"strings"
	"testing"

	"lichenpick/policy"
)

// Guards against a planner that answers and orders nothing: after one demand report over 1e-310 ms, or one load report with a
// mean of 1e-310 ms, every solve panicked or had NaN shares, and proxies never learned of drains.
func TestAbsurdReportDoesNotStopOrders(t *testing.T) {
	for _, line := range []string{
		"usage id=3 lane=order count=1 fail=0 over=1e-310",
		"usage id=3 lane=order count=1 fail=0 over=0",
		"usage id=3 lane=order count=10000000 fail=0 over=1e-300",
		"heard site=a target=s-1 count=9 fail=0 mean=1e-310 over=1000",
		"heard site=a target=s-1 count=9 fail=0 mean=100 over=1e-310",
	} {
		t.Run(line, func(t *testing.T) {
			h := startCore(t)
			connection := h.join(3)
			collector := h.connect("collector site=a")
			h.advance(1000)
			h.receive(collector, line)
			if h.Counts.RejectedMessages != 1 {
				t.Errorf("%d messages were rejected, want 1", h.Counts.RejectedMessages)
			}
			for range 10 {
				h.advance(1000)
				h.acknowledge(connection, 3)
				for index := range testServers {
					h.receive(collector, fmt.Sprintf("heard site=a target=s-%d count=9 fail=0 mean=100 over=1000", index))
				}
			}
			h.UpdateEndpoints(policy.DeltaUpdate, testEndpoints(1, policy.Draining))
			h.advance(1500)
			if sent := h.sent[connection]; !strings.Contains(sent, "drop=s-0") || strings.Contains(sent, "NaN") {
				t.Errorf("the drain was not ordered, or a weight is no number: %q", sent)
			}
		})
	}
}
