package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
)

// ClassResult is how the requests of one traffic class ended.
type ClassResult struct {
	Name string
	fake.Tally
	Service float64 // priority weight of requests that succeeded in time, as a fraction of that of all requests
}

// Result is the result of one run of a script. The names in JSON are those of earlier reports, to keep reports comparable.
type Result struct {
	Decider         string
	Service         float64       // as in ClassResult, over all classes
	Classes         []ClassResult `json:"Groups"`
	Seconds         []float64     // service of each second that had requests
	Requests        int           `json:"Asks"`  // from clients to proxies, retries included
	Attempts        int           `json:"Tries"` // from proxies to servers
	Messages        int           // from planners to proxies
	Entries         float64       `json:"Lines"` // weight entries in them
	OrderMsP50      float64       // from the decision of an order to its acknowledgement, the maximum of all planners
	OrderMsP99      float64
	PeakBacklog     float64               `json:"LinesPeak"` // weight entries, as counted by the planners; their maximum
	Violations      []invariant.Violation `json:"Breaches"`  // at most 20 of each rule
	ViolationCounts map[string]int        `json:"Broken"`    // by rule
	Closes          map[string]uint64     `json:"Endings"`   // number of streams that ended at planners, by close reason
	Unparsed        map[string]int        `json:"Unread"`    // what could not be checked, by kind; a run with any has failed
	ColdOverloads   int                   `json:"Fell"`      // crashes of servers that were sent too much work while warming up
	Servers         int
	Proxies         int

	// The next fields are for shared fleets. A takeover is any lease of a proxy after its first one. The times without a
	// leader are in ms, from the last frame of the previous leader to the next lease.
	Takeovers        int
	WithoutLeaderP50 float64        `json:"BareP50"`
	WithoutLeaderP99 float64        `json:"BareP99"`
	WithoutLeaderMax float64        `json:"BareMost"`
	Rejected         int            `json:"Refused"`  // messages that proxies rejected because of a past epoch
	LeasesByPlanner  map[string]int `json:"Holders"`  // leases held at the end
	ResentEntries    int            `json:"Reissued"` // weight entries of whole tables that later leaders sent again

	CPUMs     float64 // CPU time of planners that ran as processes
	BytesUp   int     `json:"UpBytes"`   // on control streams, from proxies to planners
	BytesDown int     `json:"DownBytes"` // from planners to proxies
}

// leaseCount returns the number of proxies that had a leader at the end.
func (r *Result) leaseCount() int {
	count := 0
	for _, leases := range r.LeasesByPlanner {
		count += leases
	}
	return count
}

// Report is the result of all runs of a script.
type Report struct {
	Script  string
	Runs    []Result `json:"Days"` // the policy's first, then those for comparison
	Machine string
}

// Passed reports whether all invariants held in the policy's run, and everything in it could be checked.
func (r *Report) Passed() bool {
	return len(r.Runs) > 0 && len(r.Runs[0].ViolationCounts) == 0 && len(r.Runs[0].Unparsed) == 0
}

// Print writes the report as text for human readers. The report must have a run.
func (r *Report) Print(w io.Writer) error {
	first := &r.Runs[0]
	if _, err := fmt.Fprintf(w, "scenario %s: %d proxies, %d fake servers on loopback\n", r.Script, first.Proxies, first.Servers); err != nil {
		return err
	}
	if err := r.printTable(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, first.notes())
	return err
}

// printTable writes a table with a line for each run.
func (r *Report) printTable(w io.Writer) error {
	var text strings.Builder
	text.WriteString("decided by\tservice")
	for _, class := range r.Runs[0].Classes {
		fmt.Fprintf(&text, "\t%s", class.Name)
	}
	text.WriteString("\tlate\trejected\tfailed\tmessages\tentries\torder ms p50\tp99\tcold overloads\tinvariants\n")
	for n := range r.Runs {
		r.Runs[n].formatLine(&text)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

// formatLine appends the run's line of the table, with tabs between its cells.
func (r *Result) formatLine(text *strings.Builder) {
	fmt.Fprintf(text, "%s\t%.3f", r.Decider, r.Service)
	late := 0
	rejected := 0
	failed := 0
	for _, class := range r.Classes {
		fmt.Fprintf(text, "\t%.3f", class.Service)
		late += class.Late
		rejected += class.Rejected + class.NoServer
		failed += class.Failed
	}
	invariants := "kept"
	if len(r.ViolationCounts) > 0 {
		invariants = fmt.Sprint("broken ", r.ViolationCounts)
	}
	fmt.Fprintf(text, "\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%d\t%s\n",
		late, rejected, failed, r.Messages, r.Entries, r.OrderMsP50, r.OrderMsP99, r.ColdOverloads, invariants)
}

// notes returns what the table does not show of a run: takeovers, violations and what could not be checked.
func (r *Result) notes() string {
	var text strings.Builder
	if r.Takeovers > 0 {
		fmt.Fprintf(&text, "leases: %d takeovers; without a leader for %.0f ms (p50), %.0f (p99), at most %.0f; "+
			"%d messages of past epochs rejected; %d entries of tables sent again; %d of %d proxies have a leader at the end\n",
			r.Takeovers, r.WithoutLeaderP50, r.WithoutLeaderP99, r.WithoutLeaderMax,
			r.Rejected, r.ResentEntries, r.leaseCount(), r.Proxies)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "broken: %s at %.0f ms: %s\n", violation.Rule, violation.AtMs, violation.Evidence)
	}
	for kind, count := range r.Unparsed {
		fmt.Fprintf(&text, "not judged: %s, %d times\n", kind, count)
	}
	return text.String()
}

// Write writes the report as JSON to a file, which it replaces.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}
