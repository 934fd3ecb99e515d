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

// Limits of the HTTP server for clients.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second // that requests in flight are given when the proxy shuts down
)

// Proxy is a running proxy: a ControlClient that forwards requests by the orders it received.
type Proxy struct {
	*ControlClient
	transports    map[string]*http.Transport // to servers, by address; guarded by the client's lock
	classByName   map[string]int
	inFlightCount atomic.Int64
}

// New makes a proxy that is not running yet.
func New(options Options) *Proxy {
	proxy := &Proxy{
		ControlClient: NewControlClient(options),
		transports:    map[string]*http.Transport{},
		classByName:   map[string]int{},
	}
	proxy.afterOrders = proxy.closeUnusedTransports
	for index, class := range options.Settings.Groups {
		proxy.classByName[class.Name] = index
	}
	return proxy
}

// Run serves clients and keeps the control streams until the context ends; it then lets requests in flight finish for a short
// while. It returns an error if it cannot listen or serve.
func (p *Proxy) Run(ctx context.Context) error {
	listener, err := p.Network.Listen(ctx, p.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for requests: %w", err)
	}
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       settings.Duration(p.Settings.ConnectionIdle),
		ErrorLog:          slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
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

// serve takes requests until the server is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving requests: %w", err)
	}
	return nil
}

// shutDown lets requests in flight finish, and closes connections.
func (p *Proxy) shutDown(ctx context.Context, server *http.Server) {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(graceCtx) != nil {
		_ = server.Close() // what is left is cut off; its error has no consequence any more
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, transport := range p.transports {
		transport.CloseIdleConnections()
	}
}
