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

// Faults of an endpoint stream.
var (
	// errVersionGap means that a change was lost. The lost change may have been a drain, so the source reconnects to get a
	// full list.
	errVersionGap = errors.New("a change of the endpoint list was lost; reconnecting for a full list")
	// errSourceFailed means that the source reported that it could not get its list.
	errSourceFailed = errors.New("the endpoint source reported that it could not get its list")
)

const readBufferBytes = 1 << 15

// StreamSource connects to a source that pushes full lists and changes over TCP, in the frames of package controlstream.
// All fields must be set.
type StreamSource struct {
	Address            string  // host:port
	ReconnectDelayMs   float64 // delay from the end of a stream, or from a failed dial, to the next dial
	HeartbeatTimeoutMs float64 // limit on each dial, on the handshake, and on the time between received frames
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

// follow opens one stream and delivers its updates until it ends.
func (s *StreamSource) follow(ctx context.Context, deliver func(Update)) error {
	connection, err := s.dial(ctx)
	if err != nil {
		return fmt.Errorf("connect to the endpoint source: %w", err)
	}
	closeConnection := func() { _ = connection.Close() } // the connection is only read from, so no data can be lost
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

// updateDecoder converts the frames of one stream to updates. It implements controlstream.EndpointHost.
type updateDecoder struct {
	deliver    func(Update)
	version    uint64 // version of the last list or change; 0 if none was received
	versionGap bool   // whether a change was lost; after that nothing more is delivered
}

// OnEndpoints delivers a full list, a change, or a failure of the source.
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
	default: // a later release added this value of Listing.Form; deliver the update, but not its entries
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
