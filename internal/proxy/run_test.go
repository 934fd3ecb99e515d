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

// running starts a proxy without a planner, whose standing table holds some servers, and gives its address.
func running(t *testing.T, more string, servers ...string) (*Proxy, string) {
	t.Helper()
	text := `name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1" default_retry: ONCE
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
		groups { name: "start" latency_budget: "600ms" expiry: "1.5s" repeat: DEDUPED }
		groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" } ` + more
	for _, s := range servers {
		text += fmt.Sprintf(" standing: %q", s)
	}
	set := &pb.Proxy{}
	if err := settings.Parse("test", []byte(text), set); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	p := New(Options{
		Settings: set, Clock: clock.NewReal(), Network: clock.TCP{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Ready: func(a net.Addr) { ready <- a.String() },
	})
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p, <-ready
}

func ask(t *testing.T, at, method, group, body string, header ...string) (status int, outcome string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+at+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(ClassHeader, group)
	for n := 0; n < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(OutcomeHeader)
}

// breaker is a server that answers its first flow, and at the second one reads it, closes its listener and breaks.
func breaker(t *testing.T, seen *atomic.Int32) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			seen.Add(1)
			if n == 1 {
				l.Close()
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	return l.Addr().String()
}

func TestProxy(t *testing.T) {
	// A kept connection that breaks under a written flow is no proof, also when the library then dials again and is
	// refused. Guards against the repeat of a flow that ran; covers all flows that the library holds for repeatable.
	for _, how := range [][]string{{"GET", "charge", ""}, {"POST", "start", "k1"}, {"POST", "charge", "k2"}} {
		t.Run("a flow that was written is not repeated: "+how[0]+" "+how[1], func(t *testing.T) {
			var seen, other atomic.Int32
			second := http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { other.Add(1) })}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go second.Serve(l)
			defer second.Close()
			bad := breaker(t, &seen)
			p, at := running(t, "", bad)
			var header []string
			if how[2] != "" {
				header = []string{"Idempotency-Key", how[2]}
			}
			ask(t, at, how[0], how[1], "", header...)
			p.mu.Lock() // now the table holds another server, to which a repeat could go
			p.core.tableByGroup[0].entries = append(p.core.tableByGroup[0].entries, &weightEntry{server: l.Addr().String(), weight: 1e-9})
			p.mu.Unlock()
			status, outcome := ask(t, at, how[0], how[1], "", header...)
			if seen.Load() != 2 || other.Load() != 0 || status != http.StatusBadGateway || outcome != "dropped" {
				t.Errorf("seen %d times, by the other %d; status %d, %s", seen.Load(), other.Load(), status, outcome)
			}
		})
	}
	t.Run("a server that does not listen is proof, and the flow goes to another with its body", func(t *testing.T) {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		dead := l.Addr().String()
		l.Close()
		var got atomic.Value
		s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			got.Store(r.Header.Get(AttemptHeader) + " " + string(b))
		})}
		l, _ = net.Listen("tcp", "127.0.0.1:0")
		go s.Serve(l)
		defer s.Close()
		_, at := running(t, "pick: ROUND", dead, l.Addr().String())
		for range 4 {
			if status, _ := ask(t, at, "POST", "charge", "amount=5"); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		if s, _ := got.Load().(string); !strings.HasSuffix(s, " amount=5") {
			t.Errorf("%q", s)
		}
	})
	t.Run("what is blocked or bare is refused at once, and told when to come back", func(t *testing.T) {
		p, at := running(t, "")
		if status, outcome := ask(t, at, "GET", "check", ""); status != http.StatusServiceUnavailable || outcome != "bare" {
			t.Errorf("%d %s", status, outcome)
		}
		p.mu.Lock()
		p.core.ApplyOrders(levelOf(0, 0, 1))
		p.mu.Unlock()
		if status, outcome := ask(t, at, "GET", "check", ""); status != http.StatusServiceUnavailable || outcome != "blocked" {
			t.Errorf("%d %s", status, outcome)
		}
		if status, outcome := ask(t, at, "GET", "no such", ""); status != http.StatusBadRequest || outcome != "odd" {
			t.Errorf("%d %s", status, outcome)
		}
	})
	t.Run("tables change under thousands of flows, and no charge runs twice", func(t *testing.T) {
		var mu sync.Mutex
		ran := map[string]int{}
		var servers []string
		for n := range 4 {
			s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				ran[r.Header.Get(RequestHeader)]++
				count := len(ran)
				mu.Unlock()
				switch {
				case n == 0 && count%5 == 0:
					panic(http.ErrAbortHandler) // after it ran
				case n == 1 && count%4 == 0:
					http.Error(w, "failed", http.StatusInternalServerError)
				}
			})}
			s.ErrorLog = slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelDebug)
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			go s.Serve(l)
			defer s.Close()
			servers = append(servers, l.Addr().String())
		}
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		servers = append(servers, l.Addr().String()) // no longer answers
		l.Close()
		p, at := running(t, "", servers...)
		stop := make(chan struct{})
		var changes sync.WaitGroup
		changes.Add(1)
		go func() {
			defer changes.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				p.mu.Lock()
				if n%50 == 0 {
					p.core.StartSession(&order.Welcome{})
				}
				p.core.ApplyOrders(bindTo(1, nil, servers[n%5], 0.5, servers[(n+1)%5], 0.5, servers[(n+2)%5], 0.1))
				p.core.ApplyOrders(withdraw(servers[n%3], n%2 == 0))
				p.tidy()
				p.mu.Unlock()
			}
		}()
		var clients sync.WaitGroup
		delivered := atomic.Int32{}
		for c := range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for n := range 250 {
					r, _ := http.NewRequest("POST", "http://"+at+"/", strings.NewReader("x"))
					r.Header.Set(ClassHeader, "charge")
					r.Header.Set(RequestHeader, fmt.Sprint(c, "-", n))
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						t.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						delivered.Add(1)
					}
				}
			}()
		}
		clients.Wait()
		close(stop)
		changes.Wait()
		mu.Lock()
		defer mu.Unlock()
		for id, n := range ran {
			if n > 1 {
				t.Errorf("flow %s ran %d times", id, n)
			}
		}
		if delivered.Load() < 1000 {
			t.Errorf("%d of 2000 delivered", delivered.Load())
		}
	})
}
