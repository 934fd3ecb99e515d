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
	"sync/atomic"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

// The requests that discovery's agent serves.
const (
	endpointsPath = "/catalog/members"                   // the complete list
	watchFormat   = endpointsPath + "?follow=1&since=%d" // one line for each change after a version, and empty ones between
)

// Limits of what is read from the agent, and of the time that it may take.
const (
	discoveryIdleTimeoutMs     = 2600.0  // ms without a byte after which the agent is asked anew; it says something every 2 s
	discoveryResponseTimeoutMs = 5000.0  // ms that an answer, or a line of a watch, may take from its asking to its end
	discoveryDialTimeoutMs     = 1000.0  // ms; the agent is on the same machine
	minDiscoveryRetryMs        = 50.0    // ms; first backoff, doubled after each failure
	maxDiscoveryRetryMs        = 500.0   // ms; what is to be notified counts as notified after 6 s
	maxEndpointListBytes       = 4 << 20 // bytes of a list, or of a line of a watch
	maxHeaderBytes             = 1 << 14 // bytes of a response's header
	maxLoggedBytes             = 1000    // bytes of a list that a debug log shows
	microsPerMs                = 1000.0
)

var errListTooLong = errors.New("list longer than allowed")

// discoveryClient follows discovery: the complete list, then the watch from its version on. One goroutine at a time calls
// run, and owns all fields but progressMicros.
type discoveryClient struct {
	clock     clock.Clock
	network   clock.Network
	log       *slog.Logger
	deliver   func(policy.UpdateKind, []policy.Endpoint) // is handed each list that says something
	tracker   versionTracker
	retryMs   float64 // backoff after the next failure
	lastError string  // that was logged; a failure that repeats is logged once

	// progressMicros is when what is being read was asked for, or the last line ended, in µs of clock.Monotonic. The
	// transport's goroutines read it.
	progressMicros atomic.Int64
}

// run follows the agent at an address until the context ends, from the version that is known.
func (d *discoveryClient) run(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            d.dial,
	}}
	d.resetBackoff()
	for ctx.Err() == nil {
		err := d.poll(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		if err.Error() != d.lastError {
			d.lastError = err.Error()
			d.log.Info("discovery failed", keyAddress, address, keyError, err)
		}
		if clock.Sleep(ctx, d.clock, d.retryMs) != nil {
			return
		}
		d.retryMs = math.Min(2*d.retryMs, maxDiscoveryRetryMs)
	}
}

func (d *discoveryClient) resetBackoff() {
	d.retryMs = minDiscoveryRetryMs
	d.lastError = ""
}

func (d *discoveryClient) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryDialTimeoutMs*time.Millisecond)
	defer cancel()
	conn, err := d.network.Dial(ctx, netip.Addr{}, address)
	if err != nil {
		return nil, err
	}
	return progressConn{conn, d}, nil
}

// poll asks once, for the complete list where that is needed and then for the watch, and returns why that ended. The error
// is never nil.
func (d *discoveryClient) poll(ctx context.Context, client *http.Client, address string) error {
	if d.tracker.needsFullList {
		err := d.get(ctx, client, "http://"+address+endpointsPath, d.readFullList)
		if err != nil {
			d.tracker.needsFullList = true
			return fmt.Errorf("complete list: %w", err)
		}
	}
	url := "http://" + address + fmt.Sprintf(watchFormat, d.tracker.version)
	return fmt.Errorf("watch: %w", d.get(ctx, client, url, d.readWatch))
}

func (d *discoveryClient) readFullList(body *bufio.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxEndpointListBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxEndpointListBytes {
		return errListTooLong
	}
	d.tracker.version = 0 // another discovery may count anew
	return d.handleList(text)
}

// readWatch reads lines until the watch ends; the error is never nil.
func (d *discoveryClient) readWatch(body *bufio.Reader) error {
	for {
		line, err := readListLine(body)
		if err != nil {
			return err
		}
		d.noteProgress()
		if err := d.handleList(line); err != nil {
			return err
		}
		d.resetBackoff()
	}
}

func (d *discoveryClient) handleList(text []byte) error {
	list, changed, err := d.tracker.accept(bytes.TrimSpace(text))
	if changed || err != nil {
		d.log.Debug("endpoints listed", keyVersion, list.version, keyFull, list.full, keyEndpoints, len(list.entries),
			keyLine, string(text[:min(len(text), maxLoggedBytes)]))
	}
	if err != nil || !changed {
		return err
	}
	kind := policy.DeltaUpdate
	if list.full {
		kind = policy.FullUpdate
	}
	d.deliver(kind, list.entries)
	return nil
}

func (d *discoveryClient) get(ctx context.Context, client *http.Client, url string, read func(*bufio.Reader) error) error {
	d.noteProgress()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // nothing more is wanted of it, and connections are not kept
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return read(bufio.NewReader(response.Body))
}

// readListLine reads a complete line of a watch.
func readListLine(body *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := body.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if len(line) > maxEndpointListBytes {
			return nil, errListTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// noteProgress notes that the next answer or line is waited for from now on.
func (d *discoveryClient) noteProgress() {
	d.progressMicros.Store(int64(microsPerMs * d.clock.Monotonic()))
}

// progressConn is a connection on which no read waits for longer than a silence may last, and that ends with an answer or a
// line that comes byte by byte without end: bytes alone are no sign of life.
type progressConn struct {
	net.Conn
	client *discoveryClient
}

// Read fails with a timeout where nothing comes in time.
func (c progressConn) Read(buffer []byte) (int, error) {
	now := c.client.clock.Monotonic()
	leftMs := discoveryResponseTimeoutMs + float64(c.client.progressMicros.Load())/microsPerMs - now
	deadline := c.client.clock.Deadline(math.Min(discoveryIdleTimeoutMs, leftMs))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

// versionTracker turns lines of a watch, and complete lists, into updates of the core. It holds the version that is known.
type versionTracker struct {
	zones         []string
	version       int64
	needsFullList bool // the complete list must be asked for
}

// accept takes in a line of a watch or a complete list, and says whether it changes anything. After what can't be read or
// does not follow the known version, the complete list must be asked for; what is known stays.
func (t *versionTracker) accept(text []byte) (list endpointList, changed bool, err error) {
	if len(text) == 0 { // a sign of life
		return endpointList{}, false, nil
	}
	list, err = parseEndpointList(text, t.zones)
	if err == nil && !list.full && (t.needsFullList || list.version < t.version) {
		err = fmt.Errorf("a change to version %d does not follow version %d", list.version, t.version)
	}
	t.needsFullList = err != nil
	if err != nil {
		return list, false, err
	}
	t.version = list.version
	return list, list.full || len(list.entries) > 0, nil
}
