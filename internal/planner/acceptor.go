package planner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gaissmai/bart"
	"golang.org/x/time/rate"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Pacing of new connections.
const (
	acceptRetryMs       = 100.0 // delay after a failed accept; file descriptors may have run out
	acceptBurstDivisor  = 10    // the burst of accepts is the accept rate per second divided by this divisor
	laggingJoinFraction = 0.1   // fraction of the accept rate that remains while the core lags, as each join sends whole tables
	laggingJoinPollMs   = 20.0  // interval of attempts to admit a connection while the core lags
)

// acceptor accepts connections from proxies and serves each on goroutines of its own. It limits connections by their
// address, their count and the rate at which they arrive. Its methods must be called by the goroutine in run; any goroutine
// may read the counts in the fields open and rejected.
type acceptor struct {
	clock       clock.Clock
	log         *slog.Logger
	status      *statusPublisher
	serve       func(context.Context, net.Conn, netip.Addr) // serves one connection and returns when the connection has ended
	allowed     *bart.Table[struct{}]                       // prefixes that proxies may connect from; nil: any address
	maxOpen     int64                                       // limit on connections that are open at once
	pace        *rate.Limiter                               // limits the rate of accepted connections
	laggingPace *rate.Limiter                               // limits the rate of accepted connections further while the core lags
	open        atomic.Int64                                // count of connections open now
	// rejected counts the connections rejected since the start: their address was not allowed, or maxOpen was reached.
	rejected atomic.Uint64
}

// newAcceptor returns an acceptor with the limits of checked settings. It calls serve for each connection that it admits.
func newAcceptor(o Options, status *statusPublisher, serve func(context.Context, net.Conn, netip.Addr)) *acceptor {
	perSecond := settings.PerSecond(o.Settings.Streams.Accepts)
	return &acceptor{
		clock:       o.Clock,
		log:         o.Log,
		status:      status,
		serve:       serve,
		allowed:     allowedPrefixes(o.Settings),
		maxOpen:     int64(o.Settings.Streams.GetMost()),
		pace:        rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond/acceptBurstDivisor), 1)),
		laggingPace: rate.NewLimiter(rate.Limit(perSecond*laggingJoinFraction), 1),
	}
}

// allowedPrefixes returns the prefixes from which proxies may connect; nil if they may connect from any address.
func allowedPrefixes(set *pb.Planner) *bart.Table[struct{}] {
	if set.Allow == nil {
		return nil
	}
	allowed := &bart.Table[struct{}]{}
	for _, prefix := range set.Allow {
		allowed.Insert(netip.MustParsePrefix(prefix).Masked(), struct{}{})
	}
	return allowed
}

// run accepts connections until the context ends or the listener is closed. It returns when all accepted connections have
// ended.
func (a *acceptor) run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { closeQuietly(listener) })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				closeQuietly(conn)
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accepting proxies: %w", err)
		}
		if err != nil {
			a.log.Warn("accepting a connection failed", slog.Any(logKeyError, err))
			if clock.Sleep(ctx, a.clock, acceptRetryMs) != nil {
				return nil
			}
			continue
		}
		from := peerAddress(conn)
		if !a.admit(ctx, from) {
			closeQuietly(conn)
			continue
		}
		a.open.Add(1)
		connections.Go(func() {
			defer a.open.Add(-1)
			a.serve(ctx, conn, from)
		})
	}
}

// admit reports whether a connection may be served. It waits until the limit on the rate of accepts allows the connection.
func (a *acceptor) admit(ctx context.Context, from netip.Addr) bool {
	open := a.open.Load()
	forbidden := a.allowed != nil && !a.allowed.Contains(from)
	if forbidden || open >= a.maxOpen {
		a.rejected.Add(1)
		a.log.Debug("connection rejected", slog.Any(logKeyFrom, from), slog.Int64(logKeyStreams, open))
		return false
	}
	for a.status.load().Lagging && !a.laggingPace.Allow() { // ejections and joined proxies have priority over new connections
		if clock.Sleep(ctx, a.clock, laggingJoinPollMs) != nil {
			return false
		}
	}
	return a.pace.Wait(ctx) == nil
}

// peerAddress returns the remote IP address of a connection, or the zero address if the connection does not use TCP.
func peerAddress(conn net.Conn) netip.Addr {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}
