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
	maxBodyBytes      = 1 << 20 // of a request, that are read
	retryAfterSeconds = 1
	responseBody      = "ok\n"
)

// admission is what a server does with a request.
type admission int

const (
	admitted admission = iota
	rejected           // with proof that it is not processed
	ignored            // the connection stays open without an answer
)

// ending is how a request that was processed is answered.
type ending int

const (
	answered     ending = iota
	failed              // with an error
	reset               // by a reset of the connection
	notProcessed        // not at all: the client gave up before a core was free
)

// trackConnection limits connections, and has each new one cost the work of a handshake.
func (s *Server) trackConnection(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.connections) >= int(s.settings.GetConnections()) || s.warmUp.Overloaded() {
			_ = connection.Close() // the peer may have closed it
			return
		}
		s.connections[connection] = true
		handshakeMs := settings.Milliseconds(s.settings.Handshake)
		s.warmUp.RecordWork(s.clock.Monotonic(), handshakeMs)
		go s.work(context.Background(), handshakeMs) // ends by itself once a core has done it
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
	}
}

// handle works on a request.
func (s *Server) handle(response http.ResponseWriter, request *http.Request) {
	// A body that cannot be read changes nothing: only its length on the connection matters.
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
		_, _ = io.WriteString(response, responseBody) // the client may have given up
	case failed:
		http.Error(response, "failed", http.StatusInternalServerError)
	case reset:
		panic(http.ErrAbortHandler) // the documented way to reset a connection
	case notProcessed:
	}
}

// admit decides what to do with a request that arrives, and draws its work and how it is to be answered.
func (s *Server) admit(nowMs float64) (decision admission, workMs float64, planned ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Received++
	workMs = DrawWork(s.settings, s.chance)
	hanging := s.fault.Hang || s.warmUp.Receive(nowMs, workMs)
	full := s.inFlight >= int(s.settings.GetWaiting())+int(s.settings.GetCores())
	drawn := s.chance.Float64()
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

// isDuplicate reports whether a request carries an idempotency key that was processed already within the window.
func (s *Server) isDuplicate(request *http.Request, nowMs float64) bool {
	key := request.Header.Get(IdempotencyKeyHeader)
	if key == "" || s.deduplicator == nil {
		return false
	}
	return !s.deduplicator.isNew(key, nowMs, settings.Milliseconds(s.settings.DedupWindow))
}

// work occupies a core for some ms of work, and reports whether it did: it does not if the context ends before a core is
// free. Work that has begun goes on when its client gives up.
func (s *Server) work(ctx context.Context, workMs float64) bool {
	select {
	case s.cores <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.cores }()
	return clock.Sleep(context.WithoutCancel(ctx), s.clock, workMs/s.coreSpeed()) == nil
}

// coreSpeed returns the work that one core does now, in ms a ms.
func (s *Server) coreSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := s.warmUp.Capacity(s.clock.Monotonic()) / float64(s.settings.GetCores())
	if s.fault.Slowdown > 0 {
		speed /= s.fault.Slowdown
	}
	return speed
}

// finish counts an admitted request that has ended.
func (s *Server) finish(how ending, deduplicated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch how {
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
