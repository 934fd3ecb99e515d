package fake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

const (
	// maxInFlight is the largest number of requests that a LoadGenerator has in flight. A run that would exceed this number
	// ends with ErrTooManyInFlight.
	maxInFlight = 20_000
	// minRateFactor replaces a rate factor of 0, with which the next request would never be due.
	minRateFactor = 1e-3
	// retryDeadlineFraction is the fraction of a request's deadline after which its client sends no more retries.
	retryDeadlineFraction = 0.8
	// maxIdleConnections is the number of idle connections that are kept to each proxy.
	maxIdleConnections = 256
)

// ErrTooManyInFlight is returned when a run ends early because the proxies answer far more slowly than requests become due.
var ErrTooManyInFlight = errors.New("too many requests in flight")

// LoadGenerator simulates many clients that send open-loop load: requests arrive as a Poisson process, whether or not earlier
// requests have been answered. Its exported fields must not change during Run. MaxRetries, BackoffMs and Seed may be 0; all
// other fields are required.
type LoadGenerator struct {
	Clock             clock.Clock
	Classes           []*pb.Group // traffic classes
	Shares            []float64   // fraction of the requests in each class, in the order of Classes; the sum is 1
	RequestsPerSecond float64
	MaxRetries        int      // largest number of retries that a client sends for one request
	BackoffMs         float64  // mean delay before the first retry, in ms; the mean doubles for each further retry
	Proxies           []string // addresses of the proxies; each request goes to one drawn at random, all with equal probability
	Seed              int64

	mu         sync.Mutex // guards the fields below
	rateFactor float64
	classes    []Tally // outcomes by traffic class
	seconds    []Tally // outcomes by the second of the run in which requests were due
	sent       int     // number of requests sent to proxies, retries included
}

// SetRateFactor sets the factor by which RequestsPerSecond is multiplied from now on. It is safe for concurrent use
// and may be called before Run.
func (g *LoadGenerator) SetRateFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rateFactor = factor
}

// Run sends requests for lengthMs or until the context ends, and then waits until all requests have ended. It returns no
// error other than ErrTooManyInFlight. It may be called only once.
func (g *LoadGenerator) Run(ctx context.Context, lengthMs float64) error {
	g.mu.Lock()
	if g.rateFactor == 0 {
		g.rateFactor = 1
	}
	g.classes = make([]Tally, len(g.Classes))
	g.seconds = make([]Tally, int(lengthMs/1000)+1)
	g.mu.Unlock()
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	inFlight := make(chan struct{}, maxInFlight)
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewSource(g.Seed))
	startMs := g.Clock.Monotonic()
	dueMs := 0.0
	for number := 0; ; number++ {
		dueMs += g.nextInterval(random)
		if dueMs >= lengthMs || !g.waitUntil(ctx, startMs+dueMs) {
			return nil
		}
		request := g.drawRequest(random, number, int(dueMs/1000))
		select {
		case inFlight <- struct{}{}:
		default:
			return fmt.Errorf("%w: more than %d", ErrTooManyInFlight, maxInFlight)
		}
		requests.Go(func() {
			defer func() { <-inFlight }()
			g.send(ctx, client, request)
		})
	}
}

// nextInterval draws the time in ms from one request until the next is due.
func (g *LoadGenerator) nextInterval(random *rand.Rand) float64 {
	g.mu.Lock()
	factor := g.rateFactor
	g.mu.Unlock()
	if factor <= 0 {
		factor = minRateFactor
	}
	return random.ExpFloat64() / (g.RequestsPerSecond * factor) * 1000
}

// waitUntil waits until the clock's monotonic time reaches atMs. It returns false if the context ends first.
func (g *LoadGenerator) waitUntil(ctx context.Context, atMs float64) bool {
	waitMs := atMs - g.Clock.Monotonic()
	return waitMs <= 0 || clock.Sleep(ctx, g.Clock, waitMs) == nil
}

// clientRequest is one request of a client, including all its retries.
type clientRequest struct {
	number int
	class  int
	proxy  int // index of the proxy to which the client sends the request first
	seed   int64
	second int // second of the run in which the request was due
}

// drawRequest draws the class, first proxy and seed of the next request.
func (g *LoadGenerator) drawRequest(random *rand.Rand, number, second int) clientRequest {
	class := 0
	drawn := random.Float64()
	for class < len(g.Shares)-1 && drawn >= g.Shares[class] {
		drawn -= g.Shares[class]
		class++
	}
	proxyNumber := random.Intn(len(g.Proxies))
	return clientRequest{number: number, class: class, proxy: proxyNumber, seed: random.Int63(), second: second}
}

// send sends a request to its first proxy, retries the request as long as retries are allowed, each time at a proxy
// drawn at random, and records the outcome.
func (g *LoadGenerator) send(ctx context.Context, client *http.Client, request clientRequest) {
	class := g.Classes[request.class]
	random := rand.New(rand.NewSource(request.seed))
	startMs := g.Clock.Monotonic()
	deadlineMs := settings.Milliseconds(class.Expiry)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadlineMs*float64(time.Millisecond)))
	defer cancel()
	idempotent := class.Repeat == pb.Repeat_RETRIABLE
	proxyNumber := request.proxy
	backoffMs := g.BackoffMs
	attempts := 0
	outcome := Failed
	for {
		outcome = g.attempt(ctx, client, request, attempts, g.Proxies[proxyNumber])
		attempts++
		retryable := outcome != Succeeded && (idempotent || outcome.Retryable())
		elapsedMs := g.Clock.Monotonic() - startMs
		if !retryable || attempts > g.MaxRetries || elapsedMs+backoffMs > deadlineMs*retryDeadlineFraction {
			break
		}
		if clock.Sleep(ctx, g.Clock, backoffMs*(0.5+random.Float64())) != nil {
			break
		}
		proxyNumber = random.Intn(len(g.Proxies))
		backoffMs *= 2
	}
	tookMs := g.Clock.Monotonic() - startMs
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent += attempts
	g.classes[request.class].Record(class, outcome, tookMs)
	g.seconds[request.second].Record(class, outcome, tookMs)
}

// attempt sends a request once and returns the outcome.
func (g *LoadGenerator) attempt(ctx context.Context, client *http.Client, request clientRequest, number int, address string) Outcome {
	class := g.Classes[request.class]
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", http.NoBody)
	if err != nil {
		return Failed
	}
	httpRequest.Header.Set(proxy.ClassHeader, class.Name)
	httpRequest.Header.Set(proxy.RequestHeader, fmt.Sprintf("%d.%d", request.number, number))
	if class.Repeat == pb.Repeat_DEDUPED {
		httpRequest.Header.Set(IdempotencyKeyHeader, fmt.Sprint(request.number))
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return Failed
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return Failed
	}
	if response.StatusCode == http.StatusOK {
		return Succeeded
	}
	switch response.Header.Get(proxy.OutcomeHeader) {
	case proxy.OutcomeRejected:
		return Rejected
	case proxy.OutcomeNoServer:
		return NoServer
	}
	return Failed
}

// Tallies returns the outcomes of the requests so far, by traffic class and by the second of the run in which they were due,
// and the number of requests sent to proxies, retries included. It is safe for concurrent use.
func (g *LoadGenerator) Tallies() (classes, seconds []Tally, sent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.classes), slices.Clone(g.seconds), g.sent
}
