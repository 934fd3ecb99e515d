package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

const (
	silentMs      = 2600.0  // ms without a byte after which the agent is asked anew; it says something every 2 s
	wholeMs       = 5000.0  // ms that an answer, or a line of a watch, may take from its asking to its end
	dialMs        = 1000.0  // ms; the agent is on the same machine
	againMs       = 50.0    // ms; first wait before asking again, doubled each time
	againMost     = 500.0   // ms; what is to be told counts as told after 6 s
	maxShownBytes = 1000    // bytes of a line that a debug log shows
	maxListBytes  = 4 << 20 // bytes of a list, or of a line of a watch
)

// agent follows discovery: the whole list, then the watch from its version on.
type agent struct {
	clock   clock.Clock
	network clock.Network
	log     *slog.Logger
	deliver func(policy.UpdateKind, []policy.Endpoint)
	follow  follower
	since   atomic.Int64 // µs of Mono: when what is being read was asked for, or the last line ended
}

// run follows the agent at an address until the context ends.
func (a *agent) run(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 1 << 14,
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialMs*time.Millisecond)
			defer cancel()
			conn, err := a.network.Dial(ctx, netip.Addr{}, to)
			if err != nil {
				return nil, err
			}
			return watched{conn, a}, nil
		},
	}}
	wait := againMs
	for said := ""; ctx.Err() == nil; {
		err := a.poll(ctx, client, address, func() { wait, said = againMs, "" })
		if ctx.Err() != nil {
			return
		}
		if err.Error() != said { // once, not at each try
			said = err.Error()
			a.log.Info("discovery", "at", address, "trouble", said)
		}
		if clock.Sleep(ctx, a.clock, wait) != nil {
			return
		}
		wait = math.Min(2*wait, againMost)
	}
}

// poll asks once, for the whole list where that is not known and then for the watch, and returns why that ended.
func (a *agent) poll(ctx context.Context, client *http.Client, address string, alive func()) error {
	if a.follow.whole {
		if err := a.get(ctx, client, "http://"+address+"/catalog/members", func(body *bufio.Reader) error {
			raw, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
			if err != nil {
				return err
			}
			if len(raw) > maxListBytes {
				return errLong
			}
			a.follow.version = 0 // another discovery may count anew
			return a.told(raw)
		}); err != nil {
			a.follow.whole = true
			return err
		}
	}
	path := fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", address, a.follow.version)
	return a.get(ctx, client, path, func(body *bufio.Reader) error {
		for {
			line, err := readLine(body)
			if err != nil {
				return err
			}
			a.begun()
			if err := a.told(line); err != nil {
				return err
			}
			alive()
		}
	})
}

func (a *agent) told(raw []byte) error {
	l, ok, err := a.follow.take(bytes.TrimSpace(raw))
	if ok || err != nil {
		a.log.Debug("listed", "version", l.version, "full", l.full, "entries", len(l.entries), "line", string(raw[:min(len(raw), maxShownBytes)]))
	}
	if err != nil || !ok {
		return err
	}
	form := policy.DeltaUpdate
	if l.full {
		form = policy.FullUpdate
	}
	a.deliver(form, l.entries)
	return nil
}

func (a *agent) get(ctx context.Context, client *http.Client, path string, read func(*bufio.Reader) error) error {
	a.begun()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return read(bufio.NewReader(r.Body))
}

// readLine reads a line of a watch, whole.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if line = append(line, part...); err == nil {
			return line, nil
		}
		if len(line) > maxListBytes {
			return nil, errLong
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// begun takes down that the next answer or line is waited for from now on.
func (a *agent) begun() { a.since.Store(int64(1000 * a.clock.Monotonic())) }

// watched is a connection on which no read waits for longer than a silence may last, and that ends with an answer or a
// line that comes byte by byte without end: bytes alone are no sign of life.
type watched struct {
	net.Conn
	agent *agent
}

func (w watched) Read(b []byte) (int, error) {
	left := wholeMs + float64(w.agent.since.Load())/1000 - w.agent.clock.Monotonic()
	w.SetReadDeadline(w.agent.clock.Deadline(math.Min(silentMs, left)))
	return w.Conn.Read(b)
}
