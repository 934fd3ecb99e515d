package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"lichenpick/brain"
	"lichenpick/internal/clock"
)

const (
	silentMs  = 2600.0  // ms without a byte after which the agent is asked anew; it says something every 2 s
	dialMs    = 1000.0  // ms; the agent is on the same machine
	againMs   = 50.0    // ms; first wait before asking again, doubled each time
	againMost = 500.0   // ms; what is to be told counts as told after 6 s
	mostShown = 1000    // bytes of a line that a debug log shows
	mostList  = 4 << 20 // bytes of a list, or of a line of a watch
)

// agent follows discovery: the whole list, then the watch from its version on.
type agent struct {
	clock   clock.Clock
	network clock.Network
	log     *slog.Logger
	deliver func(brain.ListForm, []brain.Entry)
	follow  follower
}

// run follows the agent at an address until the context ends.
func (a *agent) run(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: 1 << 14,
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialMs*time.Millisecond)
			defer cancel()
			conn, err := a.network.Dial(ctx, netip.Addr{}, to)
			if err != nil {
				return nil, err
			}
			return watched{conn, a.clock}, nil
		}}}
	wait := againMs
	for said := ""; ctx.Err() == nil; {
		err := a.ask(ctx, client, address, func() { wait, said = againMs, "" })
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

// ask asks once, for the whole list where that is not known and then for the watch, and returns why that ended.
func (a *agent) ask(ctx context.Context, client *http.Client, address string, alive func()) error {
	if a.follow.whole {
		if err := a.get(ctx, client, "http://"+address+"/catalog/members", func(body *bufio.Reader) error {
			raw, err := io.ReadAll(io.LimitReader(body, mostList))
			if err != nil {
				return err
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
		a.log.Debug("listed", "version", l.version, "full", l.full, "entries", len(l.entries), "line", string(raw[:min(len(raw), mostShown)]))
	}
	if err != nil || !ok {
		return err
	}
	form := brain.Change
	if l.full {
		form = brain.Whole
	}
	a.deliver(form, l.entries)
	return nil
}

func (a *agent) get(ctx context.Context, client *http.Client, path string, read func(*bufio.Reader) error) error {
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

var errLine = errors.New("a line longer than a list can be")

// readLine reads a line of a watch, whole.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if line = append(line, part...); err == nil {
			return line, nil
		}
		if len(line) > mostList {
			return nil, errLine
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// watched is a connection on which no read waits for longer than a silence may last.
type watched struct {
	net.Conn
	clock clock.Clock
}

func (w watched) Read(b []byte) (int, error) {
	w.SetReadDeadline(w.clock.Deadline(silentMs))
	return w.Conn.Read(b)
}
