package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lichenpick/internal/clock"
)

const (
	busyRequests   = 40
	busyIntervalMs = 20
	maxGrownBytes  = 16 << 20
	// objectiveMs is the latency objective of the class check.
	objectiveMs = 600
)

// floodRequests writes requests to an address as fast as it can until the context ends, on one connection after another where the
// proxy closes them. It reads the answers.
func floodRequests(ctx context.Context, address string, request func(number int) string) {
	const batch = 64
	number := 0
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { closeConnection(conn) })
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		for err == nil {
			var text strings.Builder
			for range batch {
				text.WriteString(request(number))
				number++
			}
			_, err = io.WriteString(conn, text.String())
		}
		stop()
		closeConnection(conn)
	}
}

// Guards against clients that get their answers late, and memory that grows, while one client sends small or unsound requests at
// full speed (issue 41, picture b).
func TestBusyClientDelaysNoOthers(t *testing.T) {
	for name, request := range map[string]func(number int) string{
		"small requests": func(int) string { return "GET /x HTTP/1.1\r\nHost: a\r\n\r\n" },
		"ever new classes": func(number int) string {
			return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: a\r\nTraffic-Group: class-%d\r\n\r\n", number)
		},
		"ever new fields": func(number int) string {
			return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h%d\r\nName-%d: 1\r\n\r\n", number, number, number)
		},
		"unsound requests": func(number int) string { return fmt.Sprintf("GET /%d\r\n\r\n", number) },
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(http.ResponseWriter, *http.Request) {})
			_, address := startProxy(t, "", server)
			before := usedBytes()
			ctx, cancel := context.WithCancel(t.Context())
			flooding := make(chan bool)
			go func() {
				defer close(flooding)
				floodRequests(ctx, address, request)
			}()
			monotonic := clock.NewReal()
			slowestMs := 0.0
			for range busyRequests {
				wait(t, busyIntervalMs)
				startMs := monotonic.Monotonic()
				checkSend(t, address, "check", http.StatusOK, "")
				slowestMs = max(slowestMs, monotonic.Monotonic()-startMs)
			}
			cancel()
			<-flooding
			if slowestMs > objectiveMs {
				t.Errorf("the slowest answer took %.0f ms, want at most %d", slowestMs, objectiveMs)
			}
			if grown := usedBytes() - before; grown > maxGrownBytes {
				t.Errorf("the memory grew by %d MiB, want at most %d", grown>>20, maxGrownBytes>>20)
			}
			t.Logf("slowest answer %.1f ms, memory grew by %d KiB", slowestMs, (usedBytes()-before)>>10)
		})
	}
}
