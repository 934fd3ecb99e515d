package simulator

import (
	"encoding/json"

	"lichenpick/policy"
)

// Settings is the decoded settings object: the settings of the policy, and the names of zones and traffic classes, which the
// policy knows by number.
type Settings struct {
	Policy               policy.Settings
	Zones                []string // names of zones, indexed by the policy's zone number
	Classes              []string // names of traffic classes, indexed by the policy's class number
	EvaluationIntervalMs float64  // minimum time between two evaluations of the policy
}

// unlimited is the value of a limit that has no effect.
const unlimited = 1e12

// Values of the fields Admit and Discovery. With partialAdmission, proxies can admit a fraction of a class's requests. With
// watchedDiscovery, the endpoint list is sent only to planners that request it.
const (
	partialAdmission = "share"
	watchedDiscovery = "subscribe"
)

// idempotencyByName maps the values of the field Repeat to the policy's constants. Any other value means policy.NonIdempotent.
var idempotencyByName = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.Deduplicated,
}

// wireSettings is the settings object in its encoded form. The operators' documentation explains the keys; policySettings shows
// to which field of policy.Settings each key is converted.
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
	StaysLocal        []bool // by class; true: only servers of the proxy's zone get requests; missing element: false
}

type wireRules struct {
	AskWithinMs         float64
	ColdShare           float64
	WarmUpMs            float64
	FallMs              float64
	StopSendingWithinMs float64
}

// ReadSettings decodes a settings object, which is part of an instance's first message or of the configuration of the operators'
// platform. Both have the same form. Unknown keys are ignored.
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

// sameZoneOnly reports whether requests of a class may go only to servers of the proxy's zone.
func (f *wireFamily) sameZoneOnly(class int) bool {
	return class < len(f.StaysLocal) && f.StaysLocal[class]
}

// policySettings returns the policy's settings without the traffic classes.
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

// orUnlimited returns a limit, or unlimited if it is 0 or omitted. A limit of 0 connections or of 0 ms, taken literally, would
// shorten every weight table to the minimum number of entries.
func orUnlimited(limit float64) float64 {
	if limit <= 0 {
		return unlimited
	}
	return limit
}
