package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits of what clients may make the proxy hold before a request is complete.
const (
	maxHeaderBytes   = 8 << 10  // of the head of a request; a short field takes some 20 times its bytes in memory
	maxRequestMemory = 64 << 20 // bytes of all request bodies together
	minBodyBuffer    = 4 << 10  // bytes that are set aside for a body first; doubled as it grows
	bodyTimeoutMs    = 10_000.0 // ms for reading the body of a request
)

// errNoRequestMemory means that the bodies of all requests together have reached maxRequestMemory.
var errNoRequestMemory = errors.New("too many request bodies are buffered")

// requestMemory is the memory for the bodies of requests, which are buffered for retries. The memory that a body takes grows with
// what has arrived of it, not with the length that its client states.
type requestMemory struct{ free *semaphore.Weighted }

func newRequestMemory() requestMemory {
	return requestMemory{free: semaphore.NewWeighted(maxRequestMemory)}
}

// requestBody is the body of a request. Its memory must be released when the request ends.
type requestBody struct {
	content []byte
	held    int64 // bytes taken from requestMemory
}

// readBody reads a body of up to maxBodyBytes, within bodyTimeoutMs. The body must be released also if there is an error.
func (p *Proxy) readBody(response http.ResponseWriter, incoming *http.Request) (body requestBody, err error) {
	if incoming.Body == http.NoBody || incoming.ContentLength == 0 {
		return body, nil
	}
	control := http.NewResponseController(response)
	if err := control.SetReadDeadline(p.Clock.Deadline(bodyTimeoutMs)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return body, err
	}
	source := http.MaxBytesReader(response, incoming.Body, maxBodyBytes)
	for err == nil {
		if err = p.requestMemory.grow(&body); err != nil {
			return body, err
		}
		var count int
		count, err = source.Read(body.content[len(body.content):cap(body.content)])
		body.content = body.content[:len(body.content)+count]
	}
	if !errors.Is(err, io.EOF) {
		return body, err
	}
	// Without this, the deadline would end the request while a server works on it.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return body, err
	}
	return body, nil
}

// grow doubles the buffer of a body that is full.
func (m requestMemory) grow(body *requestBody) error {
	if len(body.content) < cap(body.content) {
		return nil
	}
	wanted := max(2*cap(body.content), minBodyBuffer)
	more := int64(wanted) - body.held
	if !m.free.TryAcquire(more) {
		return errNoRequestMemory
	}
	body.held += more
	grown := make([]byte, len(body.content), wanted)
	copy(grown, body.content)
	body.content = grown
	return nil
}

// release returns the memory of a body.
func (m requestMemory) release(body *requestBody) {
	m.free.Release(body.held)
	body.held = 0
}

// rejectBody responds to a request whose body could not be read. The connection is closed, as the rest of the body is unread.
func (p *Proxy) rejectBody(response http.ResponseWriter, cause error) {
	response.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(cause, errNoRequestMemory):
		p.reject(response, OutcomeRejected, cause.Error())
	case errors.As(cause, &tooLarge):
		rejectMalformed(response, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit), http.StatusRequestEntityTooLarge)
	case errors.Is(cause, os.ErrDeadlineExceeded):
		rejectMalformed(response, fmt.Sprintf("the body did not arrive within %.0f ms", bodyTimeoutMs), http.StatusRequestTimeout)
	default:
		rejectMalformed(response, "reading the body: "+cause.Error(), http.StatusBadRequest)
	}
}
