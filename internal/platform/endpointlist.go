package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"lichenpick/policy"
)

var errNoVersion = errors.New("a list without a version")

// endpointList is one message of discovery.
type endpointList struct {
	version int64
	full    bool              // all servers; else only those that changed
	entries []policy.Endpoint // StartedMs in Unix ms, as the core's times
}

var endpointStates = map[string]policy.State{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// listDocument is a list as discovery serves it.
type listDocument struct {
	Version *int64
	Full    bool
	Servers []serverDocument
}

type serverDocument struct {
	ID        string
	Zone      string
	State     string
	Weight    *float64
	StartedMs float64 `json:"started_ms"`
}

// parseEndpointList decodes a list, completely or not at all. A server of a zone that is not among those given has zone -1.
func parseEndpointList(text []byte, zones []string) (endpointList, error) {
	var document listDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return endpointList{}, err
	}
	if document.Version == nil {
		return endpointList{}, errNoVersion
	}
	list := endpointList{version: *document.Version, full: document.Full}
	for index := range document.Servers {
		entry, err := document.Servers[index].endpoint(zones)
		if err != nil {
			return endpointList{}, err
		}
		list.entries = append(list.entries, entry)
	}
	return list, nil
}

// endpoint checks a server of a list. A weight that is absent is 1.
func (d *serverDocument) endpoint(zones []string) (policy.Endpoint, error) {
	weight := 1.0
	if d.Weight != nil {
		weight = *d.Weight
	}
	state, known := endpointStates[d.State]
	switch {
	case !isValidName(d.ID):
		return policy.Endpoint{}, fmt.Errorf("server %q: not a name", d.ID)
	case !known:
		return policy.Endpoint{}, fmt.Errorf("server %q: unknown state %q", d.ID, d.State)
	case !(weight >= 0) || math.IsInf(weight, 0):
		return policy.Endpoint{}, fmt.Errorf("server %q: weight %g", d.ID, weight)
	case !(d.StartedMs >= 0):
		return policy.Endpoint{}, fmt.Errorf("server %q: start %g", d.ID, d.StartedMs)
	}
	return policy.Endpoint{
		Server:           d.ID,
		Zone:             slices.Index(zones, d.Zone),
		State:            state,
		RelativeCapacity: weight,
		StartedMs:        d.StartedMs,
	}, nil
}
