package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// Faults of a list stream.
var (
	// errVersionGap is that a change was lost, which may have been a drain: the stream is dialled again for a full list.
	errVersionGap = errors.New("a change does not follow the last list; reconnecting for a full list")
	// errSourceFailed is that the source says that it could not get its list.
	errSourceFailed = errors.New("the source reported a failure")
)

const readBufferBytes = 1 << 15

// StreamSource follows a source that pushes full lists and changes over TCP, in the frames of package controlstream. All
// fields must be set.
type StreamSource struct {
	Address            string  // host:port
	ReconnectDelayMs   float64 // from the end of a stream, or a dial that failed, to the next
	HeartbeatTimeoutMs float64 // to connect, for a handshake, and without a frame: then the stream is given up
	MaxFrameBytes      int
	Clock              clock.Clock
	Network            clock.Network
}

// Run implements Source. It returns nil when the context ends.
func (s *StreamSource) Run(ctx context.Context, deliver func(Update)) error {
	faults := faultReporter{deliver: deliver}
	for ctx.Err() == nil {
		err := s.follow(ctx, func(update Update) {
			faults.reportSuccess()
			deliver(update)
		})
		if ctx.Err() == nil && err != nil {
			faults.reportFailure(err)
		}
		if clock.Sleep(ctx, s.Clock, s.ReconnectDelayMs) != nil {
			break
		}
	}
	return nil
}

// follow delivers the updates of one stream until it ends.
func (s *StreamSource) follow(ctx context.Context, deliver func(Update)) error {
	connection, err := s.dial(ctx)
	if err != nil {
		return fmt.Errorf("connect to the endpoint source: %w", err)
	}
	closeConnection := func() { _ = connection.Close() } // nothing is written, so nothing can be lost
	defer closeConnection()
	stopWatching := context.AfterFunc(ctx, closeConnection)
	defer stopWatching()

	limits := controlstream.Limits{
		MaxFrameBytes:      s.MaxFrameBytes,
		HandshakeTimeoutMs: s.HeartbeatTimeoutMs,
		HeartbeatTimeoutMs: s.HeartbeatTimeoutMs,
	}
	session := controlstream.NewEndpointSession(limits, s.Clock.Monotonic())
	decoder := &updateDecoder{deliver: deliver}
	buffer := make([]byte, readBufferBytes)
	for {
		if err := connection.SetReadDeadline(s.Clock.Deadline(s.HeartbeatTimeoutMs)); err != nil {
			return fmt.Errorf("read from the endpoint source: %w", err)
		}
		count, readErr := connection.Read(buffer)
		session.Feed(s.Clock.Monotonic(), buffer[:count])
		for session.Next(decoder) {
		}
		switch {
		case decoder.versionGap:
			return errVersionGap
		case session.CloseCause() != nil:
			return session.CloseCause()
		case readErr != nil:
			return fmt.Errorf("read from the endpoint source: %w", readErr)
		}
	}
}

func (s *StreamSource) dial(ctx context.Context) (net.Conn, error) {
	timeout := time.Duration(s.HeartbeatTimeoutMs) * time.Millisecond
	dialContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Network.Dial(dialContext, netip.Addr{}, s.Address)
}

// updateDecoder turns the frames of one stream into updates. It implements controlstream.EndpointHost.
type updateDecoder struct {
	deliver    func(Update)
	version    uint64 // of the last list or change; 0: none
	versionGap bool   // a change was lost: nothing more is delivered
}

// OnEndpoints delivers a list, a change, or a failure of the source.
func (d *updateDecoder) OnEndpoints(listing *order.Listing) {
	if d.versionGap {
		return
	}
	switch listing.Form {
	case order.Listing_FAILED:
		d.deliver(Update{Kind: policy.FailedUpdate, Fault: errSourceFailed.Error()})
	case order.Listing_CHANGE:
		if d.version == 0 || listing.Version != d.version+1 {
			d.versionGap = true
			return
		}
		d.deliverEndpoints(policy.DeltaUpdate, listing)
	case order.Listing_WHOLE:
		d.deliverEndpoints(policy.FullUpdate, listing)
	default: // a form of a later release is passed on without its entries
		d.deliver(Update{Kind: policy.UpdateKind(listing.Form), AsOfMs: listing.AsOfUnixMs, Version: listing.Version})
	}
}

func (d *updateDecoder) deliverEndpoints(kind policy.UpdateKind, listing *order.Listing) {
	d.version = listing.Version
	update := Update{Kind: kind, AsOfMs: listing.AsOfUnixMs, Version: listing.Version}
	for _, entry := range listing.Entries {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Server:           entry.Server,
			Zone:             entry.Zone,
			State:            policy.State(entry.State),
			RelativeCapacity: entry.Size,
			StartedUnixMs:    entry.BornUnixMs,
		})
	}
	d.deliver(update)
}
