package simulator

import (
	"encoding/json"

	"lichenpick/policy"
)

// Settings is what the operators' settings object says: the policy's part, and the names that are needed beside it.
type Settings struct {
	Policy               policy.Settings
	Zones                []string // names, by the policy's number
	Classes              []string // names, by the policy's number
	EvaluationIntervalMs float64  // least time between two evaluations of the policy
}

// unlimited stands for a limit that binds nothing.
const unlimited = 1e12

// partialAdmission is the name of admission by fractions, and watchedDiscovery that of a list that comes only to who asks.
const (
	partialAdmission = "share"
	watchedDiscovery = "subscribe"
)

// idempotencyByName are by their names; any other name is policy.NonIdempotent.
var idempotencyByName = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.Deduplicated,
}

// wireSettings is the settings object. The operators' pages explain its keys.
type wireSettings struct {
	Azs        []string
	Classes    []wireClass
	Discovery  string
	FamilyInfo wireFamily
	Balancers  int
	Limits     struct{ ConnIdleMs float64 }
	PeriodMs   float64
	Prices     struct{ CrossZone float64 }
	Rules      wireRules
}

type wireClass struct {
	Name   string
	AimMs  float64
	Worth  float64
	Repeat string
}

type wireFamily struct {
	Admit             string
	ChannelRate       float64
	PerMessage        float64
	MostWaiting       float64
	DefaultRetry      int
	PushesAllowed     int
	Slices            int
	DataPlaneSize     int
	SmallestConnTable float64
	ReloadSpanMs      float64
	ReportEveryMs     float64
	TransitMaxMs      float64
	StaysLocal        []bool // by class; those beyond its end may leave their zone
}

type wireRules struct {
	AskWithinMs         float64
	ColdShare           float64
	WarmUpMs            float64
	FallMs              float64
	StopSendingWithinMs float64
}

// ReadSettings decodes the settings object of an instance's first message; the operators' platform hands out the same one.
// Unknown keys are skipped.
func ReadSettings(raw []byte) (Settings, error) {
	var wire wireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return Settings{}, err
	}
	settings := Settings{
		Zones:                wire.Azs,
		EvaluationIntervalMs: wire.PeriodMs,
		Policy:               wire.policySettings(),
	}
	for index, class := range wire.Classes {
		settings.Classes = append(settings.Classes, class.Name)
		settings.Policy.Classes = append(settings.Policy.Classes, policy.TrafficClass{
			LatencyObjectiveMs: class.AimMs,
			PriorityWeight:     class.Worth,
			Idempotency:        idempotencyByName[class.Repeat],
			SameZoneOnly:       wire.FamilyInfo.sameZoneOnly(index),
		})
	}
	return settings, nil
}

// sameZoneOnly says whether a class may go only to servers of the proxy's zone.
func (f *wireFamily) sameZoneOnly(class int) bool {
	return class < len(f.StaysLocal) && f.StaysLocal[class]
}

// policySettings gives the policy's settings but for the traffic classes.
func (w *wireSettings) policySettings() policy.Settings {
	family := &w.FamilyInfo
	return policy.Settings{
		Zones:                len(w.Azs),
		DefaultRetry:         family.DefaultRetry,
		PartialAdmission:     family.Admit == partialAdmission,
		WatchRequired:        w.Discovery == watchedDiscovery,
		AssumeNotifiedMs:     w.Rules.AskWithinMs,
		Sharded:              family.Slices > 0,
		EntriesPerSecond:     family.ChannelRate,
		MessageOverhead:      family.PerMessage,
		MaxBacklog:           family.MostWaiting,
		MaxMessages:          family.PushesAllowed,
		MessageWindowMs:      family.ReloadSpanMs,
		MaxPropagationMs:     family.TransitMaxMs,
		ReportIntervalMs:     family.ReportEveryMs,
		ColdCapacity:         w.Rules.ColdShare,
		SlowStartMs:          w.Rules.WarmUpMs,
		ColdOverloadWindowMs: w.Rules.FallMs,
		DrainGraceMs:         w.Rules.StopSendingWithinMs,
		CrossZoneCost:        w.Prices.CrossZone,
		Proxies:              family.DataPlaneSize,
		Planners:             w.Balancers,
		MinServerConnections: orUnlimited(family.SmallestConnTable),
		IdleTimeoutMs:        orUnlimited(w.Limits.ConnIdleMs),
	}
}

// orUnlimited reads a limit that is 0 or left out as none. It guards against taking that for 'none are allowed', or 'at
// once', which would cut every table down to its fewest entries.
func orUnlimited(limit float64) float64 {
	if limit <= 0 {
		return unlimited
	}
	return limit
}
