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

// ClassResult holds the outcomes of the requests of one traffic class.
type ClassResult struct {
	Name string
	fake.Tally
	Service float64 // priority weight of requests that succeeded in time, divided by the priority weight of all requests
}

// Result is the result of one run of a script. JSON field names are those of earlier reports, so that reports stay comparable.
type Result struct {
	Decider         string
	Service         float64       // same fraction as ClassResult.Service, but of the requests of all classes
	Classes         []ClassResult `json:"Groups"`
	Seconds         []float64     // same fraction as Service, for each second in which requests were sent
	Requests        int           `json:"Asks"`  // number of requests from clients to proxies, retries included
	Attempts        int           `json:"Tries"` // number of attempts from proxies to servers
	Messages        int           // number of messages from planners to proxies
	Entries         float64       `json:"Lines"` // number of weight entries in these messages
	OrderMsP50      float64       // median time from the decision to the acknowledgement of an order; maximum over all planners
	OrderMsP99      float64
	PeakBacklog     float64               `json:"LinesPeak"` // largest number of weight entries queued at any planner
	Violations      []invariant.Violation `json:"Breaches"`  // at most 20 violations of each rule
	ViolationCounts map[string]int        `json:"Broken"`    // number of violations by rule
	Closes          map[string]uint64     `json:"Endings"`   // number of streams that ended at planners, by close reason
	Unparsed        map[string]int        `json:"Unread"`    // number of items not checked, by kind; any item fails the run
	ColdOverloads   int                   `json:"Fell"`      // number of warming servers that crashed from too much work
	Servers         int
	Proxies         int

	// The seven fields below are for shared fleets. A takeover is any grant of a proxy's lease after the first grant. The times
	// without a leader are in ms, from the last frame of the previous leader to the next grant.
	Takeovers        int
	WithoutLeaderP50 float64        `json:"BareP50"`
	WithoutLeaderP99 float64        `json:"BareP99"`
	WithoutLeaderMax float64        `json:"BareMost"`
	Rejected         int            `json:"Refused"`  // number of messages that proxies rejected because of a past epoch
	LeasesByPlanner  map[string]int `json:"Holders"`  // number of leases held at the end of the run
	ResentEntries    int            `json:"Reissued"` // number of weight entries in whole tables delivered after a takeover

	CPUMs     float64 // CPU time of planners that ran as processes
	BytesUp   int     `json:"UpBytes"`   // bytes on control streams from proxies to planners
	BytesDown int     `json:"DownBytes"` // bytes on control streams from planners to proxies
}

// leaseCount returns the number of proxies that had a leader at the end of the run.
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
	Runs    []Result `json:"Days"` // the policy's run first, then the runs for comparison
	Machine string
}

// Passed reports whether, in the policy's run, all invariants held and everything could be checked.
func (r *Report) Passed() bool {
	return len(r.Runs) > 0 && len(r.Runs[0].ViolationCounts) == 0 && len(r.Runs[0].Unparsed) == 0
}

// Print writes the report as text for human readers. The report must contain at least one run.
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

// formatLine appends the run's line of the table to text, with tabs between the cells.
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

// notes returns the details of a run that the table does not show: takeovers, violations and what could not be checked.
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

// Write writes the report as JSON to a file. It replaces an existing file.
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
