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

// startProxy runs a proxy without a planner, whose standing table holds some servers, and gives its address.
func startProxy(t *testing.T, extraSettings string, servers ...string) (running *Proxy, address string) {
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
		Settings: set, Clock: clock.NewReal(), Network: clock.TCP{}, Log: slog.New(slog.DiscardHandler),
		Ready: func(address net.Addr) { ready <- address.String() },
	})
	go func() { done <- running.Run(t.Context()) }() // the context ends before the first cleanup
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return running, <-ready
}

// listen opens a port that is closed at the test's end.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // often closed by then
	return listener
}

// closedAddress is one at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startServer serves requests by a handler and gives the address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener := listen(t)
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }() // ends by Close
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send has a client send a request, and gives the status and the proxy's outcome of the answer. Headers are name and value
// in turn.
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

// checkSend sends a request without a body and checks how it is answered.
func checkSend(t *testing.T, address, class string, wantStatus int, wantOutcome string) {
	t.Helper()
	status, outcome := send(t, address, "GET", class, "")
	if status != wantStatus || outcome != wantOutcome {
		t.Errorf("class %q: status %d, outcome %q; want %d, %q", class, status, outcome, wantStatus, wantOutcome)
	}
}

// startBreakingServer serves one connection: it answers the first request, and at the second one reads it, closes the
// listener and breaks.
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
	// A kept connection that breaks under a written request is no proof, also when the library then dials again and is
	// refused. Guards against the repeat of a processed request; covers all that the library takes for safe to resend.
	for _, test := range []struct{ method, class, idempotencyKey string }{
		{"GET", "charge", ""},
		{"POST", "start", "k1"},
		{"POST", "charge", "k2"},
	} {
		t.Run("a request that was written is not repeated: "+test.method+" "+test.class, func(t *testing.T) {
			checkWrittenNotRepeated(t, test.method, test.class, test.idempotencyKey)
		})
	}
	t.Run("a server that does not listen is proof, and the request goes to another with its body", checkRetryAfterRefusedDial)
	t.Run("what is not admitted, or has no server, is rejected at once with a time to retry after", func(t *testing.T) {
		running, address := startProxy(t, "")
		checkSend(t, address, "check", http.StatusServiceUnavailable, "bare")
		running.mu.Lock()
		running.core.ApplyOrders(admissionOrder(0, 0, 1))
		running.mu.Unlock()
		checkSend(t, address, "check", http.StatusServiceUnavailable, "blocked")
		checkSend(t, address, "no such", http.StatusBadRequest, "odd")
	})
	t.Run("tables change under thousands of requests, and none that is not idempotent is processed twice", checkChangesUnderLoad)
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
	running.mu.Lock() // now the table holds another server, to which a repeat could go
	assigned := running.core.tableByClass[0]
	assigned.entries = append(assigned.entries, &weightEntry{server: second, weight: 1e-9})
	running.mu.Unlock()
	status, outcome := send(t, address, method, class, "", headers...)
	if received.Load() != 2 || other.Load() != 0 {
		t.Errorf("received %d times, by the other server %d", received.Load(), other.Load())
	}
	if status != http.StatusBadGateway || outcome != "dropped" {
		t.Errorf("status %d, outcome %q", status, outcome)
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
			t.Errorf("status %d", status)
		}
	}
	if text, _ := received.Load().(string); !strings.HasSuffix(text, " amount=5") {
		t.Errorf("received %q", text)
	}
}

// processedCounter counts how often each request was processed, by its id.
type processedCounter struct {
	mu    sync.Mutex
	times map[string]int
}

// record counts a request and gives how many were processed so far.
func (p *processedCounter) record(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times[id]++
	return len(p.times)
}

// startServers starts four servers, of which the first aborts some requests after it processed them, and the second answers
// some with a failure, and adds the address of one that no longer listens.
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

// changeTables has a planner change a proxy's tables as fast as it can, until the returned function is called.
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
		t.Errorf("%d of %d succeeded", succeeded.Load(), clientCount*requestsPerClient)
	}
}

// sendCharge sends a request that is not idempotent, with an id, and gives the status of its answer.
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
