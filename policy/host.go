package policy

// Idempotency says what happens when a flow of a traffic group runs twice.
type Idempotency int

const (
	NonIdempotent Idempotency = iota // must never run twice
	Deduplicated                     // servers of one scope drop a repeat within a window
	Idempotent                       // may run again
)

// Retry modes of Host.Admit.
const (
	RetryNever       = 0
	RetryUnprocessed = 1 // one more try, after proof that the first never ran
	RetryOnce        = 2 // one more try after any failure
	RetryTwice       = 3 // two more tries after any failure
)

// AllTables, as a table number of Host.Admit, means every joined proxy.
const AllTables = 65535

// TrafficClass is one row of the settings' traffic group table.
type TrafficClass struct {
	LatencyObjectiveMs float64 // latency budget
	PriorityWeight     float64
	Idempotency        Idempotency
	SameZoneOnly       bool // may go only to servers of the proxy's zone
}

// Settings are given once, when a planner starts.
type Settings struct {
	Zones                int
	Classes              []TrafficClass
	DefaultRetry         int     // the retry mode of a proxy that was told none
	PartialAdmission     bool    // proxies heed admission levels that are shares
	WatchRequired        bool    // the list comes only to those who ask
	AssumeNotifiedMs     float64 // an unasked list counts as told after this long
	Sharded              bool    // tables are key slices handed out by a store
	EntriesPerSecond     float64 // lines a second that the channel sends when healthy
	MessageOverhead      float64 // lines that a message costs beyond its own
	MaxBacklog           float64 // lines that may wait in the channel
	MaxMessages          int     // messages to one proxy within MessageWindowMs, 0: no limit
	MessageWindowMs      float64
	MaxPropagationMs     float64 // longest way of a message after the channel
	ReportIntervalMs     float64
	ColdCapacity         float64 // share of its capacity that a server starts with
	SlowStartMs          float64 // time after which a server is warm
	DrainGraceMs         float64 // time after which nothing may be sent to a server known to drain
	ColdOverloadWindowMs float64 // window in which a cold server sent too much falls over
	CrossZoneCost        float64 // utility lost by a flow that leaves its zone
	Proxies              int     // proxies of all planners
	Planners             int
	MinServerConnections float64 // connections that the smallest server accepts
	IdleTimeoutMs        float64 // time after which a proxy closes an unused connection
	OmitsEntries         bool    // the host can leave entries out of a table that it assigns, until they are restored
	ReadmitByWeight      bool    // the host ends a withdrawal, where no table holds the server, with the line that brings it back
}

// State of a server in the list.
type State int

const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one server of the list.
type Endpoint struct {
	Server           string
	Zone             int
	State            State
	RelativeCapacity float64 // relative size, comparable across servers
	StartedMs        float64 // latest start, 0: long past
}

// UpdateKind says how a list is meant.
type UpdateKind int

const (
	DeltaUpdate    UpdateKind = iota // only what changed
	FullUpdate                       // every server there is
	RestoredUpdate                   // every server as last held before a restart, perhaps stale
	FailedUpdate                     // a call for the list failed; nothing came
)

// Host carries out decisions. Each method is one decision.
type Host interface {
	SetWeight(table int, server string, weight float64)
	// AssignTable has a proxy go by a table for some traffic classes. Entries of omitted servers are not sent until
	// RestoreServers, the end of an ejection, or SetWeight.
	AssignTable(proxy, table int, groups []int, omitted []string)
	// SetEjected ejects a server, or ends that, at proxies whose tables hold it and, with includeUnassigned, at those
	// that may go by tables of another planner.
	SetEjected(server string, out, includeUnassigned bool)
	// RestoreServers sends a proxy omitted entries, and ends ejections of these servers that another planner may have
	// ordered there. Servers that are ejected here stay so.
	RestoreServers(proxy int, servers []string)
	SetAdmission(table, group int, share float64, retry int)
	RequestAcknowledgement(number int)
	WatchEndpoints()
	SetTimer(inMs float64)
}
