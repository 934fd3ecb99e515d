package planner

import (
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/policy"
)

// recentInputCount is how many inputs are kept for a dump: some seconds of a large fleet.
const recentInputCount = 4096

// inputKind is the kind of an input, as written to a dump.
type inputKind string

const (
	inputEndpoints  inputKind = "endpoints"
	inputJoin       inputKind = "join"
	inputDisconnect inputKind = "disconnect"
	inputLoadReport inputKind = "load report"
	inputAck        inputKind = "acknowledgement"
	inputLease      inputKind = "lease"
)

// recordedInput is an input as it came. It is put into words only when a dump is written, as most never are.
type recordedInput struct {
	atMs      float64
	kind      inputKind
	stream    *Stream                   // nil: of no stream that joined
	message   proto.Message             // nil: none
	cause     *controlstream.CloseError // of a disconnect
	endpoints *endpointSummary          // of an endpoint update
}

// endpointSummary is what a dump says of an endpoint update, whose list may be long.
type endpointSummary struct {
	kind    policy.UpdateKind
	version uint64
	asOfMs  uint64 // the source's clock
	entries int
	fault   string
}

// endpointSummaryOf summarises an update.
func endpointSummaryOf(u discovery.Update) *endpointSummary {
	return &endpointSummary{kind: u.Kind, version: u.Version, asOfMs: u.AsOfMs, entries: len(u.Endpoints), fault: u.Fault}
}

// String gives the input as one line of a dump, without its end.
func (in *recordedInput) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%.3f %s", in.atMs, in.kind)
	if s := in.endpoints; s != nil {
		fmt.Fprintf(&text, " kind=%d version=%d as_of=%d entries=%d %s", s.kind, s.version, s.asOfMs, s.entries, s.fault)
	}
	if in.stream != nil {
		fmt.Fprintf(&text, " %s", in.stream.Name())
	}
	if in.cause != nil {
		fmt.Fprintf(&text, " %v", in.cause)
	}
	if in.message != nil {
		fmt.Fprintf(&text, " %s", strings.Join(strings.Fields(fmt.Sprint(in.message)), " "))
	}
	return text.String()
}

// inputLog is a ring of the last inputs. The zero value is empty.
type inputLog struct {
	entries [recentInputCount]recordedInput
	count   int // of all inputs since the start
}

func (l *inputLog) add(in recordedInput) {
	l.entries[l.count%recentInputCount] = in
	l.count++
}

// writeTo writes the inputs that are kept, oldest first, one per line.
func (l *inputLog) writeTo(w io.Writer) error {
	for number := max(0, l.count-recentInputCount); number < l.count; number++ {
		in := &l.entries[number%recentInputCount]
		if _, err := fmt.Fprintln(w, in.String()); err != nil {
			return fmt.Errorf("writing input %d: %w", number, err)
		}
	}
	return nil
}
