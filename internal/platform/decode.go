package platform

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"lichenpick/policy"
)

// Names of the operators' protocol are only used in decode.go, encode.go and endpointlist.go. A message is one line: its
// kind, followed by fields of the form name=value, separated by spaces. What the protocol calls a site, a target and a lane
// is a zone, a server and a traffic class here.

// Limits of the contents of a message. A message that exceeds them is considered corrupted.
const (
	maxFields    = 32  // limit of the fields of a message
	maxRequests  = 1e7 // limit of the requests in a report, and of the requests per second of a proxy
	maxSpanMs    = 6e5 // limit in ms of the period that a report covers, and of a latency in the report
	maxProxyID   = math.MaxInt32
	maxAckNumber = math.MaxInt32
)

// messageKind is the kind of an incoming message.
type messageKind int

const (
	kindJoin            messageKind = iota + 1 // a proxy opens its stream
	kindCollector                              // a collector of load reports opens its connection
	kindAcknowledgement                        // a proxy has applied an update
	kindLoadReport                             // a collector's report on a server
	kindDemandReport                           // a proxy's report on the requests that it received
	kindPing                                   // the peer asks for a pong
	kindUpdate                                 // an update, which only planners send; an incoming one is rejected
	kindIgnored                                // a valid message that is ignored: only planners or other deployments send it
)

// kindName maps a name on the wire to its kind.
type kindName struct {
	name string
	kind messageKind
}

// messageKinds lists all names that an incoming message may begin with.
var messageKinds = []kindName{
	{"joined", kindJoin},
	{"applied", kindAcknowledgement},
	{"heard", kindLoadReport},
	{"usage", kindDemandReport},
	{"collector", kindCollector},
	{"ping", kindPing},
	{wirePong, kindIgnored},
	{wireRefused, kindIgnored},
	{wireUpdate, kindUpdate},
	{"left", kindIgnored},
	{"heat", kindIgnored},
	{"given", kindIgnored},
	{"held", kindIgnored},
}

// String returns the kind's name on the wire.
func (k messageKind) String() string {
	for _, known := range messageKinds {
		if known.kind == k && k != kindIgnored {
			return known.name
		}
	}
	return "ignored message"
}

// MessageError reports a message that could be read but lacks what its kind requires. On a joined connection, only that
// message is discarded; a connection that has not joined is closed.
type MessageError struct {
	Field   string // name of the field on the wire; empty if the error concerns no single field
	Problem string
}

// Error names the field and what is wrong with it.
func (e *MessageError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return "field " + e.Field + ": " + e.Problem
}

// JoinMessage opens the stream of a proxy.
type JoinMessage struct {
	ProxyID     int
	Zone        string
	RequestRate float64 // requests per second that the proxy expects
	New         bool    // the proxy has no tables; if not set, it may hold tables and ejections of another planner
}

// CollectorMessage opens the connection of a collector of load reports.
type CollectorMessage struct{ Zone string }

// LoadReportMessage reports what the proxies of a zone observed of a server.
type LoadReportMessage struct {
	Zone     string
	Server   string
	Requests int
	Failed   int     // number of failed requests among Requests
	MeanMs   float64 // mean latency in ms of the requests that succeeded
	SpanMs   float64 // time that the report covers
}

// DemandReportMessage reports how many requests of a traffic class a proxy received.
type DemandReportMessage struct {
	ProxyID  int
	Class    string
	Requests int
	Failed   int     // failed requests; may exceed Requests, as a request may fail after the period in which it was received
	SpanMs   float64 // time that the report covers
}

// AcknowledgementMessage confirms that a proxy has applied an update and all earlier ones.
type AcknowledgementMessage struct {
	ProxyID       int
	Number        int
	PropagationMs float64 // time that the update took to reach the proxy
}

// field is one name=value pair of a message. Both slices refer to the line.
type field struct{ name, value []byte }

// message is a parsed line. Its decoding methods record the first error, so that callers decode all fields and then check
// for an error once. A message is valid as long as the line that it was parsed from.
type message struct {
	kind   messageKind
	fields [maxFields]field
	count  int
	err    error
}

// parseMessage splits a line into its kind and its fields. It fails with ErrUnreadable if the line does not begin with a
// known kind, and with a *MessageError if its fields cannot be parsed; then only the kind of the returned message is valid.
func parseMessage(line []byte) (*message, error) {
	m := &message{}
	word, rest, _ := bytes.Cut(line, []byte(" "))
	for _, known := range messageKinds {
		if known.name == string(word) {
			m.kind = known.kind
		}
	}
	if m.kind == 0 {
		return m, ErrUnreadable
	}
	for len(rest) > 0 && m.err == nil {
		word, rest, _ = bytes.Cut(rest, []byte(" "))
		if len(word) > 0 {
			m.addField(word)
		}
	}
	return m, m.err
}

// addField parses one name=value pair.
func (m *message) addField(word []byte) {
	name, value, found := bytes.Cut(word, []byte("="))
	switch {
	case !found || len(name) == 0:
		m.fail("", "a word is not of the form name=value")
	case m.find(string(name)) != nil:
		m.fail(string(name), "given twice")
	case m.count == maxFields:
		m.fail("", "more than %d fields", maxFields)
	default:
		m.fields[m.count] = field{name, value}
		m.count++
	}
}

// fail records an error, unless there is an earlier one.
func (m *message) fail(name, format string, args ...any) {
	if m.err == nil {
		m.err = &MessageError{Field: name, Problem: fmt.Sprintf(format, args...)}
	}
}

// find returns the value of a field, or nil if the message does not have it.
func (m *message) find(name string) []byte {
	for index := range m.count {
		if string(m.fields[index].name) == name {
			return m.fields[index].value
		}
	}
	return nil
}

// text returns the value of a field, which must not be empty.
func (m *message) text(name string) string {
	value := m.find(name)
	if len(value) == 0 {
		m.fail(name, "missing")
	}
	return string(value)
}

// number returns the value of a numeric field, which must be from a minimum to a maximum.
func (m *message) number(name string, minimum, maximum float64) float64 {
	value, err := strconv.ParseFloat(m.text(name), 64)
	if err != nil || math.IsNaN(value) || value < minimum || value > maximum {
		m.fail(name, "not a number from %g to %g", minimum, maximum)
	}
	return value
}

// latency returns the value of a field with a latency in ms. It is 0 if no request succeeded.
func (m *message) latency(name string) float64 {
	latencyMs := m.number(name, 0, maxSpanMs)
	if latencyMs > 0 && latencyMs < policy.MinLatencyMs {
		m.fail(name, "neither 0 nor at least %g", policy.MinLatencyMs)
	}
	return latencyMs
}

// integer returns the value of an integer field, which must be from 0 to a maximum.
func (m *message) integer(name string, maximum int) int {
	value, err := strconv.Atoi(m.text(name))
	if err != nil || value < 0 || value > maximum {
		m.fail(name, "not a whole number from 0 to %d", maximum)
	}
	return value
}

// checkPairs validates a field with a list of name:number pairs. The numbers are not used, because the policy relies on
// latencies and failures.
func (m *message) checkPairs(name string) {
	rest := m.find(name)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		key, text, _ := bytes.Cut(pair, []byte(":"))
		value, err := strconv.ParseFloat(string(text), 64)
		if len(key) == 0 || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			m.fail(name, "not a list of name:number pairs")
			return
		}
	}
}

func (m *message) join() (JoinMessage, error) {
	join := JoinMessage{
		ProxyID:     m.integer("id", maxProxyID),
		Zone:        m.text("site"),
		RequestRate: m.number("rps", 0, maxRequests),
		New:         m.integer("new", 1) == 1,
	}
	return join, m.err
}

func (m *message) collector() (CollectorMessage, error) {
	collector := CollectorMessage{Zone: m.text("site")}
	return collector, m.err
}

func (m *message) loadReport() (LoadReportMessage, error) {
	requests := m.integer("count", maxRequests)
	report := LoadReportMessage{
		Zone:     m.text("site"),
		Server:   m.text("target"),
		Requests: requests,
		Failed:   m.integer("fail", requests),
		MeanMs:   m.latency("mean"),
		SpanMs:   m.number("over", policy.MinReportMs, maxSpanMs),
	}
	m.checkPairs("util")
	return report, m.err
}

func (m *message) demandReport() (DemandReportMessage, error) {
	report := DemandReportMessage{
		ProxyID:  m.integer("id", maxProxyID),
		Class:    m.text("lane"),
		Requests: m.integer("count", maxRequests),
		Failed:   m.integer("fail", maxRequests),
		SpanMs:   m.number("over", policy.MinReportMs, maxSpanMs),
	}
	return report, m.err
}

func (m *message) acknowledgement() (AcknowledgementMessage, error) {
	acknowledgement := AcknowledgementMessage{
		ProxyID:       m.integer("id", maxProxyID),
		Number:        m.integer("seq", maxAckNumber),
		PropagationMs: m.number("ms", 0, maxSpanMs),
	}
	return acknowledgement, m.err
}
