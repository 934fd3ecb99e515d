package planner

import (
	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// idempotencyOf maps the repeat setting of a traffic class to the policy's idempotency.
var idempotencyOf = map[pb.Repeat]policy.Idempotency{
	pb.Repeat_NON_RETRIABLE: policy.NonIdempotent,
	pb.Repeat_DEDUPED:       policy.Deduplicated,
	pb.Repeat_RETRIABLE:     policy.Idempotent,
}

// NewPolicy returns a policy for settings that were checked by package settings.
func NewPolicy(set *pb.Planner) *policy.Policy {
	return policy.New(policySettings(set), int64(set.GetSeed()))
}

// policySettings translates checked planner settings into those of the policy.
func policySettings(set *pb.Planner) policy.Settings {
	translated := policy.Settings{
		Zones:                len(set.Zones),
		DefaultRetry:         settings.RetryMode(set.DefaultRetry),
		PartialAdmission:     true,
		EntriesPerSecond:     settings.PerSecond(set.Channel.Lines),
		MessageOverhead:      set.Channel.GetHeadLines(),
		MaxBacklog:           float64(set.Channel.GetMostWaiting()),
		MaxMessages:          int(set.Channel.GetMostMessages()),
		MessageWindowMs:      settings.Milliseconds(set.Channel.MessageSpan),
		MaxPropagationMs:     settings.Milliseconds(set.Channel.LongestWay),
		ReportIntervalMs:     settings.Milliseconds(set.Reports.Every),
		ColdCapacity:         set.Servers.GetColdShare(),
		SlowStartMs:          settings.Milliseconds(set.Servers.WarmUp),
		DrainGraceMs:         settings.Milliseconds(set.Servers.DrainGrace),
		ColdOverloadWindowMs: settings.Milliseconds(set.Servers.FallWindow),
		CrossZoneCost:        set.GetCrossPrice(),
		Proxies:              int(set.GetProxies()),
		Planners:             int(set.GetPlanners()),
		MinServerConnections: float64(set.Servers.GetLeastConnections()),
		IdleTimeoutMs:        settings.Milliseconds(set.Servers.ConnectionIdle),
		EjectsSingly:         true, // policyHost.EjectServers
	}
	for _, class := range set.Groups {
		translated.Classes = append(translated.Classes, policy.TrafficClass{
			LatencyObjectiveMs: settings.Milliseconds(class.LatencyBudget),
			PriorityWeight:     class.GetUtility(),
			Idempotency:        idempotencyOf[class.Repeat],
			SameZoneOnly:       class.OnlyZone,
		})
	}
	return translated
}
