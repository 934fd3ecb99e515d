package fake

import (
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Outcome is how an attempt of a client, or a whole request after all its retries, ended.
type Outcome int

// The outcomes of a request.
const (
	Failed    Outcome = iota // the client got no answer in time, or an error
	Succeeded                // answered with success, within the latency objective or later
	Rejected                 // shed by a proxy
	NoServer                 // the proxy had no server to send the request to
)

// Retryable reports whether a client may retry any request with this outcome, even one that is not idempotent, because the
// request was not processed.
func (o Outcome) Retryable() bool { return o == Rejected || o == NoServer }

// Tally counts the requests of a traffic class or of a period by outcome. A request counts once, however often it is
// retried. The JSON names must not change, so that reports remain comparable with earlier reports.
type Tally struct {
	Requested int     `json:"Asked"`
	Succeeded int     `json:"Delivered"` // requests that succeeded within the latency objective
	Late      int     `json:"Late"`      // requests that succeeded after the latency objective
	Rejected  int     `json:"Blocked"`
	NoServer  int     `json:"Bare"`
	Failed    int     `json:"Dropped"`
	Value     float64 `json:"Utility"`  // total priority weight of the requests counted in Succeeded
	MaxValue  float64 `json:"Possible"` // total priority weight of all requests
}

// Record counts a request of a traffic class that ended after tookMs.
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
