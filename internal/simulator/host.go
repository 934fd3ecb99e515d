package simulator

import (
	"fmt"

	"lichenpick/policy"
)

// instance is one planner of the simulator: a policy, and the policy.Host that writes its decisions as actions. The policy
// calls the methods of policy.Host only from within Next.
type instance struct {
	name        string
	policy      *policy.Policy // nil after the policy panicked; the instance then ignores all messages
	actions     *actionWriter  // shared by all instances of the adapter
	timerNumber uint64         // number of the last timer that was set
	pending     bool           // the instance received a message in this batch, so its decisions must be pulled
}

var _ policy.Host = (*instance)(nil)

// runRecovered calls a function that uses the policy, unless the policy has panicked before. It recovers from a panic and
// reports it to the simulator as a crash of this instance, so that the other instances go on.
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

// SetWeight implements policy.Host. It adds to the reply an action that changes the weight of a server in a table.
func (i *instance) SetWeight(table int, server string, weight float64) {
	i.actions.setWeight(i.name, table, server, weight)
}

// AssignTable implements policy.Host. It adds to the reply an action that makes a proxy use a table for some traffic classes.
// The last parameter, the list of omitted servers, is always empty, as the simulator's settings do not set OmitsEntries.
func (i *instance) AssignTable(proxy, table int, classes []int, _ []string) {
	i.actions.assignTable(i.name, proxy, table, classes)
}

// SetEjected implements policy.Host. It adds to the reply an action that makes all proxies eject or readmit a server.
func (i *instance) SetEjected(server string, ejected, _ bool) {
	i.actions.setEjected(i.name, server, ejected)
}

// EjectServers implements policy.Host. It is never called, as the simulator's settings do not set EjectsSingly.
func (i *instance) EjectServers(int, []string) {}

// RestoreServers implements policy.Host. It adds no action to the reply: the simulator never reports a proxy that holds
// ejections of another planner.
func (i *instance) RestoreServers(int, []string) {}

// SetAdmission implements policy.Host. It adds to the reply an action that sets the admission rate and the retry mode of a
// traffic class in a table.
func (i *instance) SetAdmission(table, class int, fraction float64, retry int) {
	i.actions.setAdmission(i.name, table, class, fraction, retry)
}

// RequestAcknowledgement implements policy.Host. It adds to the reply an action that makes all proxies acknowledge the messages
// that this instance has sent to them so far.
func (i *instance) RequestAcknowledgement(number int) {
	i.actions.requestAcknowledgement(i.name, number)
}

// WatchEndpoints implements policy.Host. It adds to the reply an action that requests the endpoint list for the instance.
func (i *instance) WatchEndpoints() { i.actions.watchEndpoints(i.name) }

// SetTimer implements policy.Host. It adds to the reply an action that makes the simulator send a timer message to the instance
// after a delay.
func (i *instance) SetTimer(delayMs float64) {
	i.timerNumber++
	i.actions.setTimer(i.name, delayMs, i.timerNumber)
}
