package simulator

import (
	"encoding/json"
	"errors"
	"fmt"

	"lichenpick/policy"
)

// Names of messages that the adapter itself handles.
const (
	messageOpen = "OpenInstance"
	messageKill = "Kill"
)

// wireBatch is one line of input.
type wireBatch struct {
	TMs      float64
	Messages []json.RawMessage `json:"msgs"`
}

// wireHeader is what each message has.
type wireHeader struct {
	What *string `json:"what"`
	Who  *string
}

// decodeBatch reads a batch, but for the messages in it.
func decodeBatch(line []byte) (wireBatch, error) {
	var batch wireBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return wireBatch{}, fmt.Errorf("batch: %w", &decodeError{err})
	}
	return batch, nil
}

// decodeHeader reads a message's name; its instance may be empty.
func decodeHeader(raw []byte) (name, instance string, err error) {
	var header wireHeader
	if err := json.Unmarshal(raw, &header); err != nil {
		return "", "", fmt.Errorf("message: %w", &decodeError{err})
	}
	if header.What == nil || *header.What == "" {
		return "", "", errors.New("message without its name: field what")
	}
	if header.Who != nil {
		instance = *header.Who
	}
	return *header.What, instance, nil
}

// policyCall is a message as the call on the policy that it means.
type policyCall func(*policy.Policy)

// decoder reads a message of one name.
type decoder func(raw []byte) (policyCall, error)

// decoders are by message name. Those of the adapter itself decode nothing here.
var decoders = map[string]decoder{
	messageOpen:  decodeIgnored,
	messageKill:  decodeIgnored,
	"Registry":   decodeEndpoints,
	"DialledIn":  decode((*wireProxyAdded).apply),
	"LostStream": decode((*wireProxyRemoved).apply),
	"Stats":      decode((*wireLoadReport).apply),
	"Usage":      decode((*wireDemandReport).apply),
	"CaughtUp":   decode((*wireAcknowledgement).apply),
	"Ring":       decodeIgnored, // a timer: being called is all that it is for
	// Known and not needed: health checks, slices of keys, and messages among instances.
	"Health":     decodeIgnored,
	"Datagram":   decodeIgnored,
	"Hotness":    decodeIgnored,
	"Handed":     decodeIgnored,
	"StoredLine": decodeIgnored,
}

// decodeIgnored decodes a message that means no call.
func decodeIgnored([]byte) (policyCall, error) { return func(*policy.Policy) {}, nil }

// decode makes a decoder of a message with plain fields.
func decode[M any](apply func(*M, *policy.Policy)) decoder {
	return func(raw []byte) (policyCall, error) {
		message := new(M)
		if err := json.Unmarshal(raw, message); err != nil {
			return nil, err
		}
		return func(target *policy.Policy) { apply(message, target) }, nil
	}
}

// wireProxyAdded tells that a proxy connected.
type wireProxyAdded struct {
	Active bool // decoded to check its type
	Proxy  int
	W      float64 // its usual demand, in requests per second
	Hall   int     // its zone
}

func (m *wireProxyAdded) apply(target *policy.Policy) { target.AddProxy(m.Proxy, m.Hall, m.W) }

// wireProxyRemoved tells that a proxy's connection ended.
type wireProxyRemoved struct{ Proxy int }

func (m *wireProxyRemoved) apply(target *policy.Policy) { target.RemoveProxy(m.Proxy) }

// wireLoadReport is what the proxies of a zone met at one server.
type wireLoadReport struct {
	Server  string
	Hall    int // zone of the proxies
	Count   int // attempts
	Failed  int // of them
	TookMs  float64
	Metrics []float64 // decoded to check its type

	CoversMs float64
}

func (m *wireLoadReport) apply(target *policy.Policy) {
	target.RecordLoadReport(m.Server, m.Hall, m.Count, m.Failed, m.TookMs, m.CoversMs)
}

// wireDemandReport is what one proxy met of one traffic class.
type wireDemandReport struct {
	Proxy    int
	Service  int // traffic class
	Count    int // requests
	Failed   int // of them
	CoversMs float64
}

func (m *wireDemandReport) apply(target *policy.Policy) {
	target.RecordDemandReport(m.Proxy, m.Service, m.Count, m.Failed, m.CoversMs)
}

// wireAcknowledgement tells that a proxy applied what it was sent.
type wireAcknowledgement struct {
	Proxy  int
	Number int
	TookMs float64
}

func (m *wireAcknowledgement) apply(target *policy.Policy) {
	target.Acknowledge(m.Proxy, m.Number, m.TookMs)
}

// wireEndpoints is a list of servers, or a change of one.
type wireEndpoints struct {
	Number    int // decoded to check its type
	Form      string
	NodesList []wireEndpoint
}

type wireEndpoint struct {
	Server       string
	Hall         int // zone
	Shape        int // decoded to check its type, like Cluster
	Cluster      int
	Availability string
	W            float64 // relative capacity
	BornMs       float64
}

// updateKindByName are the forms of a list.
var updateKindByName = map[string]policy.UpdateKind{
	"update":      policy.DeltaUpdate,
	"replace":     policy.FullUpdate,
	"restored":    policy.RestoredUpdate,
	"unavailable": policy.FailedUpdate,
}

// endpointStateByName are the states of a server in a list.
var endpointStateByName = map[string]policy.State{
	"SERVING":  policy.Ready,
	"DRAINING": policy.Draining,
	"DELETED":  policy.Removed,
}

func decodeEndpoints(raw []byte) (policyCall, error) {
	var message wireEndpoints
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	kind, known := updateKindByName[message.Form]
	if !known {
		return nil, fmt.Errorf("field Form holds %q, which is no kind of list", message.Form)
	}
	endpoints := make([]policy.Endpoint, 0, len(message.NodesList))
	for _, node := range message.NodesList {
		state, known := endpointStateByName[node.Availability]
		if !known {
			return nil, fmt.Errorf("field NodesList.Availability holds %q, which is no state", node.Availability)
		}
		endpoints = append(endpoints, policy.Endpoint{
			Server:           node.Server,
			Zone:             node.Hall,
			State:            state,
			RelativeCapacity: node.W,
			StartedMs:        node.BornMs,
		})
	}
	return func(target *policy.Policy) { target.UpdateEndpoints(kind, endpoints) }, nil
}

// wireOpen starts an instance.
type wireOpen struct {
	RandomSeed uint64
	Info       json.RawMessage // as ReadSettings takes it
}

// decodeOpen reads what a new instance starts with.
func decodeOpen(raw []byte) (settings Settings, seed int64, err error) {
	var message wireOpen
	if err := json.Unmarshal(raw, &message); err != nil {
		return Settings{}, 0, err
	}
	settings, err = ReadSettings(message.Info)
	return settings, int64(message.RandomSeed), err
}

// decodeError words a JSON error in one line and without Go's own terms.
type decodeError struct{ cause error }

func (e *decodeError) Error() string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(e.cause, &wrongType) {
		return fmt.Sprintf("field %s holds a %s where a value of another type belongs", wrongType.Field, wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(e.cause, &syntax) {
		return "not JSON: " + syntax.Error()
	}
	return e.cause.Error()
}

func (e *decodeError) Unwrap() error { return e.cause }
