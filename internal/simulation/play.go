// Package simulation plays a scenario in simulated time. Servers, clients and links are models; planner core, policy and
// proxy core are the product's own, driven through their input methods. It opens no socket, starts no goroutine and reads no
// clock, so that a script with its seed always gives the same result.
//
// All times are in ms since the start of the run. What the models leave out is in docs/simulation.md; a script with a fault
// that they cannot show is refused with an [UnsupportedFaultError].
package simulation

import (
	"math"
	"math/rand"

	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// cooldownMs is how long a run goes on after the last request can end.
const cooldownMs = 1000.0

// Result is the result of a run.
type Result struct {
	Classes       []fake.Tally // by traffic class
	Seconds       []fake.Tally // by second in which a request was due
	Service       float64      // priority weight of requests that succeeded in time, as a part of that of all requests
	Messages      int          // that proxies received from the planner
	Entries       float64      // weight entries in them
	ColdOverloads int          // servers that crashed while warming up, as they were sent too much
	Events        int          // that were simulated
}

// fleet is one run of a script.
type fleet struct {
	eventQueue
	script  *script.Script
	rng     *rand.Rand
	planner *simulatedPlanner
	servers []*server
	proxies []*simulatedProxy
	shares  []float64 // of traffic classes in the requests; they add up to 1

	serversByAddress map[string]*server
	rateFactor       float64 // of requests; changed by faults
	result           Result
	err              error // first failure of the run
}

// Play plays a script once, with one planner whatever the script says. The script must have passed the check of package
// settings; Play does not change it. The error is an [UnsupportedFaultError], or tells why a component could not go on.
func Play(scenario *script.Script) (*Result, error) {
	f := &fleet{
		script:           scenario,
		rng:              rand.New(rand.NewSource(int64(scenario.GetSeed()))),
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
	f.after(warmupMs, func() { f.scheduleRequest(warmupMs, warmupMs+lengthMs) })
	f.runUntil(warmupMs + lengthMs + longestDeadline(scenario) + cooldownMs)
	if f.err != nil {
		return nil, f.err
	}
	f.summarize()
	return &f.result, nil
}

// longestDeadline returns how long requests can be in flight, in ms.
func longestDeadline(scenario *script.Script) float64 {
	longestMs := 0.0
	for _, class := range scenario.Groups {
		longestMs = max(longestMs, settings.Milliseconds(class.Expiry))
	}
	return longestMs
}

// summarize completes the result at the end of the run.
func (f *fleet) summarize() {
	value := 0.0
	maxValue := 0.0
	for _, tally := range f.result.Classes {
		value += tally.Value
		maxValue += tally.MaxValue
	}
	f.result.Service = value / math.Max(maxValue, 1e-9)
	for _, server := range f.servers {
		f.result.ColdOverloads += server.warmUp.Overloads()
	}
	f.result.Events = f.processed
}
