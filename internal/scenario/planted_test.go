package scenario

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "lichenpick/proto/settings"
)

// TestPlantedFaultsAreDetected guards against a checker that misses violations: in each run with a planted defect, the checker
// must detect violations of exactly the expected invariant.
func TestPlantedFaultsAreDetected(t *testing.T) {
	const deploy = `troubles { at: "1s" lasts: "3s" deploy { servers: 2 drain: "9s" } }`
	for name, test := range map[string]struct {
		fields string
		hooks  Hooks
		want   string // name of the invariant that the defect violates; empty: none
	}{
		"nothing planted": {fields: deploy},
		"tables without a weight": {
			fields: `bare_within: "1500ms"`,
			hooks:  Hooks{Decider: editDecisions(zeroAllWeights)},
			want:   "bare",
		},
		"retries of requests that are not idempotent": {
			fields: `troubles { at: "1s" lasts: "4s" failing { servers: 4 resets: 0.5 } }`,
			hooks:  Hooks{Proxy: retryAllInProxy, Planner: retryAllInPlanner},
			want:   "twice",
		},
		"a host that drops ejections": {
			fields: deploy,
			hooks:  Hooks{Decider: editDecisions(dropEjections)},
			want:   "drain",
		},
		"too much load on a cold server": {
			fields: `length: "9s" traffic { rate: "250/s" } servers { work: "40ms" waiting: 400 } limits { warm_up: "20s" fall_window: "1s" drain_grace: "2s" }
				troubles { at: "1s" lasts: "1s" crash { servers: 1 listed: true } }`,
			hooks: Hooks{Decider: editDecisions(overloadColdServers)},
			want:  "push-over",
		},
		"a flood of entries": {
			hooks: Hooks{Planner: raiseChannelLimits, Decider: editDecisions(floodEntries)},
			want:  "queue",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := play(t, test.fields, test.hooks)
			if !violatesOnly(result, test.want) {
				t.Errorf("violated %v, want %q; %v", result.ViolationCounts, test.want, result.Violations)
			}
		})
	}
}

// violatesOnly reports whether a run violated the named invariant and no other. If the name is empty, it reports whether the
// run violated no invariant.
func violatesOnly(result *Result, name string) bool {
	if name == "" {
		return len(result.ViolationCounts) == 0
	}
	return len(result.ViolationCounts) == 1 && result.ViolationCounts[name] > 0
}

func zeroAllWeights(d *editingDecider) {
	d.editWeight = func(d *editingDecider, table int, server string, _ float64) {
		d.host.SetWeight(table, server, 0)
	}
}

func dropEjections(d *editingDecider) {
	d.editEjection = func(*editingDecider, string, bool) {}
	d.editWeight = func(d *editingDecider, table int, server string, weight float64) {
		if weight > 0 {
			d.host.SetWeight(table, server, weight)
		}
	}
}

func overloadColdServers(d *editingDecider) {
	d.editWeight = func(d *editingDecider, table int, server string, weight float64) {
		if d.cold[server] && weight > 0 {
			weight = 50
		}
		d.host.SetWeight(table, server, weight)
	}
}

func floodEntries(d *editingDecider) {
	d.beforeRound = func(d *editingDecider) {
		for n := range 3 {
			d.host.SetWeight(0, fmt.Sprintf("127.9.9.9:%d", 9000+n), 1e-6)
		}
	}
}

func retryAllInProxy(set *pb.Proxy) {
	set.DefaultRetry = pb.Retry_ONCE
	declareIdempotent(set.Groups)
}

// retryAllInPlanner declares all classes idempotent in the planner's settings, so that the policy allows retries of all
// requests.
func retryAllInPlanner(set *pb.Planner) {
	set.DefaultRetry = pb.Retry_ONCE
	declareIdempotent(set.Groups)
}

func declareIdempotent(classes []*pb.Group) {
	for _, class := range classes {
		class.Repeat = pb.Repeat_RETRIABLE
	}
}

// raiseChannelLimits raises the limits at which the planner would close a stream. The checker's limits stay unchanged.
func raiseChannelLimits(set *pb.Planner) {
	set.Channel = proto.CloneOf(set.Channel)
	set.Channel.MostMessages = proto.Uint32(100_000)
	set.Channel.MostWaiting = proto.Uint32(1_000_000)
}
