package discovery

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// TestUpdateDecoderStopsAtVersionGap checks that nothing is delivered once a change was lost, as the lost change may have
// been a drain.
func TestUpdateDecoderStopsAtVersionGap(t *testing.T) {
	var updates []Update
	decoder := &updateDecoder{deliver: func(update Update) { updates = append(updates, update) }}
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_WHOLE, Version: 4})
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 5})
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 7}) // version 6 was lost
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 8})
	if len(updates) != 2 || !decoder.versionGap {
		t.Errorf("delivered %v, version gap %t; want the first two updates and a version gap", updates, decoder.versionGap)
	}
}

// failingNetwork fails each dial with the next of its errors. When it returns the last error, it also ends the source.
type failingNetwork struct {
	errs []error
	stop context.CancelFunc
}

func (n *failingNetwork) Dial(context.Context, netip.Addr, string) (net.Conn, error) {
	err := n.errs[0]
	if len(n.errs) > 1 {
		n.errs = n.errs[1:]
	} else {
		n.stop()
	}
	return nil, err
}

func (n *failingNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.ErrUnsupported
}

// TestStreamSourceReportsFaultOnce checks that a fault is delivered once, even if several dials in a row fail with that
// fault.
func TestStreamSourceReportsFaultOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	refused := errors.New("refused")
	unreachable := errors.New("unreachable")
	ended := errors.New("after the context ended")
	network := &failingNetwork{errs: []error{refused, refused, refused, unreachable, unreachable, refused, ended}, stop: cancel}
	source := &StreamSource{
		Address:            "registry:1",
		ReconnectDelayMs:   1,
		HeartbeatTimeoutMs: 1000,
		MaxFrameBytes:      1 << 10,
		Clock:              clock.NewReal(),
		Network:            network,
	}
	var updates []Update
	if err := source.Run(ctx, func(update Update) { updates = append(updates, update) }); err != nil {
		t.Fatal(err)
	}
	want := []error{refused, unreachable, refused}
	if len(updates) != len(want) {
		t.Fatalf("%d updates, want %d: %v", len(updates), len(want), updates)
	}
	for index, update := range updates {
		if update.Kind != policy.FailedUpdate || !strings.HasSuffix(update.Fault, want[index].Error()) {
			t.Errorf("update %d is %v, want a failed update with fault %q", index, update, want[index])
		}
	}
}
