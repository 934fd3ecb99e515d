package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"lichenpick/internal/clock"
)

// recordingNetwork records the addresses that a proxy dials, but not those of its planner.
type recordingNetwork struct {
	clock.TCP
	planner string

	mu     sync.Mutex
	dialed []string
}

func (n *recordingNetwork) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	if to != n.planner {
		n.mu.Lock()
		n.dialed = append(n.dialed, to)
		n.mu.Unlock()
	}
	return n.TCP.Dial(ctx, from, to)
}

// sendTarget sends a request with any text as its target and Host header, and returns the status of the response; 0 if there
// is none.
func sendTarget(t *testing.T, address, method, target, host, header string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConnection(conn)
	request := method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n" + header + "\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return 0 // the proxy closed the connection at an invalid line
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	closeBody(response)
	return response.StatusCode
}

// targetFixture is a proxy with one server, which records the targets that it receives.
type targetFixture struct {
	network  *recordingNetwork
	proxy    string
	server   string
	received chan string
}

func startTargetFixture(t *testing.T) *targetFixture {
	t.Helper()
	f := &targetFixture{network: &recordingNetwork{planner: "127.0.0.1:1"}, received: make(chan string, 1)}
	f.server = startServer(t, func(_ http.ResponseWriter, request *http.Request) {
		select {
		case f.received <- request.RequestURI:
		default:
		}
	})
	_, f.proxy = startProxyOn(t, f.network, "", f.server)
	return f
}

// checkDialed checks that the proxy has dialled only its server.
func (f *targetFixture) checkDialed(t *testing.T, target, host string) {
	t.Helper()
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, address := range f.network.dialed {
		if address != f.server {
			t.Errorf("target %q, Host %q: the proxy dialled %s, which is in no table", target, host, address)
		}
	}
	f.network.dialed = nil
}

// Guards against clients that choose the address to dial: the opaque part of a request target followed the server's address,
// so that the proxy took the server's address for user information.
func TestRequestTargetDoesNotChooseTheServer(t *testing.T) {
	f := startTargetFixture(t)
	other := listen(t).Addr().String()
	for _, test := range []struct {
		method, target, header string
		want                   int
		received               string // target that the server receives; empty: none
	}{
		{"GET", "a:@" + other + "/x", "", http.StatusBadRequest, ""},
		{"GET", "http:@" + other + "/x", "", http.StatusBadRequest, ""},
		{"GET", "http://" + other + "/x?y=1", "", http.StatusOK, "/x?y=1"},
		{"GET", "http://user:word@" + other, "", http.StatusOK, "/"},
		{"GET", "ftp://" + other + "/x", "", http.StatusBadRequest, ""},
		{"GET", "//" + other + "/x", "", http.StatusOK, "//" + other + "/x"},
		{"GET", "/@" + other + "/a%2Fb?", "", http.StatusOK, "/@" + other + "/a%2Fb?"},
		{"OPTIONS", "*", "", http.StatusBadRequest, ""},
		{"CONNECT", other, "", http.StatusNotImplemented, ""},
		{"GET", "/", "Upgrade: websocket\r\n", http.StatusNotImplemented, ""},
	} {
		t.Run(test.method+" "+strings.ReplaceAll(test.target, other, "OTHER")+test.header, func(t *testing.T) {
			status := sendTarget(t, f.proxy, test.method, test.target, "x", test.header)
			if status != test.want {
				t.Errorf("status %d, want %d", status, test.want)
			}
			received := ""
			select {
			case received = <-f.received:
			default:
			}
			if received != test.received {
				t.Errorf("the server received %q, want %q", received, test.received)
			}
			f.checkDialed(t, test.target, "x")
		})
	}
}

// FuzzRequestTarget checks that no request target and no Host header make the proxy dial an address that is in no table.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{"/", "*", "a:@127.0.0.1:9/x", "http://127.0.0.1:9/x", "http:127.0.0.1:9", "//127.0.0.1:9", "?", "@127.0.0.1:9"} {
		f.Add(target, "127.0.0.1:9")
		f.Add(target, "@127.0.0.1:9/x")
	}
	f.Fuzz(func(t *testing.T, target, host string) {
		if strings.ContainsAny(target+host, "\r\n") {
			t.Skip("the text would end the line")
		}
		fixture := startTargetFixture(t)
		sendTarget(t, fixture.proxy, "GET", target, host, "")
		fixture.checkDialed(t, target, host)
	})
}
