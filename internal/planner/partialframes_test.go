package planner

import (
	"net"
	"runtime"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// Guards against a planner that passes its memory limit while hundreds of clients stop half way through a large frame (issue 41,
// picture a).
func TestIncompleteFramesCostLittleMemory(t *testing.T) {
	const (
		clients      = 1200
		partialBytes = 250 << 10
		settleMs     = 1000
		// maxClientBytes allows for buffers that are twice as long as what they hold, and 64 KiB for each connection.
		maxClientBytes = 2*maxPartialBytes + clients*smallPartialBytes
	)
	used := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapInuse + stats.StackInuse)
	}
	server := startServer(t, parseTestSettings(t, `proxies: 4 streams { join_within: "5s" }`), nil, 4)
	frame := encodeFrame(t, controlstream.FrameJoin, &order.Join{Proxy: strings.Repeat("y", partialBytes)})[:partialBytes]
	before := used()
	for range clients {
		conn, err := net.Dial("tcp", server.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(conn) })
		go func() { _, _ = conn.Write(frame) }() // fails where the planner closes the connection
	}
	if err := clock.Sleep(t.Context(), clock.NewReal(), settleMs); err != nil {
		t.Fatal(err)
	}
	if grown := used() - before; grown > maxClientBytes {
		t.Errorf("%d clients cost %d MiB, want at most %d", clients, grown>>20, maxClientBytes>>20)
	} else {
		t.Logf("%d clients cost %d MiB", clients, grown>>20)
	}
	server.joinAndAwaitTable("x", 1, 1)
}
