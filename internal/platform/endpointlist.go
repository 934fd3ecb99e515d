package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"lichenpick/policy"
)

var errNoVersion = errors.New("endpoint list without a version")

// endpointList is a complete list of endpoints, or the changes to one.
type endpointList struct {
	version int64
	full    bool              // the list holds all servers; otherwise only those that changed
	entries []policy.Endpoint // servers; StartedMs of each is in Unix ms, like the times of the core
}

var endpointStates = map[string]policy.State{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// listDocument is the JSON form of an endpoint list.
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

// parseEndpointList decodes an endpoint list. A single invalid server makes it fail. A server of a zone that is not among
// the given zones has zone -1.
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

// endpoint validates and converts a server of a list. A missing weight means 1.
func (d *serverDocument) endpoint(zones []string) (policy.Endpoint, error) {
	weight := 1.0
	if d.Weight != nil {
		weight = *d.Weight
	}
	state, known := endpointStates[d.State]
	switch {
	case !isValidName(d.ID):
		return policy.Endpoint{}, fmt.Errorf("server %q: invalid name", d.ID)
	case !known:
		return policy.Endpoint{}, fmt.Errorf("server %q: unknown state %q", d.ID, d.State)
	case !(weight >= 0) || math.IsInf(weight, 0):
		return policy.Endpoint{}, fmt.Errorf("server %q: invalid weight %g", d.ID, weight)
	case !(d.StartedMs >= 0):
		return policy.Endpoint{}, fmt.Errorf("server %q: invalid start time %g", d.ID, d.StartedMs)
	}
	return policy.Endpoint{
		Server:           d.ID,
		Zone:             slices.Index(zones, d.Zone),
		State:            state,
		RelativeCapacity: weight,
		StartedMs:        d.StartedMs,
	}, nil
}
