package simulator

import (
	"encoding/json"
	"fmt"

	"lichenpick/policy"
)

// readers decode a message and, where the instance runs, call its planner.
var readers = map[string]func(in *instance, raw []byte) error{
	"OpenInstance": nil, // opened by name in batch
	"Kill":         nil,
	"Registry":     registry,
	"DialledIn": func(in *instance, raw []byte) error {
		var m struct {
			Active bool
			Proxy  int
			W      float64
			Hall   int
		}
		return decode(in, raw, &m, func(p *policy.Policy) { p.AddProxy(m.Proxy, m.Hall, m.W) })
	},
	"LostStream": func(in *instance, raw []byte) error {
		var m struct{ Proxy int }
		return decode(in, raw, &m, func(p *policy.Policy) { p.RemoveProxy(m.Proxy) })
	},
	"Stats": func(in *instance, raw []byte) error {
		var m struct {
			Failed, Hall, Count int
			Server              string
			TookMs, CoversMs    float64
			Metrics             []float64
		}
		return decode(in, raw, &m, func(p *policy.Policy) {
			p.RecordReport(m.Server, m.Hall, m.Count, m.Failed, m.TookMs, m.CoversMs)
		})
	},
	"Usage": func(in *instance, raw []byte) error {
		var m struct {
			Proxy, Service, Count, Failed int
			CoversMs                      float64
		}
		return decode(in, raw, &m, func(p *policy.Policy) {
			p.RecordDemand(m.Proxy, m.Service, m.Count, m.Failed, m.CoversMs)
		})
	},
	"CaughtUp": func(in *instance, raw []byte) error {
		var m struct {
			Proxy, Number int
			TookMs        float64
		}
		return decode(in, raw, &m, func(p *policy.Policy) { p.Acknowledge(m.Proxy, m.Number, m.TookMs) })
	},
	"Ring": skip, // being called is all that a timer is for
	// Known and not needed: probes, slices, and messages among instances.
	"Health":     skip,
	"Datagram":   skip,
	"Hotness":    skip,
	"Handed":     skip,
	"StoredLine": skip,
}

func skip(*instance, []byte) error { return nil }

func decode(in *instance, raw []byte, into any, call func(*policy.Policy)) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return err
	}
	if in != nil && in.planner != nil {
		call(in.planner)
	}
	return nil
}

func registry(in *instance, raw []byte) error {
	var m struct {
		Number    int
		Form      string
		NodesList []struct {
			Server       string
			Hall         int
			Shape        int
			Cluster      int
			Availability string
			W            float64
			BornMs       float64
		}
	}
	forms := map[string]policy.UpdateKind{
		"update": policy.DeltaUpdate, "replace": policy.FullUpdate,
		"restored": policy.RestoredUpdate, "unavailable": policy.FailedUpdate,
	}
	states := map[string]policy.State{"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Removed}
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	form, ok := forms[m.Form]
	if !ok {
		return fmt.Errorf("field Form holds %q, which is no kind of list", m.Form)
	}
	list := make([]policy.Endpoint, 0, len(m.NodesList))
	for _, e := range m.NodesList {
		state, ok := states[e.Availability]
		if !ok {
			return fmt.Errorf("field NodesList.Availability holds %q, which is no state", e.Availability)
		}
		list = append(list, policy.Endpoint{Server: e.Server, Zone: e.Hall, State: state, RelativeCapacity: e.W, StartedMs: e.BornMs})
	}
	if in != nil && in.planner != nil {
		in.planner.UpdateEndpoints(form, list)
	}
	return nil
}

func (s *server) open(who string, raw []byte, now float64) (*instance, error) {
	var m struct {
		RandomSeed uint64
		Info       json.RawMessage
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	site, err := ReadSettings(m.Info)
	if err != nil {
		return nil, err
	}
	in := &instance{name: who, out: &s.out, planner: policy.New(site.Policy, int64(m.RandomSeed))}
	in.planner.SetTime(now)
	s.instances[who] = in
	return in, nil
}
