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
	// maxRecordedUs and histogramDigits are the range, in µs, and the precision of histograms.
	maxRecordedUs   = 600_000_000
	histogramDigits = 3
	// noServer stands for none of the servers.
	noServer = -1
)

// StressTest is many proxies that only speak the control stream: they apply orders, make up requests by the weights that they
// hold, report and acknowledge, all by the product's own control-stream client. It loads planners at sizes at which real
// requests would need more than one machine. Its exported fields must not change during Run.
type StressTest struct {
	Clock             clock.Clock
	Network           clock.Network
	Planners          []string // addresses
	SharedFleet       bool     // the planners share the fleet; else each proxy begins with another of them
	Zones             []string // proxy n is in zone n modulo their number
	Classes           []*pb.Group
	Proxies           int
	Servers           int     // in the endpoint list
	ListPath          string  // file that the endpoint list is written to; empty: it is not
	RequestsPerSecond float64 // of each proxy
	ReportIntervalMs  float64 // of load reports
	DrainIntervalMs   float64 // between changes of the list, in which a server drains or is ready again; 0: none
	JoinSpreadMs      float64 // time over which the proxies join
	Seed              int64

	bytesUp, bytesDown, dials atomic.Int64

	mu              sync.Mutex // guards all below
	appliedUs       *hdrhistogram.Histogram
	withoutLeaderUs *hdrhistogram.Histogram
	result          StressResult
}

// StressResult is what the proxies of a StressTest observed.
type StressResult struct {
	Dials         int
	Assigned      int // proxies that were assigned tables
	Takeovers     int // leases that went from one planner to another
	Messages      int
	Orders        int     // in them
	AllAssignedMs float64 // from the first dial until all proxies were assigned tables; 0: never
	MaxMessages   int     // to one proxy within 10 s
	BytesUp       int     // on control streams, to planners
	BytesDown     int     // and from them

	// Times from the decision of orders until they were applied, in ms.
	ApplyP50Ms, ApplyP99Ms, ApplyP999Ms, ApplyMaxMs float64
	// Times from the last frame of a leader until the lease of the next, in ms.
	WithoutLeaderP50Ms, WithoutLeaderP99Ms, WithoutLeaderMaxMs float64
}

// Prepare writes the endpoint list, so that planners can be started before Run.
func (s *StressTest) Prepare() error { return s.writeList(noServer) }

// Run joins the proxies, lets them live for some ms and returns what they observed. It may be called once.
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
		group.Go(func() error { return s.changeList(ctx) })
	}
	err := group.Wait()
	return s.summarize(), err
}

// runProxy runs a proxy until the context ends; the group owns its goroutines.
func (s *StressTest) runProxy(ctx context.Context, group *errgroup.Group, number int, startMs float64) error {
	if clock.Sleep(ctx, s.Clock, s.JoinSpreadMs*float64(number)/float64(s.Proxies)) != nil {
		return nil
	}
	proxy := s.newProxy(number, startMs)
	group.Go(func() error {
		proxy.makeRequests(ctx, rand.New(rand.NewSource(s.Seed+int64(number))))
		return nil
	})
	return proxy.client.Connect(ctx)
}

// changeList has one server after the other drain and be ready again, until the context ends.
func (s *StressTest) changeList(ctx context.Context) error {
	for change := 0; clock.Sleep(ctx, s.Clock, s.DrainIntervalMs) == nil; change++ {
		draining := noServer
		if change%2 == 0 {
			draining = change / 2 % s.Servers
		}
		if err := s.writeList(draining); err != nil {
			return err
		}
	}
	return nil
}

// writeList writes the endpoint list, where there is one, with all servers ready but one.
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

// summarize returns what the proxies observed.
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

// quantileMs returns a quantile, in percent, of a histogram of µs.
func quantileMs(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// recordUs records a time in a histogram. One below 1 µs, as by clocks that differ, counts as 1 µs.
func recordUs(histogram *hdrhistogram.Histogram, us int64) {
	_ = histogram.RecordValue(max(us, 1)) // fails only for more than the longest test takes
}
