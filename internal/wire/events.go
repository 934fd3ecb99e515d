package wire

import (
	"encoding/json"
	"fmt"

	"lichenpick/brain"
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
		return decode(in, raw, &m, func(p *brain.Planner) { p.Joined(m.Proxy, m.Hall, m.W) })
	},
	"LostStream": func(in *instance, raw []byte) error {
		var m struct{ Proxy int }
		return decode(in, raw, &m, func(p *brain.Planner) { p.Left(m.Proxy) })
	},
	"Stats": func(in *instance, raw []byte) error {
		var m struct {
			Failed, Hall, Count int
			Server              string
			TookMs, CoversMs    float64
			Metrics             []float64
		}
		return decode(in, raw, &m, func(p *brain.Planner) {
			p.Heard(m.Server, m.Hall, m.Count, m.Failed, m.TookMs, m.CoversMs)
		})
	},
	"Usage": func(in *instance, raw []byte) error {
		var m struct {
			Proxy, Service, Count, Failed int
			CoversMs                      float64
		}
		return decode(in, raw, &m, func(p *brain.Planner) {
			p.Usage(m.Proxy, m.Service, m.Count, m.Failed, m.CoversMs)
		})
	},
	"CaughtUp": func(in *instance, raw []byte) error {
		var m struct {
			Proxy, Number int
			TookMs        float64
		}
		return decode(in, raw, &m, func(p *brain.Planner) { p.Applied(m.Proxy, m.Number, m.TookMs) })
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

func decode(in *instance, raw []byte, into any, call func(*brain.Planner)) error {
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
	forms := map[string]brain.ListForm{"update": brain.Change, "replace": brain.Whole,
		"restored": brain.Restored, "unavailable": brain.Failed}
	states := map[string]brain.State{"SERVING": brain.Ready, "DRAINING": brain.Draining, "DELETED": brain.Gone}
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	form, ok := forms[m.Form]
	if !ok {
		return fmt.Errorf("field Form holds %q, which is no kind of list", m.Form)
	}
	list := make([]brain.Entry, 0, len(m.NodesList))
	for _, e := range m.NodesList {
		state, ok := states[e.Availability]
		if !ok {
			return fmt.Errorf("field NodesList.Availability holds %q, which is no state", e.Availability)
		}
		list = append(list, brain.Entry{Server: e.Server, Zone: e.Hall, State: state, Size: e.W, BornMs: e.BornMs})
	}
	if in != nil && in.planner != nil {
		in.planner.Listed(form, list)
	}
	return nil
}

func (s *server) open(who string, raw []byte, now float64) (*instance, error) {
	var m struct {
		RandomSeed uint64
		Info       struct {
			Azs     []string
			Classes []struct {
				AimMs, Worth float64
				Repeat       string
			}
			Discovery  string
			FamilyInfo struct {
				Admit                                     string
				ChannelRate, PerMessage, MostWaiting      float64
				DefaultRetry, PushesAllowed, Slices       int
				DataPlaneSize                             int
				SmallestConnTable                         float64
				ReloadSpanMs, ReportEveryMs, TransitMaxMs float64
				StaysLocal                                []bool
			}
			Balancers int
			Limits    struct{ ConnIdleMs float64 }
			Prices    struct{ CrossZone float64 }
			Rules     struct{ AskWithinMs, ColdShare, WarmUpMs, FallMs, StopSendingWithinMs float64 }
		}
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	i := &m.Info
	f := &i.FamilyInfo
	repeats := map[string]brain.Repeat{"read_like": brain.Retriable, "idempotency_key": brain.Deduped}
	set := brain.Settings{
		Zones: len(i.Azs), DefaultRetry: f.DefaultRetry, CanAdmit: f.Admit == "share",
		MustFollow: i.Discovery == "subscribe", AskWithinMs: i.Rules.AskWithinMs,
		Sliced: f.Slices > 0, ChannelRate: f.ChannelRate, HeadLines: f.PerMessage, MostWaiting: f.MostWaiting,
		MostMessages: f.PushesAllowed, MessageSpanMs: f.ReloadSpanMs, LongestWayMs: f.TransitMaxMs,
		ReportEveryMs: f.ReportEveryMs, ColdShare: i.Rules.ColdShare, WarmUpMs: i.Rules.WarmUpMs,
		FallMs: i.Rules.FallMs, GraceMs: i.Rules.StopSendingWithinMs, CrossPrice: i.Prices.CrossZone,
		Proxies: f.DataPlaneSize, Planners: i.Balancers, LeastConns: f.SmallestConnTable,
		IdleMs: i.Limits.ConnIdleMs,
	}
	for k, c := range i.Classes {
		set.Groups = append(set.Groups, brain.TrafficGroup{BudgetMs: c.AimMs, Utility: c.Worth,
			Repeat: repeats[c.Repeat], OnlyZone: k < len(f.StaysLocal) && f.StaysLocal[k]})
	}
	in := &instance{name: who, out: &s.out, planner: brain.New(set, int64(m.RandomSeed))}
	in.planner.Tick(now)
	s.instances[who] = in
	return in, nil
}
