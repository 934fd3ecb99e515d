// Package clock is the program's door to time and network: all else is handed a Clock and a Network, so that
// the same code runs on the machine's own and on simulated ones.
package clock

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Clock tells time. Monotonic never jumps and is for spans, limits and deadlines; WallTime is the date, may be stepped by
// whoever sets the machine's clock, and is only ever shown or sent along.
type Clock interface {
	Monotonic() float64 // ms since an arbitrary origin
	WallTime() time.Time
	NewTimer(ms float64) (<-chan time.Time, func()) // fires once; the func releases it early
	Deadline(ms float64) time.Time                  // so long from now, for reads and writes; no step of the date moves it
}

// Network dials and listens.
type Network interface {
	Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error)
	Listen(ctx context.Context, at string) (net.Listener, error)
}

// Real is the machine's clock.
type Real struct{ origin time.Time }

// NewReal starts the machine's clock with Monotonic at a little over 0.
func NewReal() *Real { return &Real{origin: time.Now()} }

// Monotonic goes by the runtime's monotonic reading, which steps of the date do not touch.
func (r *Real) Monotonic() float64 { return float64(time.Since(r.origin)) / float64(time.Millisecond) }

func (r *Real) WallTime() time.Time { return time.Now() }

func (r *Real) NewTimer(ms float64) (<-chan time.Time, func()) {
	t := time.NewTimer(time.Duration(max(ms, 0) * float64(time.Millisecond)))
	return t.C, func() { t.Stop() }
}

func (r *Real) Deadline(ms float64) time.Time {
	return time.Now().Add(time.Duration(max(ms, 0) * float64(time.Millisecond)))
}

// Sleep waits for a while, or until the context ends, which it then says.
func Sleep(ctx context.Context, c Clock, ms float64) error {
	fired, stop := c.NewTimer(ms)
	defer stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TCP is the machine's network.
type TCP struct{ KeepAlive time.Duration }

func (t TCP) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: t.KeepAlive}
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return d.DialContext(ctx, "tcp", to)
}

func (t TCP) Listen(ctx context.Context, at string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: t.KeepAlive}
	return lc.Listen(ctx, "tcp", at)
}
