package fake

import (
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Outcome is how a request of a client ended, after all its retries.
type Outcome int

// The outcomes.
const (
	Failed    Outcome = iota // no answer in time, or an error
	Succeeded                // answered, in time or late
	Rejected                 // a proxy shed it
	NoServer                 // a proxy had no server to pick
)

// Retryable reports whether a client may send a request that ended so again, whatever the request is: it was not processed.
func (o Outcome) Retryable() bool { return o == Rejected || o == NoServer }

// Tally counts how the requests of a traffic class, or of a period, ended. A client's retries belong to its request. The
// names in JSON are those of earlier reports.
type Tally struct {
	Requested int     `json:"Asked"`
	Succeeded int     `json:"Delivered"` // within the latency objective
	Late      int     `json:"Late"`      // succeeded after it
	Rejected  int     `json:"Blocked"`
	NoServer  int     `json:"Bare"`
	Failed    int     `json:"Dropped"`
	Value     float64 `json:"Utility"`  // priority weight of those that succeeded in time
	MaxValue  float64 `json:"Possible"` // of all
}

// Record adds a request of a traffic class that ended after some ms.
func (t *Tally) Record(class *pb.Group, outcome Outcome, tookMs float64) {
	t.Requested++
	t.MaxValue += class.GetUtility()
	switch outcome {
	case Succeeded:
		if tookMs > settings.Milliseconds(class.LatencyBudget) {
			t.Late++
			return
		}
		t.Succeeded++
		t.Value += class.GetUtility()
	case Rejected:
		t.Rejected++
	case NoServer:
		t.NoServer++
	default:
		t.Failed++
	}
}
