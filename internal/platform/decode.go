package platform

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
)

// The names of the operators' protocol end in decode.go, encode.go and endpointlist.go. A message is one line: its kind,
// then fields of the form name=value, apart by blanks.

// Limits of what a message may hold. Whatever exceeds them is taken for corrupted.
const (
	maxFields    = 32  // fields of a message
	maxRequests  = 1e7 // requests in a report, and requests per second of a proxy
	maxSpanMs    = 6e5 // ms that a report may cover, or a latency in it
	maxProxyID   = math.MaxInt32
	maxAckNumber = math.MaxInt32
)

// messageKind is the kind of a message that comes in.
type messageKind int

const (
	kindJoin            messageKind = iota + 1 // a proxy opens its stream
	kindCollector                              // a collector of load reports opens its connection
	kindAcknowledgement                        // a proxy has applied an update
	kindLoadReport                             // a collector's report on a server
	kindDemandReport                           // a proxy's report on its own requests
	kindPing                                   // asks for a pong
	kindUpdate                                 // is only ever sent by planners
	kindIgnored                                // of planners, or of other kinds of deployment: valid, and not needed
)

// kindName is a kind with its name on the wire.
type kindName struct {
	name string
	kind messageKind
}

// messageKinds are all that may begin a message that comes in.
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

// String is the kind's name on the wire.
func (k messageKind) String() string {
	for _, known := range messageKinds {
		if known.kind == k && k != kindIgnored {
			return known.name
		}
	}
	return "ignored message"
}

// MessageError is a fault of one message that was read but does not hold what its kind requires. It costs a joined
// connection that message alone, and any other its place.
type MessageError struct {
	Field   string // name on the wire; empty where the fault is of no single field
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
	RequestRate float64 // requests per second that it expects
	New         bool    // it holds no tables; false where it may hold tables and ejections of another planner
}

// CollectorMessage opens the connection of a collector of load reports.
type CollectorMessage struct{ Zone string }

// LoadReportMessage says what the proxies of a zone saw of a server.
type LoadReportMessage struct {
	Zone     string
	Server   string
	Requests int
	Failed   int     // of Requests
	MeanMs   float64 // mean latency of those that succeeded
	SpanMs   float64 // time that the report covers
}

// DemandReportMessage says how many requests of a traffic class came to a proxy.
type DemandReportMessage struct {
	ProxyID  int
	Class    string
	Requests int
	Failed   int     // may exceed Requests, as a request may fail in a later period than it came in
	SpanMs   float64 // time that the report covers
}

// AcknowledgementMessage says that a proxy has applied an update, and all before it.
type AcknowledgementMessage struct {
	ProxyID       int
	Number        int
	PropagationMs float64 // time that the update took to the proxy
}

// field is one name=value of a message. Both parts are of the line.
type field struct{ name, value []byte }

// message is a line taken apart. Its decoding methods keep the first fault, so that a message is decoded completely
// and then checked once. It is valid as long as its line.
type message struct {
	kind   messageKind
	fields [maxFields]field
	count  int
	err    error
}

// parseMessage takes a line apart. It fails with ErrUnreadable where the line begins with no kind, and with a
// *MessageError where its fields cannot be parsed; the message then has a kind and no fields to rely on.
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

// addField takes in one name=value.
func (m *message) addField(word []byte) {
	name, value, found := bytes.Cut(word, []byte("="))
	switch {
	case !found || len(name) == 0:
		m.fail("", "a word that is not name=value")
	case m.find(string(name)) != nil:
		m.fail(string(name), "given twice")
	case m.count == maxFields:
		m.fail("", "over %d fields", maxFields)
	default:
		m.fields[m.count] = field{name, value}
		m.count++
	}
}

func (m *message) fail(name, format string, args ...any) {
	if m.err == nil {
		m.err = &MessageError{Field: name, Problem: fmt.Sprintf(format, args...)}
	}
}

// find returns a field's value, nil where there is none.
func (m *message) find(name string) []byte {
	for index := range m.count {
		if string(m.fields[index].name) == name {
			return m.fields[index].value
		}
	}
	return nil
}

// text returns a field's value, which must not be empty.
func (m *message) text(name string) string {
	value := m.find(name)
	if len(value) == 0 {
		m.fail(name, "missing")
	}
	return string(value)
}

// number returns a field's number from 0 up to a maximum.
func (m *message) number(name string, maximum float64) float64 {
	value, err := strconv.ParseFloat(m.text(name), 64)
	if err != nil || math.IsNaN(value) || value < 0 || value > maximum {
		m.fail(name, "not a number from 0 to %g", maximum)
	}
	return value
}

// integer returns a field's whole number from 0 up to a maximum.
func (m *message) integer(name string, maximum int) int {
	value, err := strconv.Atoi(m.text(name))
	if err != nil || value < 0 || value > maximum {
		m.fail(name, "not a whole number from 0 to %d", maximum)
	}
	return value
}

// checkPairs checks a list of name:number. The values are not used, as the policy goes by latencies and failures.
func (m *message) checkPairs(name string) {
	rest := m.find(name)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		key, text, _ := bytes.Cut(pair, []byte(":"))
		value, err := strconv.ParseFloat(string(text), 64)
		if len(key) == 0 || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			m.fail(name, "not pairs of name and number")
			return
		}
	}
}

func (m *message) join() (JoinMessage, error) {
	join := JoinMessage{
		ProxyID:     m.integer("id", maxProxyID),
		Zone:        m.text("site"),
		RequestRate: m.number("rps", maxRequests),
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
		MeanMs:   m.number("mean", maxSpanMs),
		SpanMs:   m.number("over", maxSpanMs),
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
		SpanMs:   m.number("over", maxSpanMs),
	}
	return report, m.err
}

func (m *message) acknowledgement() (AcknowledgementMessage, error) {
	acknowledgement := AcknowledgementMessage{
		ProxyID:       m.integer("id", maxProxyID),
		Number:        m.integer("seq", maxAckNumber),
		PropagationMs: m.number("ms", maxSpanMs),
	}
	return acknowledgement, m.err
}
