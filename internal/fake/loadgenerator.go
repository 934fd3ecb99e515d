package fake

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Tally is what became of one traffic group's flows; a client's repeats belong to its first ask.
type Tally struct {
	Requested int     `json:"Asked"`
	Succeeded int     `json:"Delivered"`
	Late      int     `json:"Late"`
	Rejected  int     `json:"Blocked"`
	NoServer  int     `json:"Bare"`
	Failed    int     `json:"Dropped"`
	Value     float64 `json:"Utility"`
	MaxValue  float64 `json:"Possible"`
}

// LoadGenerator sends flows at times drawn ahead, whether earlier ones were answered or not.
type LoadGenerator struct {
	Clock             clock.Clock
	Classes           []*pb.Group
	Shares            []float64 // of groups; they add up to 1
	RequestsPerSecond float64
	MaxRetries        int
	BackoffMs         float64
	Proxies           []string // addresses
	Seed              int64

	mu      sync.Mutex
	factor  float64
	tallies []Tally
	seconds []Tally // by second of asking
	asks    int
}

const maxInFlight = 20000 // flows in hand at once; beyond it the crowd stops asking and says so

// SetRateFactor multiplies the rate from now on.
func (c *LoadGenerator) SetRateFactor(f float64) {
	c.mu.Lock()
	c.factor = f
	c.mu.Unlock()
}

// Run asks until the context ends or the time is over, then waits for the last answers.
func (c *LoadGenerator) Run(ctx context.Context, ms float64) error {
	c.mu.Lock()
	if c.factor == 0 {
		c.factor = 1
	}
	c.tallies = make([]Tally, len(c.Classes))
	c.seconds = make([]Tally, int(ms/1000)+1)
	c.mu.Unlock()
	chance := rand.New(rand.NewSource(c.Seed))
	line := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer line.CloseIdleConnections()
	client := &http.Client{Transport: line}
	inHand := make(chan struct{}, maxInFlight)
	var all sync.WaitGroup
	defer all.Wait()
	start := c.Clock.Monotonic()
	for n, next := 0, 0.0; ; n++ {
		c.mu.Lock()
		factor := c.factor
		c.mu.Unlock()
		if factor <= 0 {
			factor = 1e-3
		}
		next += chance.ExpFloat64() / (c.RequestsPerSecond * factor) * 1000
		if next >= ms {
			return nil
		}
		if wait := start + next - c.Clock.Monotonic(); wait > 0 && clock.Sleep(ctx, c.Clock, wait) != nil {
			return nil
		}
		group, x := 0, chance.Float64()
		for group < len(c.Shares)-1 && x >= c.Shares[group] {
			x -= c.Shares[group]
			group++
		}
		to := chance.Intn(len(c.Proxies))
		seed := chance.Int63()
		select {
		case inHand <- struct{}{}:
		default:
			return fmt.Errorf("more than %d flows in hand", maxInFlight)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-inHand }()
			c.flow(ctx, client, n, group, to, seed, int(next/1000))
		}()
	}
}

// flow is one client's: it asks, and asks again another proxy where its flow bears it.
func (c *LoadGenerator) flow(ctx context.Context, client *http.Client, n, group, to int, seed int64, second int) {
	g := c.Classes[group]
	chance := rand.New(rand.NewSource(seed))
	begun := c.Clock.Monotonic()
	expiry := settings.Milliseconds(g.Expiry)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(expiry*float64(time.Millisecond)))
	defer cancel()
	outcome, asks := "", 0
	for pause := c.BackoffMs; ; pause *= 2 {
		outcome = c.ask(ctx, client, fmt.Sprintf("%d.%d", n, asks), fmt.Sprint(n), g, c.Proxies[to])
		asks++
		safe := g.Repeat == pb.Repeat_RETRIABLE || outcome == "blocked" || outcome == "bare"
		if outcome == "ok" || !safe || asks > c.MaxRetries || c.Clock.Monotonic()-begun+pause > expiry*0.8 {
			break
		}
		if clock.Sleep(ctx, c.Clock, pause*(0.5+chance.Float64())) != nil {
			break
		}
		to = chance.Intn(len(c.Proxies))
	}
	took := c.Clock.Monotonic() - begun
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks += asks
	c.tallies[group].Record(g, outcome, took)
	c.seconds[second].Record(g, outcome, took)
}

// Record adds a flow of a group by its outcome, after some ms.
func (t *Tally) Record(g *pb.Group, outcome string, took float64) {
	t.Requested++
	t.MaxValue += g.GetUtility()
	switch {
	case outcome == "ok" && took <= settings.Milliseconds(g.LatencyBudget):
		t.Succeeded++
		t.Value += g.GetUtility()
	case outcome == "ok":
		t.Late++
	case outcome == "blocked":
		t.Rejected++
	case outcome == "bare":
		t.NoServer++
	default:
		t.Failed++
	}
}

func (c *LoadGenerator) ask(ctx context.Context, client *http.Client, id, key string, g *pb.Group, at string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/", http.NoBody)
	if err != nil {
		return "odd"
	}
	r.Header.Set(proxy.ClassHeader, g.Name)
	r.Header.Set(proxy.RequestHeader, id)
	if g.Repeat == pb.Repeat_DEDUPED {
		r.Header.Set(KeyHeader, key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return "dropped"
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return "dropped"
	case resp.StatusCode == http.StatusOK:
		return "ok"
	case resp.Header.Get(proxy.OutcomeHeader) != "":
		return resp.Header.Get(proxy.OutcomeHeader)
	}
	return "status " + strconv.Itoa(resp.StatusCode)
}

// Tallies gives what became of the flows, by group and by second, and how often proxies were asked.
func (c *LoadGenerator) Tallies() (groups, seconds []Tally, asks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Tally(nil), c.tallies...), append([]Tally(nil), c.seconds...), c.asks
}
