package clock

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// TCP is the machine's network. The zero value is ready to use.
type TCP struct {
	KeepAlive time.Duration // interval of TCP keep-alive probes; 0: the default of package net; negative: no probes
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: t.KeepAlive}
	if from.IsValid() {
		const anyPort = 0
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, anyPort))
	}
	return dialer.DialContext(ctx, "tcp", to)
}

// Listen implements Network.
func (t TCP) Listen(ctx context.Context, at string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: t.KeepAlive}
	return config.Listen(ctx, "tcp", at)
}
