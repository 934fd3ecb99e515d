package proxy

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"lichenpick/internal/clock"
)

// lateCloseMs is how long a lateCloseConn waits for a write, in ms. Only a connection that gets no more writes waits this long.
const lateCloseMs = 50

// lateCloseNetwork opens connections of type lateCloseConn.
type lateCloseNetwork struct{ clock.TCP }

func (n lateCloseNetwork) Dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, from, to)
	if err != nil {
		return nil, err
	}
	return &lateCloseConn{Conn: conn, written: make(chan struct{}, 1)}, nil
}

// lateCloseConn is a connection that is closed only after one more write, as if the goroutine that closes it were slower than
// the one that writes. If there is no write, it is closed after lateCloseMs.
type lateCloseConn struct {
	net.Conn
	written chan struct{}
}

func (c *lateCloseConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	select {
	case c.written <- struct{}{}:
	default:
	}
	return count, err
}

func (c *lateCloseConn) Close() error {
	select {
	case <-c.written: // a write before the close
	default:
	}
	fired, stop := clock.NewReal().NewTimer(lateCloseMs)
	defer stop()
	select {
	case <-c.written:
	case <-fired:
	}
	return c.Conn.Close()
}

// Guards against processing a request twice: when a server closed a reused connection under a request, the HTTP library sent the
// request again on another idle connection, and the cancellation of that could come after the request had been written.
func TestRequestIsNotResentOnAnotherIdleConnection(t *testing.T) {
	const requests = 2 // concurrent requests at the start, which leave as many idle connections
	for _, test := range []struct{ method, class, idempotencyKey string }{
		{"GET", "charge", ""},
		{"POST", "charge", "k1"},
		{"GET", "check", ""},
	} {
		t.Run(test.method+" "+test.class, func(t *testing.T) {
			processed := &processedCounter{times: map[string]int{}}
			var started sync.WaitGroup
			started.Add(requests)
			server := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
				id := request.Header.Get(RequestHeader)
				processed.record(id)
				if id == "reset" {
					panic(http.ErrAbortHandler) // closes the connection without a response
				}
				started.Done()
				started.Wait()
			})
			_, address := startProxyOn(t, lateCloseNetwork{}, "", server)
			var clients sync.WaitGroup
			for range requests {
				clients.Go(func() { send(t, address, "GET", "check", "") })
			}
			clients.Wait()
			status, outcome := send(t, address, test.method, test.class, "", RequestHeader, "reset", "Idempotency-Key", test.idempotencyKey)
			if status != http.StatusBadGateway || outcome != "dropped" {
				t.Errorf("status %d, outcome %q, want 502, dropped", status, outcome)
			}
			processed.mu.Lock()
			defer processed.mu.Unlock()
			if processed.times["reset"] != 1 {
				t.Errorf("the request was processed %d times", processed.times["reset"])
			}
		})
	}
}
