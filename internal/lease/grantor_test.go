package lease

import (
	"math"
	"testing"
)

// TestGrantorGrants checks that a proxy grants no request that would give the proxy two holders or reuse an epoch.
func TestGrantorGrants(t *testing.T) {
	const nowMs = 1000
	tests := []struct {
		name        string
		controller  string
		incarnation uint64
		epoch       uint64
		expired     bool // whether the holder's lease has expired before the request
		want        bool
	}{
		{name: "the holder renews under its epoch", controller: "A", incarnation: 1, epoch: 5, want: true},
		{name: "the holder renews under a higher epoch", controller: "A", incarnation: 1, epoch: 6, want: true},
		{name: "the holder requests under a past epoch", controller: "A", incarnation: 1, epoch: 4},
		{name: "another controller requests while the lease is held", controller: "B", incarnation: 2, epoch: 6},
		{name: "another process of the holder's name requests", controller: "A", incarnation: 2, epoch: 6},
		{name: "a request without a name", epoch: 6, expired: true},
		{name: "another controller requests after the lease expired", controller: "B", incarnation: 2, epoch: 6, expired: true, want: true},
		{name: "the used epoch is requested after the lease expired", controller: "B", incarnation: 2, epoch: 5, expired: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var grantor Grantor
			grantor.SetTime(nowMs)
			if !grantor.Grant("A", 1, 5, math.Inf(1)) {
				t.Fatal("the first request is not granted")
			}
			if grantor.RemainingMs() != DurationMs {
				t.Errorf("granted for %g ms, want DurationMs", grantor.RemainingMs())
			}
			if test.expired && !grantor.SetTime(grantor.ExpiresMs) {
				t.Fatal("the lease has not expired")
			}
			if granted := grantor.Grant(test.controller, test.incarnation, test.epoch, DurationMs); granted != test.want {
				t.Errorf("unexpected decision: granted %t", granted)
			}
		})
	}
}
