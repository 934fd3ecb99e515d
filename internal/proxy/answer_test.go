package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// startRawServer starts a server that reads each request and answers with a text, after which it closes the connection.
func startRawServer(t *testing.T, answer string) string {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed at the end of the test
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer) // fails if the proxy has closed the connection
			}
			closeConnection(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a server whose answer costs the client its connection: a status below 100 made the proxy panic.
func TestInvalidAnswerFailsTheAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   int
	}{
		"status 099":             {"HTTP/1.1 099 x\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"status 000":             {"HTTP/1.1 000 x\r\n\r\n", http.StatusBadGateway},
		"101 without an upgrade": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nx", http.StatusBadGateway},
		"100 and no answer":      {"HTTP/1.1 100 Continue\r\n\r\n", http.StatusBadGateway},
		"103 and an answer":      {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		"204 with a body":        {"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc", http.StatusNoContent},
		"304":                    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", http.StatusNotModified},
		"a length too long":      {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", http.StatusBadGateway},
		"two lengths":            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadGateway},
		"both kinds of length":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
		"a trailer":              {"HTTP/1.1 200 OK\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n", http.StatusOK},
		"an early end":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\nabc", http.StatusBadGateway},
		"a status above 599":     {"HTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n", 999},
		"headers over the limit": {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 11<<20) + "\r\n\r\n", http.StatusBadGateway},
		"not HTTP":               {"SSH-2.0-x\r\n", http.StatusBadGateway},
		"nothing":                {"", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startProxy(t, "", startRawServer(t, test.answer))
			if status := sendTarget(t, address, "GET", "/", "x", ""); status != test.want {
				t.Errorf("status %d, want %d", status, test.want)
			}
		})
	}
}

// FuzzAnswer checks that a client gets a response whatever a server answers.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 099 x\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
	f.Add("HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 304 \r\nContent-Length: -1\r\n\r\n")
	f.Add("HTTP/1.1 101 x\r\n\r\n")
	f.Fuzz(func(t *testing.T, answer string) {
		_, address := startProxy(t, "", startRawServer(t, answer))
		if status := sendTarget(t, address, "GET", "/", "x", ""); status == 0 {
			t.Errorf("no response to the client after the answer %q", answer)
		}
	})
}
