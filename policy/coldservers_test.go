package policy

import (
	"fmt"
	"math"
	"testing"
)

// restartAll lists a new start for the servers of a fleet, but for the first ones.
func (f *fakeHost) restartAll(servers, except int) {
	for _, endpoint := range readyServers(servers)[except:] {
		endpoint.StartedMs = f.nowMs
		f.update(endpoint)
	}
}

// admittedRate returns the requests per second that proxies admit.
func (f *fakeHost) admittedRate() float64 {
	rate := 0.0
	for index, class := range f.planner.admission {
		admitted, ordered := f.admission[index]
		if !ordered {
			admitted = 1
		}
		rate += class.demand * admitted
	}
	return rate
}

// Weights are relative, so servers in slow start that are left alone would get all requests (incident 49e403).
func TestAdmissionIsLimitedWhileMostServersAreCold(t *testing.T) {
	for warm, want := range map[int]float64{0: 0.75, 1: 0.95} {
		t.Run(fmt.Sprint(warm, " warm"), func(t *testing.T) {
			const servers = 10
			f := startFleet(testSettings(), servers)
			f.run(15, healthy)
			usual := f.admittedRate()
			f.restartAll(servers, warm)
			f.run(6, healthy)
			if rate := f.admittedRate(); rate > want*usual || rate < 0.1*usual {
				t.Errorf("%.1f of %.1f requests per second are admitted, want at most %.0f %%", rate, usual, 100*want)
			}
			f.run(30, healthy)
			if rate := f.admittedRate(); rate < 0.99*usual {
				t.Errorf("%.1f of %.1f requests per second are admitted once all servers are warm", rate, usual)
			}
		})
	}
}

// A planner that has just started takes the rate that proxies expect as what the listed servers serve.
func TestRestartedPlannerLimitsColdServers(t *testing.T) {
	f := startPlanner(testSettings())
	list := readyServers(10)
	for index := range list {
		list[index].StartedMs = f.nowMs - 2000
	}
	f.planner.UpdateEndpoints(RestoredUpdate, list)
	for id := range 4 {
		f.planner.AddProxy(id, id%2, 10)
	}
	f.run(2, nil)
	usual := f.planner.totalDemand()
	if rate := f.admittedRate(); rate > 0.8*usual {
		t.Errorf("%.1f of %.1f requests per second are admitted, and all servers are cold", rate, usual)
	}
}

func TestColdServersStayInUseWhileFewAreWarm(t *testing.T) {
	const servers = 10
	f := startFleet(testSettings(), servers)
	f.run(10, healthy)
	f.restartAll(servers, 2)
	f.run(6, healthy)
	f.run(4, func(string) (int, int, float64) { return 10, 6, 300 })
	for _, endpoint := range readyServers(servers) {
		if f.ejected[endpoint.Server] {
			t.Errorf("cold server %s is ejected, and few servers are left", endpoint.Server)
		}
	}
}

func TestServedRateIsForgotten(t *testing.T) {
	var served servedRate
	served.record(1e9, 0)
	served.record(5, servedPeriodMs/2)
	if value := served.value(); value != 1e9 {
		t.Errorf("the highest rate is %g within its period, want 1e9", value)
	}
	served.record(5, 1.5*servedPeriodMs)
	served.record(5, 3*servedPeriodMs)
	if value := served.value(); math.Abs(value-5) > 0 {
		t.Errorf("the highest rate is %g after two periods, want 5", value)
	}
}
