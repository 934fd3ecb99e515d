package planner

import (
	"fmt"
	"io"
	"strings"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
)

// recentInputCount is how many inputs are logged for a dump: some seconds of a large fleet.
const recentInputCount = 4096

// inputKind is the kind of a logged input.
type inputKind uint8

// Kinds of inputs, one for each input method that is logged.
const (
	inputEndpoints inputKind = iota
	inputJoin
	inputDisconnect
	inputLoadReport
	inputAck
	inputLease
)

// String is the kind's name in a dump.
func (k inputKind) String() string {
	return [...]string{"endpoints", "join", "disconnect", "load report", "acknowledgement", "lease"}[k]
}

// loggedInput is an input as it came. It is formatted only when a dump is written, as most never are.
type loggedInput struct {
	atMs    float64
	stream  *Stream      // nil: of no stream that joined
	content fmt.Stringer // nil: none
	kind    inputKind
}

// String gives the input as one line of a dump, without its end.
func (in *loggedInput) String() string {
	text := fmt.Sprintf("%.3f %s", in.atMs, in.kind)
	if in.stream != nil {
		text += " " + in.stream.Name()
	}
	if in.content != nil {
		text += " " + strings.Join(strings.Fields(in.content.String()), " ") // the spaces of protobuf's text vary
	}
	return text
}

// updateSummary is what a dump says of an endpoint update, whose list may be long.
type updateSummary struct {
	update  discovery.Update // without its endpoints
	entries int
}

// newUpdateSummary summarises an update.
func newUpdateSummary(u discovery.Update) *updateSummary {
	summary := &updateSummary{update: u, entries: len(u.Endpoints)}
	summary.update.Endpoints = nil
	return summary
}

// String states the form of the update and why it failed, if it did.
func (s *updateSummary) String() string {
	u := &s.update
	return fmt.Sprintf("kind=%d version=%d as_of=%d entries=%d %s", u.Kind, u.Version, u.AsOfMs, s.entries, u.Fault)
}

// disconnectCause makes the reason of a disconnect content of a logged input.
type disconnectCause struct{ *controlstream.CloseError }

// String gives the reason with its detail.
func (d disconnectCause) String() string { return d.Error() }

// inputLog is a ring of the last inputs. The zero value is empty.
type inputLog struct {
	entries [recentInputCount]loggedInput
	count   int // of all inputs since the start
}

// add logs an input in place of the oldest one.
func (l *inputLog) add(in loggedInput) {
	l.entries[l.count%recentInputCount] = in
	l.count++
}

// writeTo writes the logged inputs, oldest first, one per line.
func (l *inputLog) writeTo(w io.Writer) error {
	for number := max(0, l.count-recentInputCount); number < l.count; number++ {
		in := &l.entries[number%recentInputCount]
		_, err := fmt.Fprintln(w, in.String())
		if err != nil {
			return fmt.Errorf("writing input %d: %w", number, err)
		}
	}
	return nil
}
