package discovery

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/netip"
	"os"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// FileSource polls a list file. A file that cannot be read whole is a failed call: what was listed stands. Whoever writes
// it should write another and rename it.
type FileSource struct {
	Path           string
	PollIntervalMs float64
	Clock          clock.Clock
}

func (f *FileSource) Run(ctx context.Context, deliver func(Update)) error {
	var last [sha256.Size]byte
	var version uint64
	failed := ""
	for {
		text, err := os.ReadFile(f.Path)
		var l pb.List
		if err == nil {
			if sum := sha256.Sum256(text); sum == last && failed == "" {
				if err := clock.Sleep(ctx, f.Clock, f.PollIntervalMs); err != nil {
					return nil
				}
				continue
			} else {
				last = sum
			}
			err = settings.Parse(f.Path, text, &l)
		}
		if err != nil {
			if err.Error() != failed { // told once, not at each poll
				failed = err.Error()
				deliver(Update{Kind: policy.FailedUpdate, Fault: failed})
			}
		} else {
			failed = ""
			version++
			deliver(fromFile(&l, version))
		}
		if err := clock.Sleep(ctx, f.Clock, f.PollIntervalMs); err != nil {
			return nil
		}
	}
}

func fromFile(l *pb.List, version uint64) Update {
	u := Update{Kind: policy.FullUpdate, AsOfMs: l.AsOfUnixMs, Version: version}
	for _, e := range l.Servers {
		u.Endpoints = append(u.Endpoints, Endpoint{
			Server: e.Server, Zone: e.Zone, State: policy.State(e.State), RelativeCapacity: e.GetSize(),
			StartedUnixMs: e.BornUnixMs,
		})
	}
	return u
}

// StreamSource follows a source that pushes whole lists and changes over TCP, in the frames of package controlstream. A change
// whose version does not follow the last is a gap: the stream is dialled anew, which brings the whole list.
type StreamSource struct {
	Address            string
	ReconnectDelayMs   float64
	HeartbeatTimeoutMs float64 // without a frame, the source is taken to be dead
	MaxFrameBytes      int
	Clock              clock.Clock
	Network            clock.Network
}

func (s *StreamSource) Run(ctx context.Context, deliver func(Update)) error {
	failed := ""
	for ctx.Err() == nil {
		err := s.follow(ctx, func(u Update) {
			failed = ""
			deliver(u)
		})
		if ctx.Err() == nil && err != nil && err.Error() != failed {
			failed = err.Error()
			deliver(Update{Kind: policy.FailedUpdate, Fault: failed})
		}
		if clock.Sleep(ctx, s.Clock, s.ReconnectDelayMs) != nil {
			break
		}
	}
	return nil
}

// follower turns frames into updates.
type follower struct {
	version uint64
	deliver func(Update)
	gap     bool
}

func (f *follower) OnEndpoints(m *order.Listing) {
	if f.gap {
		return
	}
	u := Update{Kind: policy.UpdateKind(m.Form), AsOfMs: m.AsOfUnixMs, Version: m.Version}
	switch m.Form {
	case order.Listing_FAILED:
		u = Update{Kind: policy.FailedUpdate, Fault: "the source says that it failed"}
	case order.Listing_CHANGE:
		if f.version == 0 || m.Version != f.version+1 {
			f.gap = true
			return
		}
		fallthrough
	case order.Listing_WHOLE:
		f.version, u.Kind = m.Version, policy.FullUpdate
		if m.Form == order.Listing_CHANGE {
			u.Kind = policy.DeltaUpdate
		}
		for _, e := range m.Entries {
			u.Endpoints = append(u.Endpoints, Endpoint{
				Server: e.Server, Zone: e.Zone, State: policy.State(e.State), RelativeCapacity: e.Size,
				StartedUnixMs: e.BornUnixMs,
			})
		}
	}
	f.deliver(u)
}

var errGap = errors.New("a change does not follow the last list; dialling again for the whole one")

func (s *StreamSource) follow(ctx context.Context, deliver func(Update)) error {
	dialling, cancel := context.WithTimeout(ctx, time.Duration(s.HeartbeatTimeoutMs)*time.Millisecond)
	conn, err := s.Network.Dial(dialling, netip.Addr{}, s.Address)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	end := controlstream.NewEndpointSession(controlstream.Limits{MaxFrameBytes: s.MaxFrameBytes, HandshakeTimeoutMs: s.HeartbeatTimeoutMs, HeartbeatTimeoutMs: s.HeartbeatTimeoutMs}, s.Clock.Monotonic())
	f := &follower{deliver: deliver}
	buf := make([]byte, 1<<15)
	for {
		conn.SetReadDeadline(s.Clock.Deadline(s.HeartbeatTimeoutMs))
		n, err := conn.Read(buf)
		end.Feed(s.Clock.Monotonic(), buf[:n])
		for end.Next(f) {
		}
		switch {
		case f.gap:
			return errGap
		case end.CloseCause() != nil:
			return end.CloseCause()
		case err != nil:
			return err
		}
	}
}
