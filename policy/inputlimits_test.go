package policy

import (
	"fmt"
	"math"
	"testing"
)

// runWithoutDemand advances time by seconds in which no proxy reports its demand. Servers send the given load reports.
func (f *fakeHost) runWithoutDemand(seconds int, reports serverReports) {
	for range seconds {
		f.report(reports)
		for range 5 {
			f.advance(200)
			f.acknowledgeAll()
			f.decide()
		}
	}
}

// absurdInputs are inputs with one number that a test chooses.
var absurdInputs = []struct {
	name  string
	input func(p *Policy, number float64)
}{
	{"period of a demand report", func(p *Policy, number float64) { p.RecordDemandReport(0, 0, 19, 0, number) }},
	{"period of a load report", func(p *Policy, number float64) { p.RecordLoadReport("s0", 0, 5, 0, 100, number) }},
	{"latency", func(p *Policy, number float64) { p.RecordLoadReport("s0", 0, 5, 0, number, 1000) }},
	{"propagation", func(p *Policy, number float64) { p.Acknowledge(0, 1, number) }},
	{"expected rate", func(p *Policy, number float64) {
		p.AddProxy(0, 0, number)
		p.AddProxy(1, 1, number)
	}},
	{"relative capacity", func(p *Policy, number float64) {
		list := readyServers(8)
		for index := range list {
			list[index].RelativeCapacity = number
		}
		p.UpdateEndpoints(DeltaUpdate, list)
	}},
}

// Guards against a planner that one absurd number stops for good: a demand report over 1e-310 ms made the admission rates
// NaN, and after that every solve panicked and no drain was ordered.
func TestAbsurdNumberDoesNotStopDecisions(t *testing.T) {
	numbers := []float64{math.NaN(), -1, 0, math.SmallestNonzeroFloat64, 1e-310, 1e-300, 1e300, math.MaxFloat64, math.Inf(1)}
	for _, absurd := range absurdInputs {
		for _, number := range numbers {
			t.Run(fmt.Sprint(absurd.name, " ", number), func(t *testing.T) {
				f := startFleet(testSettings(), 8)
				f.runWithoutDemand(1, except("s0", 0, 0, 0))
				absurd.input(f.planner, number)
				f.advance(600) // a load report of the input is not merged with the next one
				f.runWithoutDemand(8, healthy)
				f.run(10, healthy)
				f.checkCells(t)
				f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Draining})
				f.run(2, healthy)
				if !f.ejected["s3"] {
					t.Error("a drain 19 s later was not ordered")
				}
				checkNear(t, "admission rate", f.planner.admission[0].target, 1, 0)
				checkNear(t, "share of all ready servers", f.shares(1, "s0", "s1", "s2", "s4", "s5", "s6", "s7"), 1, 1e-9)
			})
		}
	}
}

// checkCells checks that the state that one solve hands to the next is finite.
func (f *fakeHost) checkCells(t *testing.T) {
	t.Helper()
	for _, client := range f.planner.clients {
		for server, cell := range client.cells {
			if sum := cell.alpha + cell.beta + cell.lambda; math.IsNaN(sum) || math.IsInf(sum, 0) {
				t.Errorf("zone %d, server %s: the solver has %+v", client.zone, server.Server, cell)
			}
		}
	}
}

// Guards against an overload that is not shed: the known capacity of the fleet follows the demand that proxies report, so one
// report at the limit of what a platform's message may state makes it 1e7 requests/s, and each cut takes off a fifth of that.
func TestOneLargeReportDoesNotStopAdmissionCuts(t *testing.T) {
	f := startFleet(testSettings(), 8)
	f.run(10, healthy)
	f.planner.RecordDemandReport(0, 0, 1e7, 0, 1000)
	f.run(20, healthy)
	f.run(10, overloaded)
	if rate := f.planner.admission[0].target; rate >= 1 {
		t.Errorf("the admission rate is %g after 10 s of overload, want below 1", rate)
	}
}
