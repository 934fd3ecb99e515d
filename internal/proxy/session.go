package proxy

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// Protocol violations of a planner that end its stream.
var (
	errSharingMismatch     = errors.New("'sharing' is set on only one of proxy and planner")
	errForeignLeaseRequest = errors.New("invalid lease request: sharing is off, or it names another controller or process")
)

// session is the state of one stream to a planner and its controlstream.ProxyHost. The fields from joined on are guarded by
// the client's mutex, except for protocolErr, which only the reading goroutine uses.
type session struct {
	client       *ControlClient
	outbox       chan queuedFrame
	overflowed   chan struct{} // closed when a frame did not fit into the outbox
	overflowOnce sync.Once

	joined         bool // whether the planner has welcomed the proxy
	controller     string
	incarnation    uint64
	takesLeases    bool    // whether the controller last stated that it accepts leases
	lastReceivedMs float64 // time in ms at which bytes were last received from the planner
	protocolErr    error   // protocol violation by the planner, which ends the stream
}

// queuedFrame is a frame to be sent. A nil body is sent as an empty body.
type queuedFrame struct {
	kind controlstream.FrameKind
	body proto.Message
}

func newSession(client *ControlClient) *session {
	return &session{client: client, outbox: make(chan queuedFrame, maxOutboxFrames), overflowed: make(chan struct{})}
}

// send queues a frame. If the outbox is full, it ends the stream instead of blocking: callers hold the client's mutex, so
// blocking on a slow planner would block all requests of the proxy.
func (s *session) send(kind controlstream.FrameKind, body proto.Message) {
	select {
	case s.outbox <- queuedFrame{kind: kind, body: body}:
	default:
		s.overflowOnce.Do(func() { close(s.overflowed) })
	}
}

// isHolder reports whether this session's controller holds the lease. The client's mutex must be held.
func (s *session) isHolder() bool { return s.client.core.isHolder(s.controller, s.incarnation) }

// recordActivity records that bytes were received from the planner, even if they are only a part of a frame.
func (s *session) recordActivity() {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	s.lastReceivedMs = client.Clock.Monotonic()
	if s.joined && s.isHolder() {
		client.lastHolder.lastReceivedMs = s.lastReceivedMs
	}
}

// OnWelcome starts the session. It ends the stream if only one of planner and proxy is set to share the fleet.
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

// OnOrders applies a message and acknowledges it. Where several controllers share the fleet and the sender does not hold the
// lease under the message's epoch, OnOrders does not apply the message and states in the acknowledgement that it was rejected.
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

// OnLeaseRequest responds to a request for the lease. If the lease holder changes, OnLeaseRequest announces the new lease
// state to the other controllers.
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

// recordTakeover records that this session's controller was newly granted the lease. The client's mutex must be held.
func (s *session) recordTakeover(nowMs float64) {
	client := s.client
	last := client.lastHolder
	holderChanged := last.controller != s.controller || last.incarnation != s.incarnation
	if client.OnTakeover != nil && last.lastReceivedMs > 0 && holderChanged {
		client.OnTakeover(nowMs - last.lastReceivedMs)
	}
	client.lastHolder = leaseHolder{controller: s.controller, incarnation: s.incarnation, lastReceivedMs: nowMs}
}

// OnLeaseRelease ends the lease and announces the new lease state to all controllers. It does nothing unless the sender holds
// the lease under the stated epoch.
func (s *session) OnLeaseRelease(release *order.Release) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	client.core.grantor.SetTime(client.Clock.Monotonic())
	if client.core.grantor.Release(s.controller, s.incarnation, release.Epoch) {
		client.announceLease(nil)
	}
}

// OnControllerStatus records whether the controller accepts leases. If this has changed, OnControllerStatus sends the lease
// state, which lists the reachable controllers, to all controllers.
func (s *session) OnControllerStatus(status *order.Standing) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	if s.takesLeases != status.Open {
		s.takesLeases = status.Open
		client.announceLease(nil)
	}
}
