package proxy

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// Faults of a planner's messages that end its stream.
var (
	errSharingMismatch     = errors.New("'sharing' is set at one side only")
	errForeignLeaseRequest = errors.New("a lease request in another controller's name")
)

// session is one stream to a planner, as its controlstream.ProxyHost. Its fields below the outbox are guarded by the client's
// lock, but for fault, which only the reading goroutine uses.
type session struct {
	client       *ControlClient
	outbox       chan queuedFrame
	overflowed   chan struct{} // closed when the outbox was full
	overflowOnce sync.Once

	joined         bool
	controller     string
	incarnation    uint64
	takesLeases    bool    // whether the controller says so
	lastReceivedMs float64 // when bytes last came
	protocolErr    error   // of the planner; ends the stream
}

// queuedFrame is a frame that waits to be sent; a nil body is none.
type queuedFrame struct {
	kind controlstream.FrameKind
	body proto.Message
}

func newSession(client *ControlClient) *session {
	return &session{client: client, outbox: make(chan queuedFrame, maxOutboxFrames), overflowed: make(chan struct{})}
}

// send queues a frame. It never waits, as the client's lock is held: a planner that does not read must not hold up requests.
// When the outbox is full the stream ends.
func (s *session) send(kind controlstream.FrameKind, body proto.Message) {
	select {
	case s.outbox <- queuedFrame{kind: kind, body: body}:
	default:
		s.overflowOnce.Do(func() { close(s.overflowed) })
	}
}

// isHolder says whether this session's controller holds the lease. The client's lock must be held.
func (s *session) isHolder() bool { return s.client.core.isHolder(s.controller, s.incarnation) }

// recordActivity notes that the planner sent something, also less than a frame.
func (s *session) recordActivity() {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	s.lastReceivedMs = client.Clock.Monotonic()
	if s.joined && s.isHolder() {
		client.lastHolder.lastReceivedMs = s.lastReceivedMs
	}
}

// OnWelcome starts the session, unless the planner and the proxy disagree on sharing the fleet.
func (s *session) OnWelcome(welcome *order.Welcome) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	if welcome.Sharing != client.Settings.Sharing {
		s.protocolErr = errSharingMismatch
		return
	}
	s.joined = true
	s.controller = welcome.Planner
	s.incarnation = welcome.Incarnation
	if !client.Settings.Sharing {
		client.core.StartSession(welcome)
		s.send(controlstream.FrameAck, &order.Applied{})
		return
	}
	s.takesLeases = true
	client.sessions = append(client.sessions, s)
	client.announceLease(nil)
}

// OnOrders applies a message and acknowledges it, or rejects it if its sender does not hold the lease under its epoch.
func (s *session) OnOrders(message *order.Orders) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	nowMs := client.Clock.Monotonic()
	client.core.RecordOrders(nowMs)
	if client.Settings.Sharing && !client.core.AcceptsOrders(nowMs, s.controller, message) && !client.DisableFencing {
		s.send(controlstream.FrameAck, &order.Applied{Number: message.Number, Refused: true, Epoch: client.core.grantor.Epoch})
		return
	}
	acknowledgements := client.core.ApplyOrders(message)
	if client.OnOrders != nil {
		client.OnOrders(message)
	}
	if client.afterOrders != nil {
		client.afterOrders()
	}
	s.send(controlstream.FrameAck, &order.Applied{
		Number: message.Number, Receipts: acknowledgements, Epoch: client.core.grantor.Epoch,
	})
}

// OnLeaseRequest answers a request for the lease, and announces a change of its holder to the others.
func (s *session) OnLeaseRequest(request *order.Claim) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	if !client.Settings.Sharing || request.Controller != s.controller || request.Incarnation != s.incarnation {
		s.protocolErr = errForeignLeaseRequest
		return
	}
	nowMs := client.Clock.Monotonic()
	previous := client.core.grantor.Controller
	granted, newlyGranted := client.core.HandleLeaseRequest(nowMs, request)
	if newlyGranted {
		s.recordTakeover(nowMs)
	}
	state := client.leaseState(nowMs, newlyGranted)
	state.Nonce = request.Nonce
	state.Granted = granted
	s.send(controlstream.FrameLease, state)
	if previous != client.core.grantor.Controller {
		client.announceLease(s)
	}
}

// recordTakeover notes that this session's controller got the lease. The client's lock must be held.
func (s *session) recordTakeover(nowMs float64) {
	client := s.client
	last := client.lastHolder
	holderChanged := last.controller != s.controller || last.incarnation != s.incarnation
	if client.OnTakeover != nil && last.lastReceivedMs > 0 && holderChanged {
		client.OnTakeover(nowMs - last.lastReceivedMs)
	}
	client.lastHolder = leaseHolder{controller: s.controller, incarnation: s.incarnation, lastReceivedMs: nowMs}
}

// OnLeaseRelease frees the lease if its holder gives it back.
func (s *session) OnLeaseRelease(release *order.Release) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	client.core.grantor.SetTime(client.Clock.Monotonic())
	if client.core.grantor.Release(s.controller, s.incarnation, release.Epoch) {
		client.announceLease(nil)
	}
}

// OnControllerStatus notes whether the controller takes leases, and announces a change to all.
func (s *session) OnControllerStatus(status *order.Standing) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	if s.takesLeases != status.Open {
		s.takesLeases = status.Open
		client.announceLease(nil)
	}
}
