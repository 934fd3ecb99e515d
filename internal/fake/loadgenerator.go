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
	// maxInFlight is how many requests a LoadGenerator has in flight; with more it ends its run.
	maxInFlight = 20_000
	// minRateFactor stands for a factor of 0, at which the next request would never be due.
	minRateFactor = 1e-3
	// retryDeadlinePart is the part of a request's deadline after which its client sends no retry.
	retryDeadlinePart = 0.8
	// maxIdleConnections is how many idle connections are kept to each proxy.
	maxIdleConnections = 256
)

// ErrTooManyInFlight tells that a run ended as the proxies answered far more slowly than requests were due.
var ErrTooManyInFlight = errors.New("too many requests in flight")

// LoadGenerator is many clients. It sends requests at times drawn ahead, whether earlier ones were answered or not. Its
// exported fields must not change during Run; all are required but MaxRetries, BackoffMs and Seed, for which 0 is a value.
type LoadGenerator struct {
	Clock             clock.Clock
	Classes           []*pb.Group // traffic classes
	Shares            []float64   // of the classes in the requests; they add up to 1
	RequestsPerSecond float64
	MaxRetries        int      // of a request by its client
	BackoffMs         float64  // before the first retry; doubled for each further one
	Proxies           []string // addresses, drawn evenly
	Seed              int64

	mu         sync.Mutex // guards all below
	rateFactor float64
	classes    []Tally
	seconds    []Tally // by second in which a request was due
	sent       int
}

// SetRateFactor multiplies the rate from now on. Any goroutine may call it, also before Run.
func (g *LoadGenerator) SetRateFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rateFactor = factor
}

// Run sends requests for some ms or until the context ends, then waits for the last answers. Its only error is
// ErrTooManyInFlight. It may be called once.
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
	chance := rand.New(rand.NewSource(g.Seed))
	startMs := g.Clock.Monotonic()
	dueMs := 0.0
	for number := 0; ; number++ {
		dueMs += g.nextInterval(chance)
		if dueMs >= lengthMs || !g.waitUntil(ctx, startMs+dueMs) {
			return nil
		}
		request := g.drawRequest(chance, number, int(dueMs/1000))
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

// nextInterval draws the time until the next request is due, in ms.
func (g *LoadGenerator) nextInterval(chance *rand.Rand) float64 {
	g.mu.Lock()
	factor := g.rateFactor
	g.mu.Unlock()
	if factor <= 0 {
		factor = minRateFactor
	}
	return chance.ExpFloat64() / (g.RequestsPerSecond * factor) * 1000
}

// waitUntil waits for a time of the clock, and reports whether the context did not end before.
func (g *LoadGenerator) waitUntil(ctx context.Context, atMs float64) bool {
	waitMs := atMs - g.Clock.Monotonic()
	return waitMs <= 0 || clock.Sleep(ctx, g.Clock, waitMs) == nil
}

// clientRequest is a request of a client, over all its retries.
type clientRequest struct {
	number int
	class  int
	proxy  int // that the client sends it to first
	seed   int64
	second int // in which it was due
}

// drawRequest draws the next request.
func (g *LoadGenerator) drawRequest(chance *rand.Rand, number, second int) clientRequest {
	class := 0
	drawn := chance.Float64()
	for class < len(g.Shares)-1 && drawn >= g.Shares[class] {
		drawn -= g.Shares[class]
		class++
	}
	proxyNumber := chance.Intn(len(g.Proxies))
	return clientRequest{number: number, class: class, proxy: proxyNumber, seed: chance.Int63(), second: second}
}

// send sends a request to a proxy, and again to another while it may be retried, and counts how it ended.
func (g *LoadGenerator) send(ctx context.Context, client *http.Client, request clientRequest) {
	class := g.Classes[request.class]
	chance := rand.New(rand.NewSource(request.seed))
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
		if !retryable || attempts > g.MaxRetries || elapsedMs+backoffMs > deadlineMs*retryDeadlinePart {
			break
		}
		if clock.Sleep(ctx, g.Clock, backoffMs*(0.5+chance.Float64())) != nil {
			break
		}
		proxyNumber = chance.Intn(len(g.Proxies))
		backoffMs *= 2
	}
	tookMs := g.Clock.Monotonic() - startMs
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent += attempts
	g.classes[request.class].Record(class, outcome, tookMs)
	g.seconds[request.second].Record(class, outcome, tookMs)
}

// attempt sends a request once, and returns how that ended.
func (g *LoadGenerator) attempt(ctx context.Context, client *http.Client, request clientRequest, number int, address string) Outcome {
	class := g.Classes[request.class]
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", http.NoBody)
	if err != nil {
		return Failed
	}
	message.Header.Set(proxy.ClassHeader, class.Name)
	message.Header.Set(proxy.RequestHeader, fmt.Sprintf("%d.%d", request.number, number))
	if class.Repeat == pb.Repeat_DEDUPED {
		message.Header.Set(IdempotencyKeyHeader, fmt.Sprint(request.number))
	}
	response, err := client.Do(message)
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

// Tallies returns how the requests ended, by traffic class and by second in which they were due, and how many were sent to
// proxies, retries included. Any goroutine may call it.
func (g *LoadGenerator) Tallies() (classes, seconds []Tally, sent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.classes), slices.Clone(g.seconds), g.sent
}
