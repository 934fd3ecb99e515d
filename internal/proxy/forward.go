package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lichenpick/internal/settings"
)

// Limits of the connections and attempts to one server.
const (
	maxIdleConnections = 64
	connBufferBytes    = 4 << 10 // size of each connection's read buffer and write buffer
	minAttemptMs       = 1       // shortest time limit of an attempt, in ms
)

// dialOperation is the net.OpError.Op of failed dials. A failed dial proves that the server did not process the request.
const dialOperation = "dial"

// hopByHopHeaders are valid for a single connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// bufferedResponse is a server's response, read completely before any of it is sent to the client. If the connection breaks
// halfway, the attempt fails and the client gets no part of the response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo sends the response to the client.
func (b *bufferedResponse) writeTo(response http.ResponseWriter) {
	for name, values := range b.header {
		response.Header()[name] = values
	}
	for _, name := range hopByHopHeaders {
		response.Header().Del(name)
	}
	response.WriteHeader(b.status)
	_, _ = response.Write(b.body) // fails only if the client has disconnected, so nobody can receive the error
}

// outcome returns the outcome of the attempt that got the response.
func (b *bufferedResponse) outcome() Outcome {
	switch {
	case b.status < http.StatusInternalServerError:
		return Succeeded
	case b.header.Get(ProcessedHeader) == notProcessed:
		return Unprocessed
	default:
		return Failed
	}
}

// attempt sends a request to a server once. The response is nil if none was received.
func (p *Proxy) attempt(incoming *http.Request, body []byte, target destination, attemptNumber int) (*bufferedResponse, Outcome) {
	timeout := time.Duration(max(target.limitMs, minAttemptMs) * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(incoming.Context(), timeout)
	defer cancel()
	ctx, written := forbidResend(ctx, cancel)
	outgoing, err := p.outgoingRequest(ctx, incoming, body, target.server, attemptNumber)
	if err != nil {
		return nil, Unprocessed
	}
	response, err := target.transport.RoundTrip(outgoing)
	if err != nil {
		if isDialError(err) && !written.Load() { // a dial after the request was written is a resend by the HTTP library
			return nil, Unprocessed
		}
		return nil, Failed
	}
	defer closeBody(response)
	if response.StatusCode < http.StatusOK { // not a final response: 101 without an upgrade, or a number that is no status
		p.Log.Debug("response rejected", slog.String(logServer, target.server), slog.Int(logStatus, response.StatusCode))
		return nil, Failed
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, Failed
	}
	received := &bufferedResponse{status: response.StatusCode, header: response.Header, body: content}
	return received, received.outcome()
}

// forbidResend guards against processing a request twice. The HTTP library resends some requests by itself when a reused
// connection breaks, although the server may already have processed the first copy. Whenever the library gets a connection
// after the request was written, that connection is closed before the library can write to it, and the returned context is
// cancelled, which ends the resends. So the library resends a request only while nothing of it has been written. The
// cancellation alone would not be enough: the library hands the request to the goroutine that writes to the connection before
// it looks at the context. The returned flag is true once the headers of the request were written.
func forbidResend(ctx context.Context, cancel context.CancelFunc) (context.Context, *atomic.Bool) {
	written := &atomic.Bool{}
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			if written.Load() {
				cancel()
				_ = info.Conn.Close() // an error means that the connection is broken already
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace), written
}

// originForm returns the target of a request to a server: path and query of the incoming request's target, and the server's
// address. The address comes from the weight tables alone, whatever authority or opaque part the client wrote.
func originForm(incoming *url.URL, server string) *url.URL {
	return &url.URL{
		Scheme:     "http",
		Host:       server,
		Path:       incoming.Path,
		RawPath:    incoming.RawPath,
		ForceQuery: incoming.ForceQuery,
		RawQuery:   incoming.RawQuery,
	}
}

func (p *Proxy) outgoingRequest(
	ctx context.Context, incoming *http.Request, body []byte, server string, attemptNumber int,
) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, "http://"+server, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	outgoing.URL = originForm(incoming.URL, server)
	outgoing.Header = incoming.Header.Clone()
	for _, name := range hopByHopHeaders {
		outgoing.Header.Del(name)
	}
	outgoing.Header.Set(ProxyHeader, p.Settings.Name)
	outgoing.Header.Set(AttemptHeader, strconv.Itoa(attemptNumber))
	return outgoing, nil
}

// isDialError reports whether an error comes from dialServer.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == dialOperation
}

// closeBody releases the connection of a response that has been read. An error at this point has no consequence.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// transport returns the transport of a server and creates it if necessary. A transport that has no idle connection dials only
// once and within a short time limit from the settings: an overloaded or dead server then costs one short wait, after which
// it is certain that the server did not process the request. The client's mutex must be held.
func (p *Proxy) transport(server string) *http.Transport {
	existing := p.transports[server]
	if existing != nil {
		return existing
	}
	added := &http.Transport{
		IdleConnTimeout:     settings.Duration(p.Settings.ConnectionIdle),
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
		WriteBufferSize:     connBufferBytes,
		ReadBufferSize:      connBufferBytes,
		DialContext:         p.dialServer,
	}
	p.transports[server] = added
	return added
}

// dialServer is the DialContext of the transports. It wraps each network error, of any type, in a net.OpError, so that
// isDialError recognizes the error.
func (p *Proxy) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, settings.Duration(p.Settings.ConnectWithin))
	defer cancel()
	conn, err := p.Network.Dial(ctx, p.localAddress, address)
	if err != nil {
		return nil, &net.OpError{Op: dialOperation, Net: network, Err: err}
	}
	return conn, nil
}

// closeUnusedTransports closes the connections to servers that have no attempt in flight and get no further requests. The
// client's mutex must be held.
func (p *Proxy) closeUnusedTransports() {
	for server, transport := range p.transports {
		if !p.core.MayReceive(server) && p.core.inFlight[server] == 0 {
			transport.CloseIdleConnections()
			delete(p.transports, server)
		}
	}
}
