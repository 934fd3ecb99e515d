// Package decisionlog logs what the policy sees and decides about servers. Both front ends of the policy use it.
package decisionlog

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"

	"lichenpick/policy"
)

// Keys of log attributes.
const (
	keyAdmittedRate  = "admitted_per_s"
	keyAge           = "age_ms"
	keyBearableShare = "bearable_share"
	keyCold          = "cold"
	keyColdShare     = "cold_share"
	keyDemandRate    = "demand_per_s"
	keyDrains        = "drains"
	keyEjected       = "ejected_ms"
	keyJoinedAfter   = "joined_after_order"
	keyProxies       = "proxies"
	keyProxy         = "proxy"
	keyReason        = "reason"
	keyReasons       = "reasons"
	keyServer        = "server"
	keyServers       = "servers"
	keyState         = "state"
	keyUnhealthy     = "unhealthy"
	keyWarm          = "warm"
)

// Observer logs the decisions of a policy.
type Observer struct{ log *slog.Logger }

var _ policy.Observer = Observer{}

// New returns an observer that writes to a log.
func New(log *slog.Logger) Observer { return Observer{log: log} }

// ServerChanged implements policy.Observer: it logs each change on the level info.
func (o Observer) ServerChanged(change policy.ServerChange) {
	attributes := []any{keyServer, change.Server, keyReason, change.Reason, keyState, change.State}
	if !math.IsInf(change.AgeMs, 1) {
		attributes = append(attributes, keyAge, math.Round(change.AgeMs))
	}
	if change.EjectedMs > 0 {
		attributes = append(attributes, keyEjected, math.Round(change.EjectedMs))
	}
	o.log.Info("server changed", attributes...)
}

// Solved implements policy.Observer: it logs solves on the level info while servers are in slow start or ejected, and on the
// level debug otherwise.
func (o Observer) Solved(summary policy.SolveSummary) {
	level := slog.LevelDebug
	if summary.Cold+summary.Unhealthy > 0 {
		level = slog.LevelInfo
	}
	o.log.Log(context.Background(), level, "tables solved",
		keyWarm, summary.Warm,
		keyCold, summary.Cold,
		keyUnhealthy, summary.Unhealthy,
		keyColdShare, roundTo2(summary.ColdShare),
		keyDemandRate, math.Round(summary.DemandRate),
		keyAdmittedRate, math.Round(summary.AdmittedRate),
		keyBearableShare, roundTo2(summary.BearableShare),
	)
}

// DrainsUnsent implements policy.Observer: it logs how many proxies have not been sent how many ejections on the level warn,
// with the reasons, and one of the oldest.
func (o Observer) DrainsUnsent(late []policy.UnsentDrain) {
	proxies := map[int]bool{}
	servers := map[string]bool{}
	reasons := map[policy.UnsentReason]int{}
	oldest := late[0]
	for _, drain := range late {
		proxies[drain.Proxy] = true
		servers[drain.Server] = true
		reasons[drain.Reason]++
		if drain.AgeMs > oldest.AgeMs {
			oldest = drain
		}
	}
	var counts []any
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		counts = append(counts, slog.Int(reason.String(), reasons[reason]))
	}
	o.log.Warn("drains not sent",
		keyDrains, len(late),
		keyProxies, len(proxies),
		keyServers, len(servers),
		slog.Group(keyReasons, counts...),
		keyServer, oldest.Server,
		keyProxy, oldest.Proxy,
		keyAge, math.Round(oldest.AgeMs),
		keyReason, oldest.Reason,
		keyJoinedAfter, oldest.JoinedAfterward,
	)
}

// roundTo2 rounds to two decimal places.
func roundTo2(number float64) float64 { return math.Round(number*100) / 100 }
