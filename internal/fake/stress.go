package fake

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/discovery"
	pb "lichenpick/proto/settings"
)

const (
	// maxRecordedUs is the highest value of the histograms in µs, and histogramDigits their number of significant digits.
	maxRecordedUs   = 600_000_000
	histogramDigits = 3
	// noneDraining is passed to writeList when no server drains.
	noneDraining = -1
)

// StressTest runs many proxies that speak only the control stream, with the control client of package proxy: they apply and
// acknowledge orders, simulate requests by the weights that they hold, and send load reports. It loads planners with more
// proxies than one machine could run with real requests. Its exported fields must not change during Run.
type StressTest struct {
	Clock             clock.Clock
	Network           clock.Network
	Planners          []string // addresses of the planners
	SharedFleet       bool     // whether the planners share the fleet; if not, the proxies are spread over the planners
	Zones             []string // zones of the proxies; proxy n is in the zone with index n modulo the number of zones
	Classes           []*pb.Group
	Proxies           int
	Servers           int     // number of servers in the endpoint list
	ListPath          string  // file to which the endpoint list is written; empty: no list is written
	RequestsPerSecond float64 // rate of the requests that each proxy simulates
	ReportIntervalMs  float64 // time between two load reports of a proxy, in ms
	DrainIntervalMs   float64 // ms between changes of the endpoint list, each the start or end of a server's drain; 0: none
	JoinSpreadMs      float64 // time over which the joins of the proxies are spread, in ms
	Seed              int64

	bytesUp, bytesDown, dials atomic.Int64

	mu              sync.Mutex // guards the fields below
	appliedUs       *hdrhistogram.Histogram
	withoutLeaderUs *hdrhistogram.Histogram
	result          StressResult
}

// StressResult is what the proxies of a StressTest measured.
type StressResult struct {
	Dials         int     // number of connections dialled to planners
	Assigned      int     // number of proxies that were assigned weight tables
	Takeovers     int     // number of times that a proxy's lease passed from one planner to another
	Messages      int     // number of messages with orders that the proxies applied
	Orders        int     // number of orders in the messages that Messages counts
	AllAssignedMs float64 // ms from the start until the last proxy was assigned tables; 0: some proxy was never assigned any
	MaxMessages   int     // largest number of messages to one proxy within 10 s
	BytesUp       int     // number of bytes sent to planners on control streams
	BytesDown     int     // number of bytes received from planners on control streams

	// Quantiles of the time from a planner's decision on orders until a proxy applied these orders, in ms.
	ApplyP50Ms, ApplyP99Ms, ApplyP999Ms, ApplyMaxMs float64
	// Quantiles of the time that a proxy had no leading planner at a takeover: from the last frame of the previous leader until
	// the lease of the next one, in ms.
	WithoutLeaderP50Ms, WithoutLeaderP99Ms, WithoutLeaderMaxMs float64
}

// Prepare writes the endpoint list, so that planners that read it can be started before Run.
func (s *StressTest) Prepare() error { return s.writeList(noneDraining) }

// Run connects the proxies, runs them until lengthMs have passed and returns what they measured. It may be called only once.
func (s *StressTest) Run(ctx context.Context, lengthMs float64) (StressResult, error) {
	s.appliedUs = hdrhistogram.New(1, maxRecordedUs, histogramDigits)
	s.withoutLeaderUs = hdrhistogram.New(1, maxRecordedUs, histogramDigits)
	if err := s.Prepare(); err != nil {
		return s.result, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(lengthMs*float64(time.Millisecond)))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	startMs := s.Clock.Monotonic()
	for number := range s.Proxies {
		group.Go(func() error { return s.runProxy(ctx, group, number, startMs) })
	}
	if s.DrainIntervalMs > 0 && s.ListPath != "" {
		group.Go(func() error { return s.toggleDraining(ctx) })
	}
	err := group.Wait()
	return s.summarize(), err
}

// runProxy runs a proxy until the context ends. It first waits until the proxy's join is due; the joins are spread over
// JoinSpreadMs. The proxy's goroutines belong to the group.
func (s *StressTest) runProxy(ctx context.Context, group *errgroup.Group, number int, startMs float64) error {
	if clock.Sleep(ctx, s.Clock, s.JoinSpreadMs*float64(number)/float64(s.Proxies)) != nil {
		return nil
	}
	proxy := s.newProxy(number, startMs)
	group.Go(func() error {
		proxy.simulateRequests(ctx, rand.New(rand.NewSource(s.Seed+int64(number))))
		return nil
	})
	return proxy.client.Connect(ctx)
}

// toggleDraining rewrites the endpoint list until the context ends, so that one server after another drains and becomes ready
// again.
func (s *StressTest) toggleDraining(ctx context.Context) error {
	for change := 0; clock.Sleep(ctx, s.Clock, s.DrainIntervalMs) == nil; change++ {
		draining := noneDraining
		if change%2 == 0 {
			draining = change / 2 % s.Servers
		}
		if err := s.writeList(draining); err != nil {
			return err
		}
	}
	return nil
}

// writeList writes the endpoint list if ListPath is set. All servers are ready, except the server of the given index, which
// drains.
func (s *StressTest) writeList(draining int) error {
	if s.ListPath == "" {
		return nil
	}
	list := &pb.List{}
	for number := range s.Servers {
		entry := &pb.List_Entry{
			Server: fmt.Sprintf("127.9.%d.%d:8000", number/250, number%250+1),
			Zone:   s.Zones[number%len(s.Zones)],
			Size:   proto.Float64(1),
		}
		if number == draining {
			entry.State = pb.List_DRAINING
		}
		list.Servers = append(list.Servers, entry)
	}
	return discovery.Save(s.ListPath, list)
}

// summarize returns what the proxies measured.
func (s *StressTest) summarize() StressResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.result
	result.ApplyP50Ms = quantileMs(s.appliedUs, 50)
	result.ApplyP99Ms = quantileMs(s.appliedUs, 99)
	result.ApplyP999Ms = quantileMs(s.appliedUs, 99.9)
	result.ApplyMaxMs = quantileMs(s.appliedUs, 100)
	result.WithoutLeaderP50Ms = quantileMs(s.withoutLeaderUs, 50)
	result.WithoutLeaderP99Ms = quantileMs(s.withoutLeaderUs, 99)
	result.WithoutLeaderMaxMs = quantileMs(s.withoutLeaderUs, 100)
	result.Dials = int(s.dials.Load())
	result.BytesUp = int(s.bytesUp.Load())
	result.BytesDown = int(s.bytesDown.Load())
	return result
}

// quantileMs returns a percentile, in ms, of a histogram of values in µs.
func quantileMs(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// recordUs records a duration in a histogram. A duration below 1 µs, which occurs when the clocks of planner and proxy
// differ, counts as 1 µs.
func recordUs(histogram *hdrhistogram.Histogram, us int64) {
	_ = histogram.RecordValue(max(us, 1)) // fails only above maxRecordedUs, which is longer than any test
}
