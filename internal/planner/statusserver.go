package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
)

// readHeaderTimeout bounds the time that a client of the status server may take to send its request header.
const readHeaderTimeout = 2 * time.Second

// maxHeaderBytes bounds the request header of a client of the status server.
const maxHeaderBytes = 8 << 10

// statusServer serves the status, metrics and profiles over HTTP, and lets operators drain the planner.
type statusServer struct {
	status *statusPublisher
	loop   *eventLoop
	shared bool // whether planners share the fleet, so that this planner can be drained
	log    *slog.Logger
}

// run serves HTTP on a listener until the context ends, and then closes the listener.
func (s *statusServer) run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serving status: %w", err)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// handler returns the handler of all routes.
func (s *statusServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(newMetricsRegistry(s.status), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", s.serveStatus)
	mux.HandleFunc("POST /drain", s.serveDrain)
	handleProfiles(mux)
	return mux
}

// serveStatus writes the last status as JSON.
func (s *statusServer) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(s.status.load())
	if err != nil { // most likely the client closed the connection
		s.log.Debug("status not written", slog.Any(logKeyError, err))
	}
}

// serveDrain makes the planner transfer its proxies to others (?on=true), or accept proxies again (?on=false).
func (s *statusServer) serveDrain(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on")
	if !s.shared || on != "true" && on != "false" {
		http.Error(w, "expected ?on=true or ?on=false, on a planner that shares its fleet", http.StatusBadRequest)
		return
	}
	s.loop.submit(r.Context(), func(c *Core) { c.SetDraining(on == "true") })
}
