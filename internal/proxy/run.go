package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/settings"
)

// Time limits of the HTTP server for clients.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second // time for requests in flight to finish when the proxy shuts down
)

// Proxy is a ControlClient with an HTTP server that forwards requests according to the orders received.
type Proxy struct {
	*ControlClient
	transports    map[string]*http.Transport // transport of each server, by address; guarded by the mutex of ControlClient
	classByName   map[string]int             // index of each traffic class in the settings, by class name
	inFlightCount atomic.Int64               // number of client requests in flight
	requestMemory requestMemory
}

// New returns a proxy that is not running yet.
func New(options Options) *Proxy {
	proxy := &Proxy{
		ControlClient: NewControlClient(options),
		transports:    map[string]*http.Transport{},
		classByName:   map[string]int{},
		requestMemory: newRequestMemory(),
	}
	proxy.afterOrders = proxy.closeUnusedTransports
	for index, class := range options.Settings.Groups {
		proxy.classByName[class.Name] = index
	}
	return proxy
}

// Run serves clients and maintains the control streams until the context ends. It then waits a short time for requests in
// flight to finish. It returns an error if it cannot listen or serve.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := p.Network.Listen(ctx, p.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for requests: %w", err)
	}
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withClientConn,
		IdleTimeout:       settings.Duration(p.Settings.ConnectionIdle),
		ErrorLog:          slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
		// The handler refuses the asterisk form, as no server answers for all of them.
		DisableGeneralOptionsHandler: true,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(server, listener) })
	group.Go(func() error {
		<-ctx.Done()
		p.shutDown(ctx, server)
		return nil
	})
	group.Go(func() error { return p.Connect(ctx) })
	p.Log.Info("proxy listens", slog.String(logProxy, p.Settings.Name), slog.Any(logAddress, listener.Addr()))
	if p.Ready != nil {
		p.Ready(listener.Addr())
	}
	return group.Wait()
}

// serve serves requests until the server is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving requests: %w", err)
	}
	return nil
}

// shutDown waits up to shutdownTimeout for requests in flight, and then closes the connections to clients and the idle
// connections to servers.
func (p *Proxy) shutDown(ctx context.Context, server *http.Server) {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(graceCtx) != nil {
		_ = server.Close() // aborts the remaining requests; an error has no consequence at this point
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, transport := range p.transports {
		transport.CloseIdleConnections()
	}
}
