package fake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
)

// IdempotencyKeyHeader carries the idempotency key of a request of a deduplicated traffic class.
const IdempotencyKeyHeader = "Idempotency-Key"

const (
	maxBodyBytes      = 1 << 20 // largest number of bytes read from a request's body
	retryAfterSeconds = 1
	responseBody      = "ok\n"
)

// admission is a server's decision on a request that arrives.
type admission int

const (
	admitted admission = iota
	rejected           // answered with a header that says the request is not processed
	ignored            // the connection stays open without an answer
)

// responseKind is how an admitted request is answered.
type responseKind int

const (
	answered     responseKind = iota
	failed                    // answered with an error
	reset                     // answered by a reset of the connection
	notProcessed              // not answered: the client gave up before a core was free
)

// trackConnection limits the number of connections, and occupies a core with the handshake of each new one.
func (s *Server) trackConnection(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.connections) >= int(s.settings.GetConnections()) || s.warmUp.Overloaded() {
			_ = connection.Close() // the connection may be closed already
			return
		}
		s.connections[connection] = true
		handshakeMs := settings.Milliseconds(s.settings.Handshake)
		s.warmUp.RecordWork(s.clock.Monotonic(), handshakeMs)
		go s.work(context.Background(), handshakeMs) // returns when a core has done the handshake
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
	}
}

// handle simulates the processing of a request and answers it.
func (s *Server) handle(response http.ResponseWriter, request *http.Request) {
	// The body is read only to receive its bytes. Its content is not used, so errors are ignored.
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes))
	nowMs := s.clock.Monotonic()
	decision, workMs, planned := s.admit(nowMs)
	switch decision {
	case ignored:
		<-request.Context().Done()
		return
	case rejected:
		response.Header().Set(proxy.ProcessedHeader, "no")
		response.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		http.Error(response, "full", http.StatusServiceUnavailable)
		return
	}
	deduplicated := s.isDuplicate(request, nowMs)
	if !s.work(request.Context(), workMs) {
		planned = notProcessed
	}
	s.finish(planned, deduplicated)
	switch planned {
	case answered:
		response.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
		_, _ = io.WriteString(response, responseBody) // fails only if the client has given up
	case failed:
		http.Error(response, "failed", http.StatusInternalServerError)
	case reset:
		panic(http.ErrAbortHandler) // net/http then aborts the connection
	case notProcessed:
	}
}

// admit decides whether to process a request, and draws its work in ms and the kind of its response.
func (s *Server) admit(nowMs float64) (decision admission, workMs float64, planned responseKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Received++
	workMs = DrawWork(s.settings, s.random)
	hanging := s.fault.Hang || s.warmUp.Receive(nowMs, workMs)
	full := s.inFlight >= int(s.settings.GetWaiting())+int(s.settings.GetCores())
	drawn := s.random.Float64()
	switch {
	case drawn < s.fault.ResetRatio:
		planned = reset
	case drawn < s.fault.ResetRatio+s.fault.ErrorRatio:
		planned = failed
	}
	switch {
	case hanging:
		return ignored, workMs, planned
	case full || s.fault.Refuse:
		s.counts.Rejected++
		return rejected, workMs, planned
	}
	s.inFlight++
	return admitted, workMs, planned
}

// isDuplicate reports whether a request carries an idempotency key that was already seen within the deduplication window.
func (s *Server) isDuplicate(request *http.Request, nowMs float64) bool {
	key := request.Header.Get(IdempotencyKeyHeader)
	if key == "" || s.deduplicator == nil {
		return false
	}
	return !s.deduplicator.recordKey(key, nowMs, settings.Milliseconds(s.settings.DedupWindow))
}

// work waits for a free core and occupies the core until the work is done; workMs is the duration of the work at nominal speed.
// It returns false if the context ends before any core is free. Work that has begun is completed even if its client gives up.
func (s *Server) work(ctx context.Context, workMs float64) bool {
	select {
	case s.cores <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.cores }()
	return clock.Sleep(context.WithoutCancel(ctx), s.clock, workMs/s.coreSpeed()) == nil
}

// coreSpeed returns the current speed of one core, where 1 is the nominal speed.
func (s *Server) coreSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := s.warmUp.Capacity(s.clock.Monotonic()) / float64(s.settings.GetCores())
	if s.fault.Slowdown > 0 {
		speed /= s.fault.Slowdown
	}
	return speed
}

// finish counts an admitted request by the kind of its response.
func (s *Server) finish(kind responseKind, deduplicated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch kind {
	case answered:
		s.counts.Succeeded++
		if deduplicated {
			s.counts.Deduplicated++
		}
	case failed, reset:
		s.counts.Failed++
	case notProcessed:
	}
}
