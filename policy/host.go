package policy

// Repeat says what happens when a flow of a traffic group runs twice.
type Repeat int

const (
	NonRetriable Repeat = iota // must never run twice
	Deduped                    // servers of one scope drop a repeat within a window
	Retriable                  // may run again
)

// Retry modes of Host.Admit.
const (
	RetryNever  = 0
	RetryProven = 1 // one more try, after proof that the first never ran
	RetryOnce   = 2 // one more try after any failure
	RetryTwice  = 3 // two more tries after any failure
)

// AllTables, as a table number of Host.Admit, means every joined proxy.
const AllTables = 65535

// TrafficGroup is one row of the settings' traffic group table.
type TrafficGroup struct {
	BudgetMs float64 // latency budget
	Utility  float64
	Repeat   Repeat
	OnlyZone bool // may go only to servers of the proxy's zone
}

// Settings are given once, when a planner starts.
type Settings struct {
	Zones         int
	Groups        []TrafficGroup
	DefaultRetry  int     // the retry mode of a proxy that was told none
	CanAdmit      bool    // proxies heed admission levels that are shares
	MustFollow    bool    // the list comes only to those who ask
	AskWithinMs   float64 // an unasked list counts as told after this long
	Sliced        bool    // tables are key slices handed out by a store
	ChannelRate   float64 // lines a second that the channel sends when healthy
	HeadLines     float64 // lines that a message costs beyond its own
	MostWaiting   float64 // lines that may wait in the channel
	MostMessages  int     // messages to one proxy within MessageSpanMs, 0: no limit
	MessageSpanMs float64
	LongestWayMs  float64 // longest way of a message after the channel
	ReportEveryMs float64
	ColdShare     float64 // share of its capacity that a server starts with
	WarmUpMs      float64 // time after which a server is warm
	GraceMs       float64 // time after which nothing may be sent to a server known to drain
	FallMs        float64 // window in which a cold server sent too much falls over
	CrossPrice    float64 // utility lost by a flow that leaves its zone
	Proxies       int     // proxies of all planners
	Planners      int
	LeastConns    float64 // connections that the smallest server accepts
	IdleMs        float64 // time after which a proxy closes an unused connection
	EndsByLine    bool    // the host ends a withdrawal, where no table holds the server, with the line that brings it back
}

// State of a server in the list.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one server of the list.
type Entry struct {
	Server string
	Zone   int
	State  State
	Size   float64 // relative size, comparable across servers
	BornMs float64 // latest start, 0: long past
}

// ListForm says how a list is meant.
type ListForm int

const (
	Change   ListForm = iota // only what changed
	Whole                    // every server there is
	Restored                 // every server as last held before a restart, perhaps stale
	Failed                   // a call for the list failed; nothing came
)

// Host carries out decisions. Each method is one decision.
type Host interface {
	SetLine(table int, server string, weight float64)
	Bind(proxy, table int, groups []int)
	Withdraw(server string, out bool)
	Admit(table, group int, share float64, retry int)
	Receipt(number int)
	Follow()
	Wake(inMs float64)
}
