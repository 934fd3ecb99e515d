// Package simulation plays a scenario in simulated time. Servers, clients and links are models; the planner core, the policy and
// the proxy core are the product's own code, driven through their input methods. The package opens no socket, starts no
// goroutine and reads no clock, so that a script with the same seed always gives the same result.
//
// All times are in ms since the start of the run. docs/simulation.md describes what the models leave out. A script with a
// fault that the models cannot simulate is refused with an [UnsupportedFaultError].
package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/eventqueue"
	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// cooldownMs is the time for which a run continues after the deadline of the last request.
const cooldownMs = 1000.0

// Result is the outcome of a run.
type Result struct {
	Classes       []fake.Tally // requests by traffic class
	Seconds       []fake.Tally // requests by the second in which they were due, from the start of the load
	Service       float64      // priority weight of requests that succeeded in time, as a fraction of the weight of all requests
	Messages      int          // messages with orders that proxies received from the planner
	Entries       float64      // weight entries that the planner counted in the messages to proxies
	ColdOverloads int          // crashes of servers that received too much work while warming up
	Events        int          // number of simulated events
}

// fleet is the state of one run of a script.
type fleet struct {
	eventqueue.Queue
	script  *script.Script
	random  *rand.Rand
	planner *simulatedPlanner
	servers []*server
	proxies []*simulatedProxy
	shares  []float64 // fraction of the requests in each traffic class; the sum is 1

	serversByAddress map[string]*server
	rateFactor       float64 // factor by which the request rate is multiplied; changed by faults
	result           Result
	err              error // first error of the run
}

// Play plays a script once. It always uses one planner, even if the script states another number of planners. The script must
// have been validated by package settings, and Play does not change the script. The error is an [UnsupportedFaultError] or the
// failure of a component.
func Play(scenario *script.Script) (*Result, error) {
	f := &fleet{
		script:           scenario,
		random:           rand.New(rand.NewSource(int64(scenario.GetSeed()))),
		serversByAddress: map[string]*server{},
		rateFactor:       1,
	}
	if err := f.build(); err != nil {
		return nil, err
	}
	warmupMs := settings.Milliseconds(scenario.Warm)
	lengthMs := settings.Milliseconds(scenario.Length)
	for _, fault := range scenario.Troubles {
		if err := f.scheduleFault(fault, warmupMs); err != nil {
			return nil, err
		}
	}
	f.result.Classes = make([]fake.Tally, len(scenario.Groups))
	f.result.Seconds = make([]fake.Tally, int(lengthMs/1000)+1)
	f.After(warmupMs, func() { f.scheduleRequest(warmupMs, warmupMs+lengthMs) })
	f.RunUntil(warmupMs + lengthMs + longestDeadline(scenario) + cooldownMs)
	if f.err != nil {
		return nil, f.err
	}
	f.summarize()
	return &f.result, nil
}

// longestDeadline returns the longest request deadline of all traffic classes, in ms.
func longestDeadline(scenario *script.Script) float64 {
	longestMs := 0.0
	for _, class := range scenario.Groups {
		longestMs = max(longestMs, settings.Milliseconds(class.Expiry))
	}
	return longestMs
}

// summarize computes the totals of the result at the end of the run.
func (f *fleet) summarize() {
	value := 0.0
	maxValue := 0.0
	for _, tally := range f.result.Classes {
		value += tally.Value
		maxValue += tally.MaxValue
	}
	f.result.Service = value / math.Max(maxValue, 1e-9)
	for _, server := range f.servers {
		f.result.ColdOverloads += server.WarmUp().Overloads()
	}
	f.result.Events = f.Processed()
}
