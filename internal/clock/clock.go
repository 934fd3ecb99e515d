// Package clock provides the program's only access to time and to the network. Other packages receive a Clock and a Network,
// so that the same code runs with the clock and network of the machine (Real, TCP) and with simulated ones.
//
// Durations are in ms, as float64, like the durations in package policy. All types are safe for use by several goroutines.
package clock

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Clock tells time and sets timers.
type Clock interface {
	// Monotonic returns the time since an arbitrary origin, in ms. This time never jumps. Use it for durations and deadlines.
	Monotonic() float64
	// WallTime returns the date and time of day. It jumps when the machine's clock is set, so use it only for display and in
	// messages.
	WallTime() time.Time
	// NewTimer returns a channel that receives one value after the given duration in ms, and a function that releases the timer.
	// The caller must call this function even after the timer has fired, and may call it more than once.
	NewTimer(ms float64) (fired <-chan time.Time, stop func())
	// Deadline returns the current time plus the given duration in ms, for the deadline methods of net.Conn. The deadline
	// stays correct when the machine's clock is set.
	Deadline(ms float64) time.Time
}

// Network opens connections and listeners.
type Network interface {
	// Dial opens a connection. The parameter to is the remote address, host:port. The parameter from is the local IP address;
	// the zero Addr means any local address. The context limits the time until the connection is established. The end of the
	// context does not close an established connection.
	Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error)
	// Listen listens on an address, host:port. The end of the context does not close the listener.
	Listen(ctx context.Context, at string) (net.Listener, error)
}

// Sleep waits for the given duration in ms. If the context ends first, it returns the context's error.
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
