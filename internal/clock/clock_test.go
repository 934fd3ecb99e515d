package clock

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"
)

const hourMs = 3_600_000

func TestSleep(t *testing.T) {
	t.Run("returns no earlier than after the duration", func(t *testing.T) {
		const spanMs = 5
		clock := NewReal()
		startMs := clock.Monotonic()
		if err := Sleep(t.Context(), clock, spanMs); err != nil {
			t.Fatal(err)
		}
		if elapsedMs := clock.Monotonic() - startMs; elapsedMs < spanMs {
			t.Errorf("returned after only %g ms", elapsedMs)
		}
	})
	t.Run("a negative duration returns at once", func(t *testing.T) {
		if err := Sleep(t.Context(), NewReal(), -hourMs); err != nil {
			t.Error(err)
		}
	})
	t.Run("returns when the context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := Sleep(ctx, NewReal(), hourMs); !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
	})
}

func TestRealDeadline(t *testing.T) {
	clock := NewReal()
	before := time.Now()
	deadline := clock.Deadline(hourMs)
	if span := deadline.Sub(before); span < hourMs*time.Millisecond || span > (hourMs+60_000)*time.Millisecond {
		t.Errorf("the deadline is in %v, want one hour", span)
	}
	if past := clock.Deadline(-hourMs); past.Before(before) {
		t.Errorf("the deadline of a negative duration is in the past: %v", past)
	}
}

// TestTCPDialsFromAddress checks that Dial connects from the requested local address.
func TestTCPDialsFromAddress(t *testing.T) {
	listener, err := TCP{}.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	from := netip.MustParseAddr("127.0.0.2")
	connection, err := TCP{}.Dial(t.Context(), from, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := connection.Close(); err != nil {
			t.Error(err)
		}
	})
	local, err := netip.ParseAddrPort(connection.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if local.Addr() != from {
		t.Errorf("dialled from %v, want %v", local.Addr(), from)
	}
}
