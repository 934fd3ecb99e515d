package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/settings"
)

// Headers of flows between clients, proxies and servers.
const (
	ClassHeader     = "Traffic-Group" // name of the flow's traffic group; none: the first
	RequestHeader   = "Flow-Id"       // the same for all tries of a flow
	AttemptHeader   = "Flow-Try"      // from 1, set by proxies
	ProxyHeader     = "Flow-Proxy"    // set by proxies
	ProcessedHeader = "Flow-Ran"      // "no" proves that a server did not begin
	OutcomeHeader   = "Flow-Outcome"  // of answers that a proxy makes itself: blocked, bare, dropped, odd
)

const (
	maxBodyBytes = 1 << 20 // bytes of a flow's body; it is held so that a further try can be made
	stopWaitMs   = 1000.0  // ms that flows in hand are given when the proxy ends
)

// Proxy is a running proxy: a follower that takes flows by what it is ordered.
type Proxy struct {
	*ControlClient
	lines    map[string]*http.Transport // to servers, by address; the follower's lock is of these too
	groups   map[string]int
	inFlight atomic.Int64
}

// New makes a proxy that is not running yet.
func New(o Options) *Proxy {
	p := &Proxy{ControlClient: NewControlClient(o), lines: map[string]*http.Transport{}, groups: map[string]int{}}
	p.changed = p.tidy
	for n, g := range o.Settings.Groups {
		p.groups[g.Name] = n
	}
	return p
}

// Run serves clients until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	l, err := p.Network.Listen(ctx, p.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for flows: %w", err)
	}
	server := &http.Server{
		Handler: p, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: settings.Duration(p.Settings.ConnectionIdle),
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving flows: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(stopWaitMs)*time.Millisecond)
		defer cancel()
		if server.Shutdown(last) != nil {
			server.Close()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, t := range p.lines {
			t.CloseIdleConnections()
		}
		return nil
	})
	group.Go(func() error { return p.Connect(ctx) })
	p.Log.Info("proxy listens", "proxy", p.Settings.Name, "address", l.Addr())
	if p.Ready != nil {
		p.Ready(l.Addr())
	}
	return group.Wait()
}

// ServeHTTP takes a flow through admission, picks and tries.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.inFlight.Add(1) > int64(p.Settings.GetMostFlows()) {
		p.inFlight.Add(-1)
		p.reject(w, "blocked", "too many flows in hand")
		return
	}
	defer p.inFlight.Add(-1)
	group, known := p.groups[r.Header.Get(ClassHeader)]
	if !known && r.Header.Get(ClassHeader) != "" {
		w.Header().Set(OutcomeHeader, "odd")
		http.Error(w, fmt.Sprintf("no traffic group %q", r.Header.Get(ClassHeader)), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(OutcomeHeader, "odd")
		http.Error(w, "the body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	f, in := p.core.Admit(p.Clock.Monotonic(), group)
	p.mu.Unlock()
	if !in {
		p.reject(w, "blocked", "not let in")
		return
	}
	for {
		p.mu.Lock()
		server, within, ok := p.core.Pick(p.Clock.Monotonic(), f)
		var line *http.Transport
		if ok {
			line = p.line(server)
		} else {
			p.core.RecordNoServer(f)
		}
		p.mu.Unlock()
		if !ok {
			p.reject(w, "bare", "no server to pick")
			return
		}
		begun := p.Clock.Monotonic()
		answer, outcome := p.try(r, body, line, server, f.Attempts, within)
		now := p.Clock.Monotonic()
		p.mu.Lock()
		again := p.core.FinishAttempt(now, f, server, outcome, now-begun)
		p.mu.Unlock()
		if again {
			continue
		}
		if answer == nil {
			w.Header().Set(OutcomeHeader, "dropped")
			http.Error(w, "the server gave no answer", http.StatusBadGateway)
			return
		}
		for k, v := range answer.header {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.status)
		w.Write(answer.body)
		return
	}
}

func (p *Proxy) reject(w http.ResponseWriter, outcome, why string) {
	wait := max(int(settings.Milliseconds(p.Settings.RefuseWait)+999)/1000, 1)
	w.Header().Set("Retry-After", strconv.Itoa(wait))
	w.Header().Set(OutcomeHeader, outcome)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// answer of a server, read whole: a connection that breaks halfway is a drop, not half an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (p *Proxy) try(r *http.Request, body []byte, line *http.Transport, server string, try int, within float64) (*answer, Outcome) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(within, 1)*float64(time.Millisecond)))
	defer cancel()
	// The library repeats some requests by itself when a kept connection breaks under them, after which nobody knows
	// how often they ran. It may do so only while nothing was written.
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			if wrote.Load() {
				cancel()
			}
		},
	})
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, Unprocessed
	}
	out.Header = r.Header.Clone()
	for _, hop := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"} {
		out.Header.Del(hop)
	}
	out.Header.Set(ProxyHeader, p.Settings.Name)
	out.Header.Set(AttemptHeader, strconv.Itoa(try))
	resp, err := line.RoundTrip(out)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && !wrote.Load() { // a dial may be the library's second attempt
			return nil, Unprocessed
		}
		return nil, Failed
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, Failed
	}
	a := &answer{resp.StatusCode, resp.Header, got}
	switch {
	case resp.StatusCode < 500:
		return a, Succeeded
	case resp.Header.Get(ProcessedHeader) == "no":
		return a, Unprocessed
	}
	return a, Failed
}

// line gives the connections to a server. They dial once and do not wait beyond that: a full or dead server costs
// one short wait, after which proof is at hand that the flow never ran.
func (p *Proxy) line(server string) *http.Transport {
	t := p.lines[server]
	if t == nil {
		within := settings.Duration(p.Settings.ConnectWithin)
		t = &http.Transport{
			IdleConnTimeout: settings.Duration(p.Settings.ConnectionIdle), MaxIdleConnsPerHost: 64,
			DisableCompression: true, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
			DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, within)
				defer cancel()
				conn, err := p.Network.Dial(ctx, p.from, to)
				if err != nil {
					err = &net.OpError{Op: "dial", Net: "tcp", Err: err}
				}
				return conn, err
			},
		}
		p.lines[server] = t
	}
	return t
}

// tidy closes connections to servers that no table holds any more.
func (p *Proxy) tidy() {
	for server, t := range p.lines {
		if !p.core.MayReceive(server) && p.core.inFlight[server] == 0 {
			t.CloseIdleConnections()
			delete(p.lines, server)
		}
	}
}
