package simulator

import (
	"fmt"

	"lichenpick/policy"
)

// instance is one planner of the simulator: a policy, and the policy.Host that writes its decisions as actions. The policy
// calls the Host's methods from within Next only.
type instance struct {
	name        string
	policy      *policy.Policy // nil after it panicked: the instance then does nothing more
	actions     *actionWriter  // the adapter's
	timerNumber uint64         // of the last timer
	pending     bool           // got a message in this batch, so its decisions are to be pulled
}

var _ policy.Host = (*instance)(nil)

// runRecovered calls a function that uses the policy. It guards the other instances against a fault of one: a panic is reported
// to the simulator as the instance's crash.
func (i *instance) runRecovered(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.actions.crash(i.name, fmt.Sprint(cause))
			i.policy = nil
		}
	}()
	if i.policy != nil {
		call()
	}
}

// SetWeight writes a change of a table's entry.
func (i *instance) SetWeight(table int, server string, weight float64) {
	i.actions.setWeight(i.name, table, server, weight)
}

// AssignTable writes that a proxy is to use a table for some traffic classes.
func (i *instance) AssignTable(proxy, table int, classes []int, _ []string) {
	i.actions.assignTable(i.name, proxy, table, classes)
}

// SetEjected writes that no proxy may use a server, or may again.
func (i *instance) SetEjected(server string, ejected, _ bool) {
	i.actions.setEjected(i.name, server, ejected)
}

// RestoreServers writes nothing: here the policy never learns of a proxy that holds ejections of another planner.
func (i *instance) RestoreServers(int, []string) {}

// SetAdmission writes which fraction of a class's requests is admitted, and its retry mode.
func (i *instance) SetAdmission(table, class int, fraction float64, retry int) {
	i.actions.setAdmission(i.name, table, class, fraction, retry)
}

// RequestAcknowledgement writes that all proxies are to acknowledge what they were sent so far.
func (i *instance) RequestAcknowledgement(number int) {
	i.actions.requestAcknowledgement(i.name, number)
}

// WatchEndpoints writes that the instance wants the endpoint list.
func (i *instance) WatchEndpoints() { i.actions.watchEndpoints(i.name) }

// SetTimer writes that the instance wants to be called again after some ms.
func (i *instance) SetTimer(delayMs float64) {
	i.timerNumber++
	i.actions.setTimer(i.name, delayMs, i.timerNumber)
}
