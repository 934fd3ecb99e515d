package scenario

import (
	"lichenpick/internal/planner"
	"lichenpick/policy"
)

// editingDecider wraps a policy and changes the policy's decisions before the planner receives them, to act as a defective
// policy. It is the planner.Decider of the planner and the policy.Host of the wrapped policy. Functions that are nil change
// nothing.
type editingDecider struct {
	planner.Decider
	host     policy.Host     // the planner's own Host, which gets the decisions after any change
	cold     map[string]bool // servers with a start time in the endpoint list
	newRound bool            // the next call of Next is the first since the last call of SetTime

	editWeight   func(d *editingDecider, table int, server string, weight float64)
	editEjection func(d *editingDecider, server string, ejected bool)
	beforeRound  func(d *editingDecider) // called by the first call of Next after each call of SetTime
}

// editDecisions returns a hook that wraps a policy in an editingDecider and calls configure to set its functions.
func editDecisions(configure func(d *editingDecider)) func(planner.Decider) planner.Decider {
	return func(wrapped planner.Decider) planner.Decider {
		decider := &editingDecider{Decider: wrapped, cold: map[string]bool{}}
		configure(decider)
		return decider
	}
}

func (d *editingDecider) SetTime(nowMs float64) {
	d.newRound = true
	d.Decider.SetTime(nowMs)
}

func (d *editingDecider) UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		d.cold[endpoint.Server] = endpoint.StartedMs > 0
	}
	d.Decider.UpdateEndpoints(kind, list)
}

func (d *editingDecider) Next(host policy.Host) bool {
	d.host = host
	if d.newRound && d.beforeRound != nil {
		d.newRound = false
		d.beforeRound(d)
	}
	return d.Decider.Next(d)
}

func (d *editingDecider) SetWeight(table int, server string, weight float64) {
	if d.editWeight != nil {
		d.editWeight(d, table, server, weight)
		return
	}
	d.host.SetWeight(table, server, weight)
}

func (d *editingDecider) EjectServers(proxyID int, servers []string) {
	if d.editEjection == nil {
		d.host.EjectServers(proxyID, servers)
		return
	}
	for _, server := range servers {
		d.editEjection(d, server, true)
	}
}

func (d *editingDecider) RestoreServers(proxyID int, servers []string) {
	d.host.RestoreServers(proxyID, servers)
}

func (d *editingDecider) SetEjected(server string, ejected, includeUnassigned bool) {
	if d.editEjection != nil {
		d.editEjection(d, server, ejected)
		return
	}
	d.host.SetEjected(server, ejected, includeUnassigned)
}

func (d *editingDecider) SetAdmission(table, class int, share float64, retry int) {
	d.host.SetAdmission(table, class, share, retry)
}

func (d *editingDecider) AssignTable(proxyID, table int, classes []int, omitted []string) {
	d.host.AssignTable(proxyID, table, classes, omitted)
}

func (d *editingDecider) RequestAcknowledgement(number int) { d.host.RequestAcknowledgement(number) }

func (d *editingDecider) WatchEndpoints() { d.host.WatchEndpoints() }

func (d *editingDecider) SetTimer(inMs float64) { d.host.SetTimer(inMs) }
