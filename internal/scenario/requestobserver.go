package scenario

import (
	"net/textproto"
	"strconv"
	"strings"

	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
	"lichenpick/internal/proxy"
)

// requestObserver parses the requests and responses on a connection from a proxy to a server.
type requestObserver struct {
	recorder  *recorder
	server    string
	classes   map[string]int // index of each traffic class in the script, by class name
	requests  headParser
	responses headParser
	current   invariant.Attempt // latest attempt on this connection; without pipelining there is one at a time
}

var _ fake.Observer = (*requestObserver)(nil)

// ToTarget parses bytes on their way to the server.
func (o *requestObserver) ToTarget(atMs float64, data []byte) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.requests.feed(data, func(_ string, header textproto.MIMEHeader) {
		number, _ := strconv.Atoi(header.Get(proxy.AttemptHeader)) // the number is used only in the evidence of violations
		o.current = invariant.Attempt{
			ID:     header.Get(proxy.RequestHeader),
			Class:  o.classes[header.Get(proxy.ClassHeader)],
			Number: number,
			Proxy:  header.Get(proxy.ProxyHeader),
		}
		o.recorder.checker.RecordAttempt(o.server, atMs, o.current)
	})
	if o.requests.corrupt {
		o.recorder.countUnparsed(unparsedRequest)
	}
}

// FromTarget parses bytes that came from the server.
func (o *requestObserver) FromTarget(_ float64, data []byte) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	o.responses.feed(data, func(statusLine string, header textproto.MIMEHeader) {
		unprocessed := strings.Contains(statusLine, " 503 ") && header.Get(proxy.ProcessedHeader) == "no"
		o.recorder.checker.RecordResponse(o.server, o.current, unprocessed)
	})
	if o.responses.corrupt {
		o.recorder.countUnparsed(unparsedResponse)
	}
}

// Delivered does nothing: requests and responses are recorded when the relay receives them.
func (o *requestObserver) Delivered(float64, int) {}

// Closed does nothing: connections of proxies to servers may end at any time.
func (o *requestObserver) Closed(float64) {}
