package proxy

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// clientConnKey is the key of a client's connection in the contexts of its requests.
type clientConnKey struct{}

// withClientConn is the ConnContext of the HTTP server.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientHasLeft reports whether the client of a request has closed its connection. The HTTP library notices this only once it has
// read all that the client wrote; until then it goes on with the client's next requests, whose answers nobody gets, and which the
// client may have sent again elsewhere.
func clientHasLeft(incoming *http.Request) bool {
	if incoming.Context().Err() != nil {
		return true
	}
	conn, ok := incoming.Context().Value(clientConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(descriptor uintptr) { left = hasHungUp(int32(descriptor)) })
	return left || err != nil // an error means that the connection is closed
}

// hasHungUp reports whether the peer of a socket has closed its connection or its sending side, also if there is unread data.
func hasHungUp(descriptor int32) bool {
	descriptors := []unix.PollFd{{Fd: descriptor, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(descriptors, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && descriptors[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}
