package scenario

import (
	"bufio"
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/invariant"
	"lichenpick/internal/proxy"
	"lichenpick/proto/order"
)

// judge lets watches of many connections tell one checker, in turn.
type judge struct {
	mu      sync.Mutex
	checker *invariant.Checker
	toMono  func(unixUs uint64) float64
	up      int            // bytes that proxies sent to planners
	down    int            // and these to them
	odd     map[string]int // what could not be read from a socket, by kind
}

func (j *judge) strange(what string) { j.odd[what]++ }

// streamWatch reads a proxy's stream to a planner.
type streamWatch struct {
	j            *judge
	planner      string
	up, down     *controlstream.Decoder
	proxy        string
	passed       int // bytes that came from the planner
	reached      int // and went out to the proxy
	undelivered  []undelivered
	broken, over bool
}

type undelivered struct {
	end     int
	welcome *order.Welcome
	orders  *order.Orders
}

const watchedFrame = 32 << 20 // bytes; no limit of either end is larger

func newStreamWatch(j *judge, planner string) *streamWatch {
	return &streamWatch{j: j, planner: planner, up: controlstream.NewDecoder(watchedFrame), down: controlstream.NewDecoder(watchedFrame)}
}

func (w *streamWatch) ToTarget(at float64, p []byte) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	w.j.up += len(p)
	w.up.Feed(p)
	for {
		f, ok, err := w.up.Next()
		if err != nil && !w.broken {
			w.broken = true
			w.j.strange("frame to a planner")
		}
		if !ok {
			return
		}
		if f.Kind == controlstream.FrameJoin {
			var m order.Join
			if proto.Unmarshal(f.Body, &m) == nil {
				w.proxy = m.Proxy
				w.j.checker.RecordJoin(m.Proxy, w.planner, at, &m)
			}
		}
		if f.Kind == controlstream.FrameLease {
			var m order.Lease
			if proto.Unmarshal(f.Body, &m) == nil {
				w.j.checker.RecordLease(w.proxy, w.planner, at, &m)
			}
		}
		if f.Kind == controlstream.FrameAck {
			var m order.Applied
			if proto.Unmarshal(f.Body, &m) == nil {
				w.j.checker.RecordAck(w.proxy, w.planner, at, &m)
			}
		}
	}
}

func (w *streamWatch) FromTarget(at float64, p []byte) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	before := w.passed
	w.passed += len(p)
	w.j.down += len(p)
	held := w.down.Buffered()
	w.down.Feed(p)
	end := before - held
	for {
		f, ok, err := w.down.Next()
		if err != nil && !w.broken {
			w.broken = true
			w.j.strange("frame to a proxy")
		}
		if !ok {
			return
		}
		end += 20 + len(f.Body)
		switch f.Kind {
		case controlstream.FrameWelcome:
			m := &order.Welcome{}
			if proto.Unmarshal(f.Body, m) == nil {
				w.undelivered = append(w.undelivered, undelivered{end: end, welcome: m})
			}
		case controlstream.FrameOrders:
			m := &order.Orders{}
			if proto.Unmarshal(f.Body, m) == nil {
				w.undelivered = append(w.undelivered, undelivered{end: end, orders: m})
				w.j.checker.RecordSend(w.proxy, w.planner, at, w.j.toMono(m.DecidedUnixUs), m)
			}
		}
	}
}

func (w *streamWatch) Delivered(at float64, n int) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	w.reached += n
	w.j.checker.RecordFrame(w.proxy, w.planner, at)
	for len(w.undelivered) > 0 && w.undelivered[0].end <= w.reached {
		u := w.undelivered[0]
		w.undelivered = w.undelivered[1:]
		if u.welcome != nil {
			w.j.checker.RecordWelcome(w.proxy, at, u.welcome)
		} else {
			w.j.checker.RecordDelivery(w.proxy, w.planner, at, w.j.toMono(u.orders.DecidedUnixUs), u.orders)
		}
	}
}

func (w *streamWatch) Closed(at float64) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	if w.proxy != "" && !w.over {
		w.over = true
		w.j.checker.RecordDisconnect(w.proxy, w.planner, at)
	}
}

// listWatch reads the list on its way to a planner, which is the one that dials.
type listWatch struct {
	j       *judge
	planner string
	down    *controlstream.Decoder
}

func (w *listWatch) ToTarget(float64, []byte) {}

func (w *listWatch) FromTarget(at float64, p []byte) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	w.down.Feed(p)
	for {
		f, ok, err := w.down.Next()
		if err != nil {
			w.j.strange("frame of the list")
		}
		if !ok {
			return
		}
		m := &order.Listing{}
		if f.Kind == controlstream.FrameEndpoints && proto.Unmarshal(f.Body, m) == nil {
			w.j.checker.RecordEndpoints(w.planner, at, m)
		}
	}
}

func (w *listWatch) Delivered(float64, int) {}
func (w *listWatch) Closed(float64)         {}

// heads cuts an HTTP/1.1 direction into heads. Bodies have a stated length, as both ends here send them so.
type heads struct {
	buf  []byte
	skip int
	bad  bool
}

func (h *heads) feed(p []byte, tell func(first string, header textproto.MIMEHeader)) {
	if h.bad {
		return
	}
	h.buf = append(h.buf, p...)
	for len(h.buf) > 0 {
		n := min(h.skip, len(h.buf))
		h.buf, h.skip = h.buf[n:], h.skip-n
		end := bytes.Index(h.buf, []byte("\r\n\r\n"))
		if h.skip > 0 || end < 0 {
			h.bad = len(h.buf) > 1<<16
			return
		}
		head := h.buf[:end+4]
		h.buf = h.buf[end+4:]
		r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
		first, err := r.ReadLine()
		header, err2 := r.ReadMIMEHeader()
		if err != nil || err2 != nil || header.Get("Transfer-Encoding") != "" {
			h.bad = true
			return
		}
		h.skip, _ = strconv.Atoi(header.Get("Content-Length"))
		tell(first, header)
	}
}

// flowWatch reads flows on their way to a server.
type flowWatch struct {
	j        *judge
	server   string
	groups   map[string]int
	up, down heads
	now      invariant.Attempt
}

func (w *flowWatch) ToTarget(at float64, p []byte) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	w.up.feed(p, func(_ string, h textproto.MIMEHeader) {
		try, _ := strconv.Atoi(h.Get(proxy.AttemptHeader))
		w.now = invariant.Attempt{ID: h.Get(proxy.RequestHeader), Class: w.groups[h.Get(proxy.ClassHeader)], Number: try, Proxy: h.Get(proxy.ProxyHeader)}
		w.j.checker.RecordAttempt(w.server, at, w.now)
	})
	if w.up.bad {
		w.j.strange("flow to a server")
	}
}

func (w *flowWatch) FromTarget(at float64, p []byte) {
	w.j.mu.Lock()
	defer w.j.mu.Unlock()
	w.down.feed(p, func(first string, h textproto.MIMEHeader) {
		unrun := strings.Contains(first, " 503 ") && h.Get(proxy.ProcessedHeader) == "no"
		w.j.checker.RecordAnswer(w.server, w.now, unrun)
	})
	if w.down.bad {
		w.j.strange("answer of a server")
	}
}

func (w *flowWatch) Delivered(float64, int) {}
func (w *flowWatch) Closed(float64)         {}
