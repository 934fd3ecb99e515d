package simulator

import (
	"encoding/json"

	"lichenpick/policy"
)

// Settings is what the operators' settings tell: the module's part, and the names that are needed beside it.
type Settings struct {
	Policy               policy.Settings
	Zones                []string // by the module's number, like Classes
	Classes              []string
	EvaluationIntervalMs float64 // least time between two looks
}

// ReadSettings decodes the settings object of an instance's first message; the platform hands out the same one.
// Keys that are not known are skipped.
func ReadSettings(raw []byte) (Settings, error) {
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
		return Settings{}, err
	}
	f := &i.FamilyInfo
	repeats := map[string]policy.Idempotency{"read_like": policy.Idempotent, "idempotency_key": policy.Deduplicated}
	s := Settings{Zones: i.Azs, EvaluationIntervalMs: i.PeriodMs, Policy: policy.Settings{
		Zones: len(i.Azs), DefaultRetry: f.DefaultRetry, PartialAdmission: f.Admit == "share",
		WatchRequired: i.Discovery == "subscribe", AssumeNotifiedMs: i.Rules.AskWithinMs,
		Sharded: f.Slices > 0, EntriesPerSecond: f.ChannelRate, MessageOverhead: f.PerMessage, MaxBacklog: f.MostWaiting,
		MaxMessages: f.PushesAllowed, MessageWindowMs: f.ReloadSpanMs, MaxPropagationMs: f.TransitMaxMs,
		ReportIntervalMs: f.ReportEveryMs, ColdCapacity: i.Rules.ColdShare, SlowStartMs: i.Rules.WarmUpMs,
		ColdOverloadWindowMs: i.Rules.FallMs, DrainGraceMs: i.Rules.StopSendingWithinMs, CrossZoneCost: i.Prices.CrossZone,
		Proxies: f.DataPlaneSize, Planners: i.Balancers, MinServerConnections: orNone(f.SmallestConnTable),
		IdleTimeoutMs: orNone(i.Limits.ConnIdleMs),
	}}
	for k, c := range i.Classes {
		s.Classes = append(s.Classes, c.Name)
		s.Policy.Classes = append(s.Policy.Classes, policy.TrafficClass{
			LatencyObjectiveMs: c.AimMs, PriorityWeight: c.Worth,
			Idempotency: repeats[c.Repeat], SameZoneOnly: k < len(f.StaysLocal) && f.StaysLocal[k],
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
