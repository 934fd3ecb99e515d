package fake

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"lichenpick/internal/clock"
)

// relayTestTimeout limits every read and write in the tests of the relay.
const relayTestTimeout = 10 * time.Second

// countingObserver counts the bytes and the ends of connections that an Observer is notified of.
type countingObserver struct {
	mu                              sync.Mutex
	toTarget, fromTarget, delivered int // numbers of bytes passed to the methods of the same names
	closed                          int // number of calls of Closed
}

func (o *countingObserver) ToTarget(_ float64, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.toTarget += len(data)
}

func (o *countingObserver) FromTarget(_ float64, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fromTarget += len(data)
}

func (o *countingObserver) Delivered(_ float64, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delivered += count
}

func (o *countingObserver) Closed(float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed++
}

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeListener(t, listener) })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeConnection(connection)
				_, _ = io.Copy(connection, connection) // ends with an error when the test closes the connection
			}()
		}
	}()
	return listener.Addr().String()
}

func closeListener(t *testing.T, listener net.Listener) {
	t.Helper()
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}

// startRelay starts a relay to an echo server until the end of the test. One observer observes all its connections.
func startRelay(t *testing.T) (*Relay, *countingObserver) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	observer := &countingObserver{}
	relay := &Relay{Clock: clock.NewReal(), Network: clock.TCP{}, Observe: func(netip.Addr) Observer { return observer }}
	if _, err := relay.Start(ctx, "127.0.0.1:0", startEcho(t)); err != nil {
		t.Fatal(err)
	}
	return relay, observer
}

// dialRelay connects to a relay. The connection is closed at the end of the test.
func dialRelay(t *testing.T, relay *Relay) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConnection(connection) })
	if err := connection.SetDeadline(time.Now().Add(relayTestTimeout)); err != nil {
		t.Fatal(err)
	}
	return connection
}

// greeting is the data that the tests send through a relay.
const greeting = "hello"

// echo sends the greeting and fails the test unless the echo server returns it.
func echo(t *testing.T, connection net.Conn) {
	t.Helper()
	if _, err := io.WriteString(connection, greeting); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(greeting))
	if _, err := io.ReadFull(connection, got); err != nil || string(got) != greeting {
		t.Fatalf("the echo server returned %q, error %v", got, err)
	}
}

func TestRelay(t *testing.T) {
	t.Run("data is forwarded in both directions and observed", func(t *testing.T) {
		relay, observer := startRelay(t)
		echo(t, dialRelay(t, relay))
		observer.mu.Lock()
		defer observer.mu.Unlock()
		if observer.toTarget != 5 || observer.fromTarget != 5 {
			t.Errorf("%d bytes observed to the target and %d from it, want 5 each", observer.toTarget, observer.fromTarget)
		}
	})
	t.Run("a cut delivers CutAfterBytes bytes and then breaks the connection", func(t *testing.T) {
		relay, observer := startRelay(t)
		connection := dialRelay(t, relay)
		echo(t, connection)
		relay.SetFaults(func(netip.Addr) LinkFault { return LinkFault{Cut: true, CutAfterBytes: 3} })
		if _, err := io.WriteString(connection, greeting); err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(connection); string(got) != "hel" { // the read may end with the error of a reset
			t.Errorf("%q was delivered, want the first 3 bytes", got)
		}
		observer.mu.Lock()
		defer observer.mu.Unlock()
		if observer.delivered != 8 {
			t.Errorf("%d bytes were observed as delivered, want 8", observer.delivered)
		}
	})
	t.Run("a stall holds data back until the fault ends", func(t *testing.T) {
		relay, _ := startRelay(t)
		connection := dialRelay(t, relay)
		echo(t, connection)
		relay.SetFaults(func(netip.Addr) LinkFault { return LinkFault{Stall: true} })
		var ended sync.WaitGroup
		ended.Go(func() {
			time.Sleep(100 * time.Millisecond)
			relay.SetFaults(nil)
		})
		started := time.Now()
		echo(t, connection)
		ended.Wait()
		if took := time.Since(started); took < 100*time.Millisecond {
			t.Errorf("data was delivered after %v, during the stall", took)
		}
	})
	t.Run("a closed relay refuses connections until it is reopened", func(t *testing.T) {
		relay, _ := startRelay(t)
		connection := dialRelay(t, relay)
		echo(t, connection)
		relay.Close()
		if _, err := connection.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open after Close")
		}
		if _, err := net.Dial("tcp", relay.Address()); err == nil {
			t.Error("the relay still listens after Close")
		}
		if err := relay.Reopen(); err != nil {
			t.Fatal(err)
		}
		echo(t, dialRelay(t, relay))
	})
}
