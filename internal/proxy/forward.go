package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"lichenpick/internal/settings"
)

// Limits of the connections to one server.
const (
	maxIdleConnections = 64
	connBufferBytes    = 4 << 10
	minAttemptMs       = 1
)

// dialOperation marks an error of a dial, which proves that a server processed nothing.
const dialOperation = "dial"

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// bufferedResponse is a server's, read whole: a connection that breaks halfway is a failure, not half an bufferedResponse to the client.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo passes the answer on to the client.
func (b *bufferedResponse) writeTo(response http.ResponseWriter) {
	for name, values := range b.header {
		response.Header()[name] = values
	}
	response.WriteHeader(b.status)
	_, _ = response.Write(b.body) // fails when the client is gone, which is nobody's concern then
}

// outcome says what an answer means for the attempt.
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

// attempt sends a request to a server once. The answer is nil if there was none.
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
		if isDialError(err) && !written.Load() { // a dial after bytes were written is the library's second attempt
			return nil, Unprocessed
		}
		return nil, Failed
	}
	defer closeBody(response)
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, Failed
	}
	received := &bufferedResponse{status: response.StatusCode, header: response.Header, body: content}
	return received, received.outcome()
}

// forbidResend guards against repeated effects. The HTTP library resends some requests by itself when a kept connection
// breaks under them, after which nobody knows how often they were processed; it may do so only while nothing was written.
// The flag says whether anything was.
func forbidResend(ctx context.Context, cancel context.CancelFunc) (context.Context, *atomic.Bool) {
	written := &atomic.Bool{}
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			if written.Load() {
				cancel()
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace), written
}

func (p *Proxy) outgoingRequest(
	ctx context.Context, incoming *http.Request, body []byte, server string, attemptNumber int,
) (*http.Request, error) {
	url := "http://" + server + incoming.URL.RequestURI()
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	outgoing.Header = incoming.Header.Clone()
	for _, name := range hopByHopHeaders {
		outgoing.Header.Del(name)
	}
	outgoing.Header.Set(ProxyHeader, p.Settings.Name)
	outgoing.Header.Set(AttemptHeader, strconv.Itoa(attemptNumber))
	return outgoing, nil
}

// isDialError says whether an error is of a transport's dial.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == dialOperation
}

// closeBody releases the connection of an answer that was read; an error has no consequence.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// transport gives the connections to a server. They dial once and wait no longer than the settings say: an overloaded or dead
// server costs one short wait, after which there is proof that it processed nothing. The lock must be held.
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

// dialServer is a transport's dial. Each error is marked as one of dialling, whatever the network makes of it.
func (p *Proxy) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, settings.Duration(p.Settings.ConnectWithin))
	defer cancel()
	conn, err := p.Network.Dial(ctx, p.localAddress, address)
	if err != nil {
		return nil, &net.OpError{Op: dialOperation, Net: network, Err: err}
	}
	return conn, nil
}

// closeUnusedTransports closes connections to servers that may receive nothing any more. The lock must be held.
func (p *Proxy) closeUnusedTransports() {
	for server, transport := range p.transports {
		if !p.core.MayReceive(server) && p.core.inFlight[server] == 0 {
			transport.CloseIdleConnections()
			delete(p.transports, server)
		}
	}
}
