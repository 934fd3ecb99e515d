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

// How connections are paced.
const (
	acceptRetryMs       = 100.0 // after an accept failed, which may be for want of file descriptors
	acceptBurstDivisor  = 10    // the accepts of one second, divided by this, may come at once
	laggingJoinFraction = 0.1   // of the pace of accepts while the core lags; each join costs a whole table
	laggingJoinPollMs   = 20.0  // between attempts to admit one then
)

// acceptor accepts connections of proxies, admits them by address, number and pace, and has each served on goroutines of its
// own. Its methods belong to the goroutine in run; open and rejected may be read by any.
type acceptor struct {
	clock       clock.Clock
	log         *slog.Logger
	status      *statusPublisher
	serve       func(context.Context, net.Conn, netip.Addr) // runs one connection to its end
	allowed     *bart.Table[struct{}]                       // by prefix; nil: all addresses
	maxOpen     int64
	pace        *rate.Limiter
	laggingPace *rate.Limiter // pace while the core lags
	open        atomic.Int64  // connections now
	rejected    atomic.Uint64 // connections closed by address or number since the start
}

// newAcceptor makes an acceptor by checked settings. It has serve run each connection that it admits.
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

// allowedPrefixes returns the prefixes from which proxies may connect; nil if all addresses may.
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

// run accepts connections until the context ends, and returns when all of them have ended.
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

// admit reports whether a connection may be served, once its turn has come.
func (a *acceptor) admit(ctx context.Context, from netip.Addr) bool {
	open := a.open.Load()
	forbidden := a.allowed != nil && !a.allowed.Contains(from)
	if forbidden || open >= a.maxOpen {
		a.rejected.Add(1)
		a.log.Debug("connection rejected", slog.Any(logKeyFrom, from), slog.Int64(logKeyStreams, open))
		return false
	}
	for a.status.load().Lagging && !a.laggingPace.Allow() { // drains and joined proxies pass first
		if clock.Sleep(ctx, a.clock, laggingJoinPollMs) != nil {
			return false
		}
	}
	return a.pace.Wait(ctx) == nil
}

// peerAddress is the zero address for a connection that has no IP address.
func peerAddress(conn net.Conn) netip.Addr {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}
