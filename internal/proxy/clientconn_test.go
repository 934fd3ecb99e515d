package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against requests that are sent on after their client has left, and run twice when the client sends them again (issue 41,
// picture c).
func TestUnreadRequestsOfDepartedClientAreNotForwarded(t *testing.T) {
	const pipelined = 1000 // more than the proxy reads ahead
	var received atomic.Int32
	release := make(chan bool)
	server := startServer(t, func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		<-release
	})
	_, address := startProxy(t, "", server)
	conn := dialClient(t, address)
	request := requestLine + "Content-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, strings.Repeat(request, pipelined)); err != nil {
		t.Fatal(err)
	}
	for received.Load() == 0 {
		wait(t, 1)
	}
	closeConnection(conn)
	close(release)
	wait(t, settleMs)
	if count := received.Load(); count != 1 {
		t.Errorf("the server got %d requests, want only the one that was in flight when the client left", count)
	}
}

// A client that sends several requests at once and stays gets all answers, in their order.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	const pipelined = 40
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get(RequestHeader)) })
	_, address := startProxy(t, "", server)
	conn := dialClient(t, address)
	var requests strings.Builder
	for number := range pipelined {
		fmt.Fprintf(&requests, "%s%s: %d\r\nContent-Length: 0\r\n\r\n", requestLine, RequestHeader, number)
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for number := range pipelined {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != fmt.Sprint(number) {
			t.Errorf("answer %d is %q, %v", number, body, err)
		}
	}
}
