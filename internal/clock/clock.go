// Package clock is the program's only way to time and network. All other packages are handed a Clock and a Network, so that
// the same code runs with the machine's own (Real, TCP) and with simulated ones.
//
// Spans are in ms, as float64, like those of the policy. All types are safe for use by several goroutines.
package clock

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Clock tells time and sets timers.
type Clock interface {
	// Monotonic is the time since an arbitrary origin, in ms. It never jumps. It is for spans, limits and deadlines.
	Monotonic() float64
	// WallTime is the date. It jumps when the machine's clock is set, so it is only to be shown or sent along.
	WallTime() time.Time
	// NewTimer returns a channel that gets one value after a span, and a function that releases the timer before that. The
	// function is to be called in any case; it may be called more than once.
	NewTimer(ms float64) (fired <-chan time.Time, stop func())
	// Deadline is the time after a span, as net.Conn takes it for reads and writes. A jump of the date does not move it.
	Deadline(ms float64) time.Time
}

// Network dials and listens.
type Network interface {
	// Dial connects to an address, host:port, from a local address, or from any if that is invalid. The context bounds the
	// time until the connection is up.
	Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error)
	// Listen accepts connections at an address, host:port. The context does not end the listener.
	Listen(ctx context.Context, at string) (net.Listener, error)
}

// Sleep waits for a span. If the context ends before, it returns the context's error.
func Sleep(ctx context.Context, clock Clock, ms float64) error {
	fired, stop := clock.NewTimer(ms)
	defer stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
