package simulator

import (
	"encoding/json"
	"errors"
	"fmt"

	"lichenpick/policy"
)

// Names of the messages that the adapter handles itself instead of the policy.
const (
	messageOpen = "OpenInstance"
	messageKill = "Kill"
)

// wireBatch is one line of input: a time in ms and the messages of that time.
type wireBatch struct {
	TMs      float64
	Messages []json.RawMessage `json:"msgs"`
}

// wireHeader has the fields that every message has: the message's name, and the name of the receiving instance.
type wireHeader struct {
	What *string `json:"what"`
	Who  *string
}

// decodeBatch decodes a batch and leaves its messages undecoded.
func decodeBatch(line []byte) (wireBatch, error) {
	var batch wireBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return wireBatch{}, fmt.Errorf("batch: %w", &decodeError{err})
	}
	return batch, nil
}

// decodeHeader decodes a message's name and instance. The instance may be empty.
func decodeHeader(raw []byte) (name, instance string, err error) {
	var header wireHeader
	if err := json.Unmarshal(raw, &header); err != nil {
		return "", "", fmt.Errorf("message: %w", &decodeError{err})
	}
	if header.What == nil || *header.What == "" {
		return "", "", errors.New("message has no name: field what is missing")
	}
	if header.Who != nil {
		instance = *header.Who
	}
	return *header.What, instance, nil
}

// policyCall applies a decoded message to the policy.
type policyCall func(*policy.Policy)

// decoder decodes the messages of one name.
type decoder func(raw []byte) (policyCall, error)

// decoders maps the name of each known message to its decoder. The adapter itself decodes the messages that start and end
// instances.
var decoders = map[string]decoder{
	messageOpen:  decodeIgnored,
	messageKill:  decodeIgnored,
	"Registry":   decodeEndpoints,
	"DialledIn":  decode((*wireProxyAdded).apply),
	"LostStream": decode((*wireProxyRemoved).apply),
	"Stats":      decode((*wireLoadReport).apply),
	"Usage":      decode((*wireDemandReport).apply),
	"CaughtUp":   decode((*wireAcknowledgement).apply),
	"Ring":       decodeIgnored, // a timer fired; the adapter pulls decisions after every message, so nothing is decoded
	// The policy does not use health checks, key ranges and messages between instances.
	"Health":     decodeIgnored,
	"Datagram":   decodeIgnored,
	"Hotness":    decodeIgnored,
	"Handed":     decodeIgnored,
	"StoredLine": decodeIgnored,
}

// decodeIgnored decodes a message that changes nothing in the policy.
func decodeIgnored([]byte) (policyCall, error) { return func(*policy.Policy) {}, nil }

// decode returns a decoder for messages that package json decodes into M without further conversion.
func decode[M any](apply func(*M, *policy.Policy)) decoder {
	return func(raw []byte) (policyCall, error) {
		message := new(M)
		if err := json.Unmarshal(raw, message); err != nil {
			return nil, err
		}
		return func(target *policy.Policy) { apply(message, target) }, nil
	}
}

// wireProxyAdded reports that a proxy connected.
type wireProxyAdded struct {
	Active bool // unused; decoded to check its type
	Proxy  int
	W      float64 // usual demand of the proxy, in requests per second
	Hall   int     // zone of the proxy
}

func (m *wireProxyAdded) apply(target *policy.Policy) { target.AddProxy(m.Proxy, m.Hall, m.W) }

// wireProxyRemoved reports that a proxy's connection ended.
type wireProxyRemoved struct{ Proxy int }

func (m *wireProxyRemoved) apply(target *policy.Policy) { target.RemoveProxy(m.Proxy) }

// wireLoadReport is the load report of one server: the outcomes of the attempts from one zone's proxies.
type wireLoadReport struct {
	Server  string
	Hall    int       // zone of the proxies
	Count   int       // number of attempts
	Failed  int       // number of failed attempts, included in Count
	TookMs  float64   // mean latency of the attempts that succeeded
	Metrics []float64 // unused; decoded to check its type

	CoversMs float64 // length of the period that the report covers
}

func (m *wireLoadReport) apply(target *policy.Policy) {
	target.RecordLoadReport(m.Server, m.Hall, m.Count, m.Failed, m.TookMs, m.CoversMs)
}

// wireDemandReport is the demand report of one proxy for one traffic class.
type wireDemandReport struct {
	Proxy    int
	Service  int // traffic class
	Count    int // number of requests
	Failed   int // number of failed requests, included in Count
	CoversMs float64
}

func (m *wireDemandReport) apply(target *policy.Policy) {
	target.RecordDemandReport(m.Proxy, m.Service, m.Count, m.Failed, m.CoversMs)
}

// wireAcknowledgement reports that a proxy has applied all messages sent before a request for acknowledgement.
type wireAcknowledgement struct {
	Proxy  int
	Number int     // sequence number of the request for acknowledgement
	TookMs float64 // time from the request for acknowledgement to the acknowledgement
}

func (m *wireAcknowledgement) apply(target *policy.Policy) {
	target.Acknowledge(m.Proxy, m.Number, m.TookMs)
}

// wireEndpoints is an update of the endpoint list. Form states the kind of the update, such as a full list or a change.
type wireEndpoints struct {
	Number    int // unused; decoded to check its type
	Form      string
	NodesList []wireEndpoint
}

// wireEndpoint is an entry of an endpoint list.
type wireEndpoint struct {
	Server       string
	Hall         int // zone of the server
	Shape        int // unused; decoded to check its type
	Cluster      int // unused; decoded to check its type
	Availability string
	W            float64 // relative capacity of the server
	BornMs       float64 // time of the server's last start; 0: started long ago
}

// updateKindByName maps the values of the field Form of wireEndpoints to the policy's constants.
var updateKindByName = map[string]policy.UpdateKind{
	"update":      policy.DeltaUpdate,
	"replace":     policy.FullUpdate,
	"restored":    policy.RestoredUpdate,
	"unavailable": policy.FailedUpdate,
}

// endpointStateByName maps the values of the field Availability of wireEndpoint to the policy's constants.
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
		return nil, fmt.Errorf("field Form is %q, which is not a known kind of list", message.Form)
	}
	endpoints := make([]policy.Endpoint, 0, len(message.NodesList))
	for _, node := range message.NodesList {
		state, known := endpointStateByName[node.Availability]
		if !known {
			return nil, fmt.Errorf("field NodesList.Availability is %q, which is not a known state", node.Availability)
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

// wireOpen is the message that starts an instance.
type wireOpen struct {
	RandomSeed uint64
	Info       json.RawMessage // the settings object; see ReadSettings
}

// decodeOpen decodes the settings and the random seed of a new instance.
func decodeOpen(raw []byte) (settings Settings, seed int64, err error) {
	var message wireOpen
	if err := json.Unmarshal(raw, &message); err != nil {
		return Settings{}, 0, err
	}
	settings, err = ReadSettings(message.Info)
	return settings, int64(message.RandomSeed), err
}

// decodeError wraps a JSON error; its text has one line and no names of Go types.
type decodeError struct{ cause error }

func (e *decodeError) Error() string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(e.cause, &wrongType) {
		return fmt.Sprintf("field %s has the wrong type: %s", wrongType.Field, wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(e.cause, &syntax) {
		return "not JSON: " + syntax.Error()
	}
	return e.cause.Error()
}

func (e *decodeError) Unwrap() error { return e.cause }
