package policy

// Idempotency says what happens when a request of a traffic class runs twice.
type Idempotency int

// What a class's requests are.
const (
	NonIdempotent Idempotency = iota // must never run twice
	Deduplicated                     // servers of one scope ignore a repeat within a window, by idempotency key
	Idempotent                       // may run again
)

// Retry modes of Host.SetAdmission.
const (
	RetryNever       = 0
	RetryUnprocessed = 1 // one retry, after proof that the first attempt never ran
	RetryOnce        = 2 // one retry after any failure
	RetryTwice       = 3 // two retries after any failure
)

// AllTables is the table number that means every joined proxy to Host.SetAdmission.
const AllTables = 65535

// TrafficClass is what the settings say of a traffic class. Its index there is its number.
type TrafficClass struct {
	LatencyObjectiveMs float64
	PriorityWeight     float64 // what a request within the objective is worth, comparable across classes
	Idempotency        Idempotency
	SameZoneOnly       bool // may go only to servers of the proxy's zone
}

// Settings are given once, when a planner starts. A table entry sent to one proxy is the unit of the channel.
type Settings struct {
	Zones                int // numbered from 0
	Classes              []TrafficClass
	DefaultRetry         int     // the retry mode of a proxy that no order has reached
	PartialAdmission     bool    // proxies heed admission rates between 0 and 1
	WatchRequired        bool    // the endpoint list comes only to those who ask
	AssumeNotifiedMs     float64 // a list that comes by itself counts as received after this long
	Sharded              bool    // tables are key ranges handed out by a store; the policy has none of its own
	EntriesPerSecond     float64 // that the channel sends when healthy
	MessageOverhead      float64 // entries that a message costs beyond its own
	MaxBacklog           float64 // entries that may wait in the channel
	MaxMessages          int     // messages to one proxy within MessageWindowMs, 0: no limit
	MessageWindowMs      float64
	MaxPropagationMs     float64 // longest way of a message after the channel
	ReportIntervalMs     float64 // between two load reports of a server
	ColdCapacity         float64 // part of its capacity that a server starts with
	SlowStartMs          float64 // time after which a server is warm
	DrainGraceMs         float64 // time after which nothing may be sent to a server known to drain
	ColdOverloadWindowMs float64 // window in which a cold server with too many requests fails
	CrossZoneCost        float64 // of a request that leaves its zone, in parts of the latency objective
	Proxies              int     // of all planners
	Planners             int     // that share the proxies, this one included
	MinServerConnections float64 // that the smallest server accepts
	IdleTimeoutMs        float64 // time after which a proxy closes an unused connection
	OmitsEntries         bool    // the host can leave entries out of a table that it assigns, until they are restored
	ReadmitByWeight      bool    // the host ends an ejection with the first weight, where no table holds the server
}

// State of a server in the endpoint list.
type State int

// States in the order in which a server takes them on.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one server of the list.
type Endpoint struct {
	Server           string // its name
	Zone             int
	State            State
	RelativeCapacity float64 // comparable across servers, in any unit
	StartedMs        float64 // its last start, 0: long past
}

// UpdateKind says what an update of the list holds.
type UpdateKind int

// Kinds of updates.
const (
	DeltaUpdate    UpdateKind = iota // only what changed
	FullUpdate                       // every server there is
	RestoredUpdate                   // every server as last held before a restart, perhaps stale
	FailedUpdate                     // nothing: a poll failed
)

// Host carries out decisions. Each method is one decision, and is called by Policy.Next alone. A host must not change the
// slices that it is given.
type Host interface {
	// SetWeight sets the weight of a server in a table, above 0 to 1; with 0 it leaves the table. It goes to all proxies
	// that follow the table, and a table exists from its first weight on.
	SetWeight(table int, server string, weight float64)
	// AssignTable has a proxy follow a table for some traffic classes. Entries of omitted servers are not sent until
	// RestoreServers, the end of an ejection, or SetWeight.
	AssignTable(proxy, table int, classes []int, omitted []string)
	// SetEjected ejects a server, or ends that, at proxies whose tables hold it and, with includeUnassigned, at those
	// that may follow tables of another planner.
	SetEjected(server string, ejected, includeUnassigned bool)
	// RestoreServers sends a proxy omitted entries, and ends ejections of these servers that another planner may have
	// ordered there. Servers that are ejected here stay so.
	RestoreServers(proxy int, servers []string)
	// SetAdmission sets the part, 0 to 1, that proxies of a table admit of a traffic class, and its retry mode.
	SetAdmission(table, class int, rate float64, retry int)
	// RequestAcknowledgement asks each proxy that has a message at this time to acknowledge it with the number, which
	// Policy.Acknowledge is then called with.
	RequestAcknowledgement(number int)
	// WatchEndpoints asks for the endpoint list, which Policy.UpdateEndpoints is then called with.
	WatchEndpoints()
	// SetTimer has Policy.SetTime and Policy.Next called after a time in ms, whatever else happens.
	SetTimer(inMs float64)
}
