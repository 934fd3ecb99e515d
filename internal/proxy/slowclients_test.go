package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"lichenpick/internal/clock"
)

const (
	slowClients = 300
	// maxClientBytes is the memory that these clients may cost: that for request bodies, and 128 KiB for each connection.
	maxClientBytes = maxRequestMemory + slowClients*128<<10
	requestLine    = "POST /x HTTP/1.1\r\nHost: a\r\nTraffic-Group: charge\r\n"
	settleMs       = 1000
)

// usedBytes returns the memory that is in use, after a garbage collection.
func usedBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// dialClient opens a connection that is closed at the end of the test.
func dialClient(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConnection(conn) })
	return conn
}

// wait lets a time in ms pass.
func wait(t *testing.T, ms float64) {
	t.Helper()
	if err := clock.Sleep(t.Context(), clock.NewReal(), ms); err != nil {
		t.Fatal(err)
	}
}

// shortFields returns a head without its end, with as many fields as fit into a number of bytes.
func shortFields(size int) string {
	var head strings.Builder
	head.WriteString(requestLine)
	for number := 0; head.Len() < size; number++ {
		fmt.Fprintf(&head, "%x:\r\n", number)
	}
	return head.String()
}

// Guards against a process that passes its memory limit while hundreds of clients write large requests slowly or only in part
// (issue 41, picture a).
func TestUnfinishedRequestsCostLittleMemory(t *testing.T) {
	for name, text := range map[string]string{
		"heads of very many short fields": shortFields(1 << 20),
		"half of a large body":            requestLine + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<19),
		"a large chunked body":            requestLine + "Transfer-Encoding: chunked\r\n\r\nff000\r\n" + strings.Repeat("x", 1<<19),
		"a slow head":                     requestLine + "A: ",
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(http.ResponseWriter, *http.Request) {})
			_, address := startProxy(t, "", server)
			before := usedBytes()
			for range slowClients {
				conn := dialClient(t, address)
				go func() { _, _ = io.WriteString(conn, text) }() // fails where the proxy closes the connection
			}
			wait(t, settleMs)
			if grown := usedBytes() - before; grown > maxClientBytes {
				t.Errorf("%d clients cost %d MiB, want at most %d", slowClients, grown>>20, maxClientBytes>>20)
			}
			checkSend(t, address, "check", http.StatusOK, "")
		})
	}
}
