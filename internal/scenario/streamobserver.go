package scenario

import (
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/fake"
	"lichenpick/proto/order"
)

// maxObservedFrameBytes is the maximum size of the frames that observers parse. It is not smaller than the limits of proxies
// and planners.
const maxObservedFrameBytes = 32 << 20

// streamObserver parses a control stream that a proxy has opened to a planner.
type streamObserver struct {
	recorder  *recorder
	planner   string
	proxy     string // name of the proxy, from its join; empty: no join received yet
	toPlanner *controlstream.Decoder
	toProxy   *controlstream.Decoder

	receivedBytes  int // number of bytes received from the planner
	deliveredBytes int // number of bytes from the planner that have reached the proxy
	undelivered    []undeliveredMessage

	corrupt bool // a frame could not be parsed
	closed  bool
}

var _ fake.Observer = (*streamObserver)(nil)

// undeliveredMessage is a message of a planner that has not completely reached the proxy. Either welcome or orders is nil.
type undeliveredMessage struct {
	endBytes int // offset in the stream after the last byte of the message
	welcome  *order.Welcome
	orders   *order.Orders
}

// newStreamObserver returns the observer of a new stream.
func newStreamObserver(recorder *recorder, planner string) *streamObserver {
	return &streamObserver{
		recorder:  recorder,
		planner:   planner,
		toPlanner: controlstream.NewDecoder(maxObservedFrameBytes),
		toProxy:   controlstream.NewDecoder(maxObservedFrameBytes),
	}
}

// ToTarget parses bytes on their way to the planner.
func (o *streamObserver) ToTarget(atMs float64, data []byte) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.recorder.bytesUp += len(data)
	o.toPlanner.Feed(data)
	for {
		frame, complete, err := o.toPlanner.Next()
		o.checkCorrupt(err, unparsedPlannerFrame)
		if !complete {
			return
		}
		o.recordProxyFrame(atMs, frame)
	}
}

// recordProxyFrame records a frame that a proxy sent.
func (o *streamObserver) recordProxyFrame(atMs float64, frame controlstream.Frame) {
	checker := o.recorder.checker
	switch frame.Kind {
	case controlstream.FrameJoin:
		join := &order.Join{}
		if proto.Unmarshal(frame.Body, join) == nil {
			o.proxy = join.Proxy
			checker.RecordJoin(join.Proxy, o.planner, atMs, join)
		}
	case controlstream.FrameLease:
		lease := &order.Lease{}
		if proto.Unmarshal(frame.Body, lease) == nil {
			checker.RecordLease(o.proxy, o.planner, atMs, lease)
		}
	case controlstream.FrameAck:
		ack := &order.Applied{}
		if proto.Unmarshal(frame.Body, ack) == nil {
			checker.RecordAck(o.proxy, o.planner, atMs, ack)
		}
	}
}

// FromTarget parses bytes that came from the planner. The method Delivered records the messages when they reach the proxy.
func (o *streamObserver) FromTarget(atMs float64, data []byte) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.recorder.bytesDown += len(data)
	endBytes := o.receivedBytes - o.toProxy.Buffered() // offset in the stream after the last complete frame
	o.receivedBytes += len(data)
	o.toProxy.Feed(data)
	for {
		frame, complete, err := o.toProxy.Next()
		o.checkCorrupt(err, unparsedProxyFrame)
		if !complete {
			return
		}
		endBytes += controlstream.FrameHeaderBytes + len(frame.Body)
		o.recordPlannerFrame(atMs, frame, endBytes)
	}
}

// recordPlannerFrame records a frame that a planner sent; endBytes is the offset in the stream after the frame.
func (o *streamObserver) recordPlannerFrame(atMs float64, frame controlstream.Frame, endBytes int) {
	switch frame.Kind {
	case controlstream.FrameWelcome:
		welcome := &order.Welcome{}
		if proto.Unmarshal(frame.Body, welcome) == nil {
			o.undelivered = append(o.undelivered, undeliveredMessage{endBytes: endBytes, welcome: welcome})
		}
	case controlstream.FrameOrders:
		orders := &order.Orders{}
		if proto.Unmarshal(frame.Body, orders) == nil {
			o.undelivered = append(o.undelivered, undeliveredMessage{endBytes: endBytes, orders: orders})
			decidedMs := o.recorder.monotonicMs(orders.DecidedUnixUs)
			o.recorder.checker.RecordSend(o.proxy, o.planner, atMs, decidedMs, orders)
		}
	}
}

// Delivered records the messages that have completely reached the proxy.
func (o *streamObserver) Delivered(atMs float64, count int) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.deliveredBytes += count
	checker := o.recorder.checker
	checker.RecordFrame(o.proxy, o.planner, atMs)
	for len(o.undelivered) > 0 && o.undelivered[0].endBytes <= o.deliveredBytes {
		message := o.undelivered[0]
		o.undelivered = o.undelivered[1:]
		if message.welcome != nil {
			checker.RecordWelcome(o.proxy, atMs, message.welcome)
			continue
		}
		decidedMs := o.recorder.monotonicMs(message.orders.DecidedUnixUs)
		checker.RecordDelivery(o.proxy, o.planner, atMs, decidedMs, message.orders)
	}
}

// Closed records that the stream ended.
func (o *streamObserver) Closed(atMs float64) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	if o.proxy != "" && !o.closed {
		o.closed = true
		o.recorder.checker.RecordDisconnect(o.proxy, o.planner, atMs)
	}
}

// checkCorrupt counts the first parse error of the stream.
func (o *streamObserver) checkCorrupt(err error, kind string) {
	if err != nil && !o.corrupt {
		o.corrupt = true
		o.recorder.countUnparsed(kind)
	}
}

// endpointObserver parses a stream that a planner has opened to the registry to receive the endpoint list.
type endpointObserver struct {
	recorder *recorder
	planner  string
	decoder  *controlstream.Decoder
}

var _ fake.Observer = (*endpointObserver)(nil)

// ToTarget ignores what the planner sends.
func (o *endpointObserver) ToTarget(float64, []byte) {}

// FromTarget parses bytes on their way to the planner.
func (o *endpointObserver) FromTarget(atMs float64, data []byte) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.decoder.Feed(data)
	for {
		frame, complete, err := o.decoder.Next()
		if err != nil {
			o.recorder.countUnparsed(unparsedEndpointFrame)
		}
		if !complete {
			return
		}
		listing := &order.Listing{}
		if frame.Kind == controlstream.FrameEndpoints && proto.Unmarshal(frame.Body, listing) == nil {
			o.recorder.checker.RecordEndpoints(o.planner, atMs, listing)
		}
	}
}

// Delivered does nothing: a list is recorded when the relay receives it.
func (o *endpointObserver) Delivered(float64, int) {}

// Closed does nothing: a planner keeps its list when the stream ends.
func (o *endpointObserver) Closed(float64) {}
