package simulator

import (
	"encoding/json"

	"lichenpick/policy"
)

// Site is what the operators' settings tell: the module's part, and the names that are needed beside it.
type Site struct {
	Module   policy.Settings
	Zones    []string // by the module's number, like Groups
	Groups   []string
	PeriodMs float64 // least time between two looks
}

// ReadSettings decodes the settings object of an instance's first message; the platform hands out the same one.
// Keys that are not known are skipped.
func ReadSettings(raw []byte) (Site, error) {
	var i struct {
		Azs     []string
		Classes []struct {
			Name         string
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
		PeriodMs  float64
		Prices    struct{ CrossZone float64 }
		Rules     struct{ AskWithinMs, ColdShare, WarmUpMs, FallMs, StopSendingWithinMs float64 }
	}
	if err := json.Unmarshal(raw, &i); err != nil {
		return Site{}, err
	}
	f := &i.FamilyInfo
	repeats := map[string]policy.Repeat{"read_like": policy.Retriable, "idempotency_key": policy.Deduped}
	s := Site{Zones: i.Azs, PeriodMs: i.PeriodMs, Module: policy.Settings{
		Zones: len(i.Azs), DefaultRetry: f.DefaultRetry, CanAdmit: f.Admit == "share",
		MustFollow: i.Discovery == "subscribe", AskWithinMs: i.Rules.AskWithinMs,
		Sliced: f.Slices > 0, ChannelRate: f.ChannelRate, HeadLines: f.PerMessage, MostWaiting: f.MostWaiting,
		MostMessages: f.PushesAllowed, MessageSpanMs: f.ReloadSpanMs, LongestWayMs: f.TransitMaxMs,
		ReportEveryMs: f.ReportEveryMs, ColdShare: i.Rules.ColdShare, WarmUpMs: i.Rules.WarmUpMs,
		FallMs: i.Rules.FallMs, GraceMs: i.Rules.StopSendingWithinMs, CrossPrice: i.Prices.CrossZone,
		Proxies: f.DataPlaneSize, Planners: i.Balancers, LeastConns: orNone(f.SmallestConnTable),
		IdleMs: orNone(i.Limits.ConnIdleMs),
	}}
	for k, c := range i.Classes {
		s.Groups = append(s.Groups, c.Name)
		s.Module.Groups = append(s.Module.Groups, policy.TrafficGroup{
			BudgetMs: c.AimMs, Utility: c.Worth,
			Repeat: repeats[c.Repeat], OnlyZone: k < len(f.StaysLocal) && f.StaysLocal[k],
		})
	}
	return s, nil
}

// none stands for a limit that binds nothing.
const none = 1e12

// orNone reads a limit that is 0 or left out: there is none. Guards against taking it for 'none are allowed', 'at once'.
func orNone(limit float64) float64 {
	if limit <= 0 {
		return none
	}
	return limit
}
