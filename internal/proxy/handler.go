package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"lichenpick/internal/settings"
)

// Headers between clients, proxies and servers. They are part of the protocol.
const (
	ClassHeader     = "Traffic-Group" // name of the request's traffic class; none: the first
	RequestHeader   = "Flow-Id"       // set by clients, the same for all attempts of a request
	AttemptHeader   = "Flow-Try"      // set by proxies, from 1
	ProxyHeader     = "Flow-Proxy"    // set by proxies: their name
	ProcessedHeader = "Flow-Ran"      // of a server's answer: "no" proves that it did not begin to process
	OutcomeHeader   = "Flow-Outcome"  // of answers that a proxy makes itself: one of the outcomes below
)

// Values of the headers above. They are part of the protocol: outcomes, and what a server states of a request that it did not
// process.
const (
	OutcomeRejected  = "blocked" // not admitted, or too many in flight
	OutcomeNoServer  = "bare"    // no server to pick
	outcomeFailed    = "dropped" // no attempt was answered
	outcomeMalformed = "odd"     // the request cannot be handled at all
	notProcessed     = "no"
)

// maxBodyBytes bounds the body of a request, which is held for retries, and of an answer, which is read whole.
const maxBodyBytes = 1 << 20

// ServeHTTP admits a request, forwards it, and retries it as far as orders and its class allow.
func (p *Proxy) ServeHTTP(response http.ResponseWriter, incoming *http.Request) {
	if p.inFlightCount.Add(1) > int64(p.Settings.GetMostFlows()) {
		p.inFlightCount.Add(-1) // before the answer is written, so that rejected requests do not use up the limit
		p.reject(response, OutcomeRejected, "too many requests in flight")
		return
	}
	defer p.inFlightCount.Add(-1)
	className := incoming.Header.Get(ClassHeader)
	class, known := p.classByName[className]
	if !known && className != "" {
		rejectMalformed(response, fmt.Sprintf("no traffic class %q", className), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(response, incoming.Body, maxBodyBytes))
	if err != nil {
		rejectMalformed(response, "reading the body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	request, admitted := p.admit(class)
	if !admitted {
		p.reject(response, OutcomeRejected, "not admitted")
		return
	}
	p.forward(response, incoming, body, request)
}

// forward attempts a request until an attempt succeeds or may not be retried, and answers the client.
func (p *Proxy) forward(response http.ResponseWriter, incoming *http.Request, body []byte, request *Request) {
	for {
		next, ok := p.pick(request)
		if !ok {
			p.reject(response, OutcomeNoServer, "no server available")
			return
		}
		startMs := p.Clock.Monotonic()
		received, outcome := p.attempt(incoming, body, next, request.Attempts)
		if p.finish(request, next.server, outcome, startMs) {
			continue
		}
		if received == nil {
			response.Header().Set(OutcomeHeader, outcomeFailed)
			http.Error(response, "no answer from a server", http.StatusBadGateway)
			return
		}
		received.writeTo(response)
		return
	}
}

func (p *Proxy) admit(class int) (*Request, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Admit(p.Clock.Monotonic(), class)
}

// destination is where an attempt goes.
type destination struct {
	server    string
	transport *http.Transport
	limitMs   float64 // that the attempt may take
}

// pick chooses where the next attempt goes; ok is false, and recorded, if no server can be picked.
func (p *Proxy) pick(request *Request) (next destination, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server, limitMs, ok := p.core.Pick(p.Clock.Monotonic(), request)
	if !ok {
		p.core.RecordNoServer(request)
		return destination{}, false
	}
	return destination{server: server, transport: p.transport(server), limitMs: limitMs}, true
}

// finish records an attempt that began at a time, and says whether to retry.
func (p *Proxy) finish(request *Request, server string, outcome Outcome, startMs float64) (retry bool) {
	nowMs := p.Clock.Monotonic()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.FinishAttempt(nowMs, request, server, outcome, nowMs-startMs)
}

// reject answers that the client may come back later, at another proxy or here.
func (p *Proxy) reject(response http.ResponseWriter, outcome, cause string) {
	response.Header().Set("Retry-After", strconv.Itoa(p.retryAfterSeconds()))
	response.Header().Set(OutcomeHeader, outcome)
	http.Error(response, cause, http.StatusServiceUnavailable)
}

// retryAfterSeconds is the settings' time in whole seconds, as the header wants it: rounded up, at least 1.
func (p *Proxy) retryAfterSeconds() int {
	const msPerSecond = 1000
	waitMs := int(settings.Milliseconds(p.Settings.RefuseWait) + msPerSecond - 1)
	return max(waitMs/msPerSecond, 1)
}

// rejectMalformed answers a request that no proxy can handle.
func rejectMalformed(response http.ResponseWriter, cause string, status int) {
	response.Header().Set(OutcomeHeader, outcomeMalformed)
	http.Error(response, cause, status)
}
