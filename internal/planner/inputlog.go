package planner

import (
	"fmt"
	"io"
	"strings"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
)

// recentInputCount is how many inputs are kept for a dump: those of the last few seconds in a large fleet.
const recentInputCount = 4096

// inputKind identifies an input method of the core.
type inputKind uint8

// Kinds of inputs. Only the input methods that call Core.logInput have a kind.
const (
	inputEndpoints inputKind = iota
	inputJoin
	inputDisconnect
	inputLoadReport
	inputAck
	inputLease
)

// String returns the kind's name as it appears in a dump.
func (k inputKind) String() string {
	return [...]string{"endpoints", "join", "disconnect", "load report", "acknowledgement", "lease"}[k]
}

// loggedInput is a recorded input. It is formatted only when a dump is written, because most inputs are never dumped.
type loggedInput struct {
	atMs    float64
	stream  *Stream      // stream that the input belongs to; nil: no joined stream
	content fmt.Stringer // content of the input; nil: none
	kind    inputKind
}

// String formats the input as one line of a dump, without the line break.
func (in *loggedInput) String() string {
	text := fmt.Sprintf("%.3f %s", in.atMs, in.kind)
	if in.stream != nil {
		text += " " + in.stream.Name()
	}
	if in.content != nil {
		text += " " + strings.Join(strings.Fields(in.content.String()), " ") // protobuf's text format varies its spaces
	}
	return text
}

// updateSummary is the content of a logged endpoint update. It has the count of the endpoints instead of the endpoints
// themselves, which may be many.
type updateSummary struct {
	update  discovery.Update // logged update, without its endpoints
	entries int              // count of endpoints in the update
}

// newUpdateSummary returns the summary of an update.
func newUpdateSummary(u discovery.Update) *updateSummary {
	summary := &updateSummary{update: u, entries: len(u.Endpoints)}
	summary.update.Endpoints = nil
	return summary
}

// String formats the update's kind, version, time and number of endpoints, and why it failed, if it did.
func (s *updateSummary) String() string {
	u := &s.update
	return fmt.Sprintf("kind=%d version=%d as_of=%d entries=%d %s", u.Kind, u.Version, u.AsOfMs, s.entries, u.Fault)
}

// disconnectCause is the content of a logged disconnect: a CloseError as a fmt.Stringer.
type disconnectCause struct{ *controlstream.CloseError }

// String returns the close reason with its detail.
func (d disconnectCause) String() string { return d.Error() }

// inputLog is a ring buffer of the most recent inputs. The zero value is empty.
type inputLog struct {
	entries [recentInputCount]loggedInput
	count   int // inputs added since the start, including overwritten ones
}

// add records an input. Once the buffer is full, the new input overwrites the oldest one.
func (l *inputLog) add(in loggedInput) {
	l.entries[l.count%recentInputCount] = in
	l.count++
}

// writeTo writes the recorded inputs, oldest first, one per line.
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
