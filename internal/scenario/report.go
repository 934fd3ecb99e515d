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
	Service float64 // priority weight of requests that succeeded in time, as a part of that of all requests
}

// Result is the result of one run of a script. The names in JSON are those of earlier reports, so that they can be compared.
type Result struct {
	Decider         string
	Service         float64       // as of ClassResult, over all classes
	Classes         []ClassResult `json:"Groups"`
	Seconds         []float64     // service of each second that had requests
	Requests        int           `json:"Asks"`  // from clients to proxies, retries included
	Attempts        int           `json:"Tries"` // from proxies to servers
	Messages        int           // from planners to proxies
	Entries         float64       `json:"Lines"` // weight entries in them
	OrderMsP50      float64       // from the decision of an order to its acknowledgement, the worst planner's
	OrderMsP99      float64
	PeakBacklog     float64               `json:"LinesPeak"` // weight entries, as planners counted
	Violations      []invariant.Violation `json:"Breaches"`  // at most 20 of each rule
	ViolationCounts map[string]int        `json:"Broken"`    // by rule
	Closes          map[string]uint64     `json:"Endings"`   // of streams at planners, by reason
	Unparsed        map[string]int        `json:"Unread"`    // what observers could not parse; a run with any has failed
	ColdOverloads   int                   `json:"Fell"`      // servers that crashed while warming up, as they were sent too much
	Servers         int
	Proxies         int

	// For shared fleets. A takeover is a lease after a proxy's first one. The times are in ms, from the last frame of the
	// leader before until the next lease.
	Takeovers        int
	WithoutLeaderP50 float64        `json:"BareP50"`
	WithoutLeaderP99 float64        `json:"BareP99"`
	WithoutLeaderMax float64        `json:"BareMost"`
	Rejected         int            `json:"Refused"`  // messages that proxies rejected for a past epoch
	LeasesByPlanner  map[string]int `json:"Holders"`  // at the end
	ResentEntries    int            `json:"Reissued"` // entries of whole tables that a later leader sent again

	CPUMs     float64 // of planners that ran as processes
	BytesUp   int     `json:"UpBytes"`   // on control streams, from proxies to planners
	BytesDown int     `json:"DownBytes"` // from planners to proxies
}

// leaseCount returns the number of proxies that had a leader at the end.
func (d *Result) leaseCount() int {
	count := 0
	for _, leases := range d.LeasesByPlanner {
		count += leases
	}
	return count
}

// Report is the result of a script.
type Report struct {
	Script  string
	Runs    []Result `json:"Days"` // the policy's first, then those for comparison
	Machine string
}

// Passed reports whether the policy's run kept all invariants, and all that passed could be judged.
func (r *Report) Passed() bool {
	return len(r.Runs) > 0 && len(r.Runs[0].ViolationCounts) == 0 && len(r.Runs[0].Unparsed) == 0
}

// Print writes the report for people. The report must have a run.
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
func (d *Result) formatLine(text *strings.Builder) {
	fmt.Fprintf(text, "%s\t%.3f", d.Decider, d.Service)
	late := 0
	rejected := 0
	failed := 0
	for _, class := range d.Classes {
		fmt.Fprintf(text, "\t%.3f", class.Service)
		late += class.Late
		rejected += class.Rejected + class.NoServer
		failed += class.Failed
	}
	invariants := "kept"
	if len(d.ViolationCounts) > 0 {
		invariants = fmt.Sprint("broken ", d.ViolationCounts)
	}
	fmt.Fprintf(text, "\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%d\t%s\n",
		late, rejected, failed, d.Messages, d.Entries, d.OrderMsP50, d.OrderMsP99, d.ColdOverloads, invariants)
}

// notes returns what the table does not show of a run: takeovers, violations and what could not be judged.
func (d *Result) notes() string {
	var text strings.Builder
	if d.Takeovers > 0 {
		fmt.Fprintf(&text, "leases: %d takeovers; without a leader for %.0f ms (p50), %.0f (p99), at most %.0f; "+
			"%d messages of past epochs rejected; %d entries of tables sent again; %d of %d proxies have a leader at the end\n",
			d.Takeovers, d.WithoutLeaderP50, d.WithoutLeaderP99, d.WithoutLeaderMax,
			d.Rejected, d.ResentEntries, d.leaseCount(), d.Proxies)
	}
	for _, violation := range d.Violations {
		fmt.Fprintf(&text, "broken: %s at %.0f ms: %s\n", violation.Rule, violation.AtMs, violation.Evidence)
	}
	for kind, count := range d.Unparsed {
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
