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

// readHeaderTimeout bounds how long a client of the status server may take for its request's head.
const readHeaderTimeout = 2 * time.Second

// statusServer serves the status, metrics and profiles over HTTP, and takes the order to drain.
type statusServer struct {
	status *statusPublisher
	loop   *eventLoop
	shared bool // planners share the fleet: this one can be drained
	log    *slog.Logger
}

// run serves a listener until the context ends, and closes it.
func (s *statusServer) run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
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

// handler routes requests to the pages.
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
	if err != nil { // most likely the client went away
		s.log.Debug("status not written", slog.Any(logKeyError, err))
	}
}

// serveDrain has the planner transfer its proxies to others, or take part again.
func (s *statusServer) serveDrain(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on")
	if !s.shared || on != "true" && on != "false" {
		http.Error(w, "wants ?on=true or ?on=false, at a planner that shares its fleet", http.StatusBadRequest)
		return
	}
	s.loop.submit(r.Context(), func(c *Core) { c.SetDraining(on == "true") })
}
