package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// startProxy runs a proxy without a planner and with a standing table of the given servers, and returns its address.
func startProxy(t *testing.T, extraSettings string, servers ...string) (running *Proxy, address string) {
	t.Helper()
	return startProxyOn(t, clock.TCP{}, extraSettings, servers...)
}

// startProxyOn is startProxy with the network that the proxy uses.
func startProxyOn(t *testing.T, network clock.Network, extraSettings string, servers ...string) (running *Proxy, address string) {
	t.Helper()
	text := `name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1" default_retry: ONCE
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
		groups { name: "start" latency_budget: "600ms" expiry: "1.5s" repeat: DEDUPED }
		groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" } ` + extraSettings
	for _, server := range servers {
		text += fmt.Sprintf(" standing: %q", server)
	}
	set := &pb.Proxy{}
	if err := settings.Parse("test", []byte(text), set); err != nil {
		t.Fatal(err)
	}
	ready := make(chan string, 1)
	done := make(chan error, 1)
	running = New(Options{
		Settings: set, Clock: clock.NewReal(), Network: network, Log: slog.New(slog.DiscardHandler),
		Ready: func(address net.Addr) { ready <- address.String() },
	})
	go func() { done <- running.Run(t.Context()) }() // the context is cancelled before the cleanup functions run
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return running, <-ready
}

// listen returns a listener on a free local port that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails if the test has closed the listener already
	return listener
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startServer runs an HTTP server and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener := listen(t)
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send sends a request as a client and returns the status and the OutcomeHeader of the response. The headers are given as
// alternating names and values.
func send(t *testing.T, address, method, class, body string, headers ...string) (status int, outcome string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(ClassHeader, class)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(response)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(OutcomeHeader)
}

// checkSend sends a request without a body and checks the status and the OutcomeHeader of the response.
func checkSend(t *testing.T, address, class string, wantStatus int, wantOutcome string) {
	t.Helper()
	status, outcome := send(t, address, "GET", class, "")
	if status != wantStatus || outcome != wantOutcome {
		t.Errorf("class %q: status %d, outcome %q; want %d, %q", class, status, outcome, wantStatus, wantOutcome)
	}
}

// startBreakingServer starts a server that accepts a single connection. It responds to the first request. It reads the second
// request and then closes the listener and the connection without a response.
func startBreakingServer(t *testing.T, received *atomic.Int32) string {
	t.Helper()
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer closeConnection(conn)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if received.Add(1) == 2 {
				_ = listener.Close()
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	return listener.Addr().String()
}

func TestProxy(t *testing.T) {
	// A reused connection that breaks after the request was written does not prove that the server did not process the
	// request, even if the HTTP library then dials again and that dial is refused. The cases are the kinds of requests that
	// the library considers safe to resend: those with an idempotent method and those with an Idempotency-Key header.
	// Without the protection of forbidResend, a request that was already processed would be sent to another server.
	for _, test := range []struct{ method, class, idempotencyKey string }{
		{"GET", "charge", ""},
		{"POST", "start", "k1"},
		{"POST", "charge", "k2"},
	} {
		t.Run("a request that was written is not sent again: "+test.method+" "+test.class, func(t *testing.T) {
			checkWrittenNotRepeated(t, test.method, test.class, test.idempotencyKey)
		})
	}
	t.Run("after a refused dial a request is retried at another server with its body", checkRetryAfterRefusedDial)
	t.Run("a request that is not admitted, has no server or is of an unknown class is rejected", func(t *testing.T) {
		running, address := startProxy(t, "")
		checkSend(t, address, "check", http.StatusServiceUnavailable, "bare")
		running.mu.Lock()
		running.core.ApplyOrders(admissionOrder(0, 0, 1))
		running.mu.Unlock()
		checkSend(t, address, "check", http.StatusServiceUnavailable, "blocked")
		checkSend(t, address, "no such", http.StatusBadRequest, "odd")
	})
	t.Run("no request that is not idempotent is processed twice while tables change", checkChangesUnderLoad)
}

func checkWrittenNotRepeated(t *testing.T, method, class, idempotencyKey string) {
	var received, other atomic.Int32
	second := startServer(t, func(http.ResponseWriter, *http.Request) { other.Add(1) })
	running, address := startProxy(t, "", startBreakingServer(t, &received))
	var headers []string
	if idempotencyKey != "" {
		headers = []string{"Idempotency-Key", idempotencyKey}
	}
	send(t, address, method, class, "", headers...)
	running.mu.Lock() // adds another server to the table, to which a retry could go
	assigned := running.core.tableByClass[0]
	assigned.entries = append(assigned.entries, &weightEntry{server: second, weight: 1e-9})
	running.mu.Unlock()
	status, outcome := send(t, address, method, class, "", headers...)
	if received.Load() != 2 || other.Load() != 0 {
		t.Errorf("the server received %d requests and the other server %d, want 2 and 0", received.Load(), other.Load())
	}
	if status != http.StatusBadGateway || outcome != "dropped" {
		t.Errorf("status %d, outcome %q, want 502, dropped", status, outcome)
	}
}

func checkRetryAfterRefusedDial(t *testing.T) {
	var received atomic.Value
	server := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		received.Store(request.Header.Get(AttemptHeader) + " " + string(body))
	})
	_, address := startProxy(t, "pick: ROUND", closedAddress(t), server)
	for range 4 {
		if status, _ := send(t, address, "POST", "charge", "amount=5"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if text, _ := received.Load().(string); !strings.HasSuffix(text, " amount=5") {
		t.Errorf("the server received attempt number and body %q, want the body amount=5", text)
	}
}

// processedCounter counts how often each request was processed, by its identifier.
type processedCounter struct {
	mu    sync.Mutex
	times map[string]int
}

// record counts a request and returns the number of distinct requests processed so far.
func (p *processedCounter) record(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times[id]++
	return len(p.times)
}

// startServers returns the addresses of four running servers and of one that does not listen. The first server aborts some
// requests after processing them, and the second responds to some with an error.
func startServers(t *testing.T, processed *processedCounter) []string {
	t.Helper()
	var servers []string
	for index := range 4 {
		servers = append(servers, startServer(t, func(response http.ResponseWriter, request *http.Request) {
			count := processed.record(request.Header.Get(RequestHeader))
			switch {
			case index == 0 && count%5 == 0:
				panic(http.ErrAbortHandler)
			case index == 1 && count%4 == 0:
				http.Error(response, "failed", http.StatusInternalServerError)
			}
		}))
	}
	return append(servers, closedAddress(t))
}

// changeTables changes a proxy's tables and ejections as fast as possible, as a planner would, until stop is called.
func changeTables(running *Proxy, servers []string) (stop func()) {
	done := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for round := 0; ; round++ {
			select {
			case <-done:
				return
			default:
			}
			running.mu.Lock()
			if round%50 == 0 {
				running.core.StartSession(&order.Welcome{})
			}
			running.core.ApplyOrders(assignOrder(nil, entry(servers[round%5], 0.5), entry(servers[(round+1)%5], 0.5),
				entry(servers[(round+2)%5], 0.1)))
			running.core.ApplyOrders(ejectionOrder(servers[round%3], round%2 == 0))
			running.closeUnusedTransports()
			running.mu.Unlock()
		}
	})
	return func() {
		close(done)
		changes.Wait()
	}
}

func checkChangesUnderLoad(t *testing.T) {
	const (
		clientCount       = 8
		requestsPerClient = 250
		wantSucceeded     = 1000
	)
	processed := &processedCounter{times: map[string]int{}}
	servers := startServers(t, processed)
	running, address := startProxy(t, "", servers...)
	stopChanges := changeTables(running, servers)
	var clients sync.WaitGroup
	var succeeded atomic.Int32
	for client := range clientCount {
		clients.Go(func() {
			for number := range requestsPerClient {
				status, err := sendCharge(t.Context(), address, fmt.Sprint(client, "-", number))
				if err != nil {
					t.Error(err)
					return
				}
				if status == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	clients.Wait()
	stopChanges()
	processed.mu.Lock()
	defer processed.mu.Unlock()
	for id, times := range processed.times {
		if times > 1 {
			t.Errorf("request %s was processed %d times", id, times)
		}
	}
	if succeeded.Load() < wantSucceeded {
		t.Errorf("%d of %d requests succeeded, want at least wantSucceeded", succeeded.Load(), clientCount*requestsPerClient)
	}
}

// sendCharge sends a request of the class "charge", which is not idempotent, and returns the status of the response.
func sendCharge(ctx context.Context, address, id string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	request.Header.Set(ClassHeader, "charge")
	request.Header.Set(RequestHeader, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer closeBody(response)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
