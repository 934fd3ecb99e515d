package policy

// Idempotency states whether a request of a traffic class may run twice.
type Idempotency int

// Idempotency of the requests of a class.
const (
	NonIdempotent Idempotency = iota // a request must never run twice
	Deduplicated                     // servers of one scope ignore repeats with the same idempotency key for some time
	Idempotent                       // a request may run any number of times
)

// Retry modes of Host.SetAdmission.
const (
	RetryNever       = 0
	RetryUnprocessed = 1 // one retry, after proof that the first attempt never ran
	RetryOnce        = 2 // one retry after any failure
	RetryTwice       = 3 // two retries after any failure
)

// AllTables is the table number by which Host.SetAdmission addresses every joined proxy.
const AllTables = 65535

// TrafficClass is a traffic class in the settings. Its index in Settings.Classes is its number.
type TrafficClass struct {
	LatencyObjectiveMs float64
	PriorityWeight     float64 // value of a request that meets the objective, comparable across classes
	Idempotency        Idempotency
	SameZoneOnly       bool // requests may go only to servers in the zone of the proxy
}

// Settings are fixed when a planner starts. The load of the control channel is measured in entries: one is a table entry sent
// to one proxy.
type Settings struct {
	Zones                int // number of zones; they are numbered from 0
	Classes              []TrafficClass
	DefaultRetry         int     // retry mode that proxies use until an order sets another
	PartialAdmission     bool    // proxies support admission rates between 0 and 1
	WatchRequired        bool    // discovery sends the endpoint list only on request
	AssumeNotifiedMs     float64 // time within which an unrequested update of the endpoint list would arrive
	Sharded              bool    // tables are key ranges that a store assigns; the policy makes no tables
	EntriesPerSecond     float64 // rate of the control channel without faults
	MessageOverhead      float64 // cost of a message in entries, in addition to the entries that the message holds
	MaxBacklog           float64 // highest number of entries that may wait in the channel
	MaxMessages          int     // highest number of messages to one proxy within MessageWindowMs; 0: no limit
	MessageWindowMs      float64
	MaxPropagationMs     float64 // longest time that an order takes from the channel to a proxy
	ReportIntervalMs     float64 // time between two load reports of a server
	ColdCapacity         float64 // share of its capacity that a server has when it starts
	SlowStartMs          float64 // time after its start at which a server reaches its full capacity
	DrainGraceMs         float64 // time from the start of a drain after which no request may be sent to the server
	ColdOverloadWindowMs float64 // period over which the load of a cold server counts; too many requests in it make it fail
	CrossZoneCost        float64 // cost of a request that leaves its zone, as a factor of the latency objective
	Proxies              int     // number of proxies of all planners
	Planners             int     // number of planners that share the proxies, including this one
	MinServerConnections float64 // number of connections that the smallest server accepts
	IdleTimeoutMs        float64 // time after which a proxy closes an unused connection
	OmitsEntries         bool    // the host can leave entries out when it assigns a table, and sends them on Host.RestoreServers
	EjectsSingly         bool    // the host can eject servers at a single proxy by Host.EjectServers
	ReadmitByWeight      bool    // the first weight of a server in a proxy's tables ends the server's ejection at this proxy
}

// State is the state of a server in the endpoint list.
type State int

// States, in the order in which a server passes through them.
const (
	Ready State = iota
	Draining
	Removed
)

var stateNames = map[State]string{Ready: "ready", Draining: "draining", Removed: "removed"}

// String returns the state in lower case.
func (s State) String() string { return stateNames[s] }

// Endpoint is a server in the endpoint list.
type Endpoint struct {
	Server           string // name of the server
	Zone             int
	State            State
	RelativeCapacity float64 // capacity of the server, in any unit that is the same for all servers
	StartedMs        float64 // ms; time of the last start of the server; 0: unknown, long ago
}

// UpdateKind states what an update of the endpoint list contains.
type UpdateKind int

// Kinds of updates of the endpoint list.
const (
	DeltaUpdate    UpdateKind = iota // only changed servers
	FullUpdate                       // all servers
	RestoredUpdate                   // all servers as last known before a restart; may be outdated
	FailedUpdate                     // no servers: a poll of the list failed
)

// Host carries out decisions. Each call of a method is one decision, and only Policy.Next makes such calls. A host must not
// modify the slices that it is passed.
type Host interface {
	// SetWeight sets the weight of a server in a table, up to 1, at all proxies that follow the table; a weight of 0 removes
	// the server from it. The first weight of a table creates it.
	SetWeight(table int, server string, weight float64)
	// AssignTable makes a proxy follow a table for some traffic classes. The entries of omitted servers are not sent until
	// RestoreServers, a readmission or SetWeight sends them.
	AssignTable(proxy, table int, classes []int, omitted []string)
	// SetEjected ejects or readmits a server at the proxies whose tables hold it and, with includeUnassigned, at those that
	// may follow tables of another planner.
	SetEjected(server string, ejected, includeUnassigned bool)
	// EjectServers ejects draining or removed servers at one proxy, also those that were not ejected by SetEjected yet. It is
	// called only with Settings.EjectsSingly.
	EjectServers(proxy int, servers []string)
	// RestoreServers sends a proxy the omitted entries of servers, and ends the ejections of these servers that another
	// planner may have ordered at this proxy. Servers that this planner has ejected stay ejected.
	RestoreServers(proxy int, servers []string)
	// SetAdmission sets the share of the requests of a traffic class, from 0 to 1, that the proxies of a table admit, and
	// the retry mode of the class.
	SetAdmission(table, class int, rate float64, retry int)
	// RequestAcknowledgement asks each proxy that is sent a message at this time to acknowledge it with the number. The host
	// passes each answer to Policy.Acknowledge.
	RequestAcknowledgement(number int)
	// WatchEndpoints requests the endpoint list. The host passes the answer to Policy.UpdateEndpoints.
	WatchEndpoints()
	// SetTimer asks that Policy.SetTime and Policy.Next are called after a time in ms, even if there is no input until then.
	SetTimer(inMs float64)
}
