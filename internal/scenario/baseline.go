package scenario

import (
	"slices"

	"lichenpick/internal/planner"
	"lichenpick/policy"
)

const (
	baselineTable  = 0     // table number of the only weight table of a baseline
	baselinePollMs = 200.0 // interval at which a baseline decides even without a new input
)

// baselineDecider is a policy for comparison only. All proxies share one table of all listed servers. The policy applies each
// change of the endpoint list at once. It ejects no server because of errors, sheds no load and does not limit what the planner
// sends.
type baselineDecider struct {
	byCapacity bool // true: weights are the listed capacities; false: all weights are equal
	classes    []int

	endpoints      map[string]policy.Endpoint // endpoints by server
	servers        []string                   // servers in the order in which they were first listed
	sentWeights    map[string]float64         // last weights sent, by server
	ejected        map[string]bool
	unassigned     []int // proxies to which the table is not assigned yet
	timerRequested bool  // a timer was requested since the last call of SetTime
}

var _ planner.Decider = (*baselineDecider)(nil)

// newBaseline returns the decider of a baseline; classCount is the number of traffic classes.
func newBaseline(kind Baseline, classCount int) *baselineDecider {
	decider := &baselineDecider{
		byCapacity:  kind == ListedCapacity,
		endpoints:   map[string]policy.Endpoint{},
		sentWeights: map[string]float64{},
		ejected:     map[string]bool{},
	}
	for class := range classCount {
		decider.classes = append(decider.classes, class)
	}
	return decider
}

// SetTime begins a round of decisions.
func (b *baselineDecider) SetTime(float64) { b.timerRequested = false }

// UpdateEndpoints applies an endpoint list. Servers that a full list lacks are kept.
func (b *baselineDecider) UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind == policy.FailedUpdate {
		return
	}
	for _, endpoint := range list {
		if _, known := b.endpoints[endpoint.Server]; !known {
			b.servers = append(b.servers, endpoint.Server)
		}
		b.endpoints[endpoint.Server] = endpoint
	}
}

// AddProxy queues a proxy, to which Next then assigns the table.
func (b *baselineDecider) AddProxy(proxyID, _ int, _ float64, _ ...float64) {
	b.unassigned = append(b.unassigned, proxyID)
}

// RemoveProxy discards the state of a proxy.
func (b *baselineDecider) RemoveProxy(proxyID int) {
	b.unassigned = slices.DeleteFunc(b.unassigned, func(queued int) bool { return queued == proxyID })
}

// RecordLoadReport does nothing: a baseline ignores load reports.
func (b *baselineDecider) RecordLoadReport(string, int, int, int, float64, float64) {}

// RecordDemandReport does nothing: a baseline ignores demand.
func (b *baselineDecider) RecordDemandReport(int, int, int, int, float64) {}

// Acknowledge does nothing: a baseline waits for no acknowledgement.
func (b *baselineDecider) Acknowledge(int, int, float64) {}

// SetLagging does nothing: a baseline has no deferrable decisions.
func (b *baselineDecider) SetLagging(bool) {}

// UnsentDrains returns 0, as drains are not followed up.
func (b *baselineDecider) UnsentDrains() int { return 0 }

// Next makes at most one decision, passes it to the host, and reports whether there was a decision.
func (b *baselineDecider) Next(host policy.Host) bool {
	for _, server := range b.servers {
		if b.updateServer(host, server) {
			return true
		}
	}
	if len(b.unassigned) > 0 && len(b.sentWeights) > 0 {
		proxyID := b.unassigned[0]
		b.unassigned = b.unassigned[1:]
		host.AssignTable(proxyID, baselineTable, b.classes, nil)
		return true
	}
	if !b.timerRequested {
		b.timerRequested = true
		host.SetTimer(baselinePollMs)
		return true
	}
	return false
}

// updateServer passes the next decision about a server to the host, and reports whether there was a decision.
func (b *baselineDecider) updateServer(host policy.Host, server string) bool {
	endpoint := b.endpoints[server]
	if endpoint.State != policy.Ready {
		if b.ejected[server] {
			return false
		}
		b.ejected[server] = true
		host.SetEjected(server, true, true)
		return true
	}
	weight := 1.0
	if b.byCapacity {
		weight = endpoint.RelativeCapacity
	}
	if b.sentWeights[server] != weight {
		b.sentWeights[server] = weight
		host.SetWeight(baselineTable, server, weight)
		return true
	}
	if b.ejected[server] {
		delete(b.ejected, server)
		host.SetEjected(server, false, true)
		return true
	}
	return false
}
