package planner

import (
	"fmt"
	"testing"

	"lichenpick/proto/order"
)

func TestCoalescedReports(t *testing.T) {
	t.Run("later reports of a connection are merged into the one that waits", testReportsAreMerged)
	t.Run("a waiting report is bounded, and samples beyond its bound are counted as lost", testMergedReportIsBounded)
}

// newTestReport returns a report with a sample of one server and one of a traffic class.
func newTestReport(server string, attempts, failed uint32, latencyMs float64) *order.Sums {
	return &order.Sums{
		CoversMs: 100,
		Servers:  []*order.ServerSum{{Server: server, Tries: attempts, Dropped: failed, LatencyMs: latencyMs}},
		Groups:   []*order.GroupSum{{Group: 1, Came: attempts, Dropped: failed}},
	}
}

func testReportsAreMerged(t *testing.T) {
	reports := newCoalescedReports()
	first := &connection{}
	second := &connection{}
	reports.add(first, newTestReport("s", 4, 1, 10), 5)
	reports.add(second, newTestReport("s", 1, 0, 10), 6)
	reports.add(first, newTestReport("s", 2, 1, 50), 7)
	reports.add(first, newTestReport("z", 1, 1, 0), 8)
	from, report, receivedMs := reports.take()
	if from != first || receivedMs != 5 || report.CoversMs != 300 || len(report.Servers) != 2 {
		t.Errorf("wrong merged report %v, received at %g ms", report, receivedMs)
	}
	if sum := report.Servers[0]; sum.Tries != 6 || sum.Dropped != 2 || sum.LatencyMs != 20 {
		t.Errorf("wrong sum of the server's samples: %v", sum)
	}
	if sum := report.Groups[0]; sum.Came != 7 || sum.Dropped != 3 {
		t.Errorf("wrong sum of the traffic class's samples: %v", sum)
	}
	if from, _, _ := reports.take(); from != second {
		t.Error("the other connection's report is missing")
	}
	if from, _, _ := reports.take(); from != nil {
		t.Error("a third report is returned for two connections")
	}
}

func testMergedReportIsBounded(t *testing.T) {
	const excess = 10
	reports := newCoalescedReports()
	from := &connection{}
	for number := range maxCoalescedSamples + excess {
		reports.add(from, newTestReport(fmt.Sprint(number), 1, 0, 1), 0)
	}
	_, report, _ := reports.take()
	_, lost := reports.counts()
	if len(report.Servers) != maxCoalescedSamples || lost != excess || report.Groups[0].Came != maxCoalescedSamples+excess {
		t.Errorf("merged report has %d servers, %d samples lost and %d requests", len(report.Servers), lost, report.Groups[0].Came)
	}
}
