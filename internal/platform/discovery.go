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

// Requests to the discovery agent.
const (
	endpointsPath = "/catalog/members"                   // the complete endpoint list
	watchFormat   = endpointsPath + "?follow=1&since=%d" // changes after a version, one per line; empty lines: keep-alive
)

// Limits of the agent's responses, and of the time that they may take.
const (
	discoveryIdleTimeoutMs     = 2600.0  // ms without a byte until the request is repeated; the agent sends bytes every 2 s
	discoveryResponseTimeoutMs = 5000.0  // ms within which a response, or a line of a watch, must be complete
	discoveryDialTimeoutMs     = 1000.0  // ms within which a connection must open; the agent runs on the same machine
	minDiscoveryRetryMs        = 50.0    // ms of the first backoff; the backoff doubles after each failure
	maxDiscoveryRetryMs        = 500.0   // ms of the longest backoff; short, as a list change counts as delivered after 6 s
	maxEndpointListBytes       = 4 << 20 // limit of the bytes of a complete list, or of a line of a watch
	maxHeaderBytes             = 1 << 14 // limit of the bytes of a response's header
	maxLoggedBytes             = 1000    // limit of the bytes of a list that the debug log shows
	microsPerMs                = 1000.0
)

var errListTooLong = errors.New("endpoint list longer than allowed")

// discoveryClient follows the endpoint list of the discovery agent: it reads the complete list, then watches for changes
// after the version of that list. The goroutine that calls run owns all fields except progressMicros; only one goroutine
// calls run at a time.
type discoveryClient struct {
	clock     clock.Clock
	network   clock.Network
	log       *slog.Logger
	deliver   func(policy.UpdateKind, []policy.Endpoint) // is called with each complete list, and each change of servers
	tracker   versionTracker
	retryMs   float64 // backoff after the next failure
	lastError string  // last error that was logged; a repeated error is logged once

	// progressMicros is the time, in µs of clock.Monotonic, at which the current request was sent or the last line of its
	// response was complete. It is atomic because the goroutines of the HTTP transport read it.
	progressMicros atomic.Int64
}

// run follows the agent at an address, starting from the known version, until the context ends.
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

// poll requests the complete list if it is needed, then watches for changes, and returns why the watch ended. The error is
// never nil.
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
	d.tracker.version = 0 // another agent may number its versions differently
	return d.handleList(text)
}

// readWatch handles the lines of a watch until the watch ends. The error is never nil.
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

// handleList parses a complete list or a line of a watch, and delivers it, unless it is a line that names no server.
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

// get requests a URL and passes the body of the response to read.
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
	defer response.Body.Close() //nolint:errcheck // the rest of the body is not needed, and connections are not reused
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return read(bufio.NewReader(response.Body))
}

// readListLine reads a complete line of a watch, which may span several buffers.
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

// noteProgress restarts the time limit for the next response or line.
func (d *discoveryClient) noteProgress() {
	d.progressMicros.Store(int64(microsPerMs * d.clock.Monotonic()))
}

// progressConn is a connection whose reads time out if the agent sends nothing for too long, or if a response or a line
// takes too long as a whole. The second limit ends a response that trickles in byte by byte without ever being complete.
type progressConn struct {
	net.Conn
	client *discoveryClient
}

// Read fails with a timeout if either time limit expires.
func (c progressConn) Read(buffer []byte) (int, error) {
	now := c.client.clock.Monotonic()
	leftMs := discoveryResponseTimeoutMs + float64(c.client.progressMicros.Load())/microsPerMs - now
	deadline := c.client.clock.Deadline(math.Min(discoveryIdleTimeoutMs, leftMs))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

// versionTracker parses complete lists and lines of a watch, and keeps track of the resulting version of the list.
type versionTracker struct {
	zones         []string
	version       int64
	needsFullList bool // the next request must be for the complete list
}

// accept parses a line of a watch or a complete list, and reports whether the text is a complete list or names changed
// servers. If the text cannot be parsed, or does not follow the known version, the complete list must be requested next, and
// the known version stays.
func (t *versionTracker) accept(text []byte) (list endpointList, changed bool, err error) {
	if len(text) == 0 { // keep-alive
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
