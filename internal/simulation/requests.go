package simulation

import (
	"math"

	"lichenpick/internal/fake"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

const (
	// requestDelayMs is how long a request or an answer takes between proxy and server; an assumption for loopback.
	requestDelayMs = 0.3
	// minAttemptMs is the least time that a proxy gives an attempt.
	minAttemptMs = 1.0
	// minRateFactor stands for a factor of 0, at which the next request would never be due.
	minRateFactor = 1e-3
	// retryDeadlineFraction is the part of a request's deadline after which its client sends no retry.
	retryDeadlineFraction = 0.8
)

// clientRequest is a request of a client, over all its retries.
type clientRequest struct {
	class     int
	startMs   float64
	second    int // of the run in which it was due, without the warm-up
	timesSent int // times that it was sent to a proxy
	backoffMs float64
}

// scheduleRequest draws the time of the next request, which then schedules the one after it, until the end of the load.
func (f *fleet) scheduleRequest(loadStartMs, loadEndMs float64) {
	rate := settings.PerSecond(f.script.Traffic.Rate) * math.Max(f.rateFactor, minRateFactor)
	f.after(f.rng.ExpFloat64()/rate*1000, func() {
		if f.nowMs >= loadEndMs {
			return
		}
		class := f.drawClass()
		proxy := f.drawProxy()
		f.sendRequest(proxy, &clientRequest{
			class:     class,
			startMs:   f.nowMs,
			second:    int((f.nowMs - loadStartMs) / 1000),
			backoffMs: settings.Milliseconds(f.script.Traffic.Pause),
		})
		f.scheduleRequest(loadStartMs, loadEndMs)
	})
}

// drawClass draws a traffic class by the shares.
func (f *fleet) drawClass() int {
	class := 0
	drawn := f.rng.Float64()
	for class < len(f.shares)-1 && drawn >= f.shares[class] {
		drawn -= f.shares[class]
		class++
	}
	return class
}

// drawProxy draws a proxy, all evenly.
func (f *fleet) drawProxy() *simulatedProxy { return f.proxies[f.rng.Intn(len(f.proxies))] }

// sendRequest sends a request to a proxy.
func (f *fleet) sendRequest(to *simulatedProxy, request *clientRequest) {
	request.timesSent++
	admitted, ok := to.core.Admit(f.nowMs, request.class)
	if !ok {
		f.finishRequest(request, fake.Rejected)
		return
	}
	to.attempt(request, admitted)
}

// attempt makes the next attempt of a request that was admitted.
func (p *simulatedProxy) attempt(request *clientRequest, admitted *proxy.Request) {
	f := p.fleet
	address, timeoutMs, ok := p.core.Pick(f.nowMs, admitted)
	if !ok {
		p.core.RecordNoServer(admitted)
		f.finishRequest(request, fake.NoServer)
		return
	}
	startMs := f.nowMs
	finished := false
	finish := func(outcome proxy.Outcome) {
		if finished {
			return
		}
		finished = true
		retry := p.core.FinishAttempt(f.nowMs, admitted, address, outcome, f.nowMs-startMs)
		switch {
		case outcome == proxy.Succeeded:
			f.finishRequest(request, fake.Succeeded)
		case retry:
			p.attempt(request, admitted)
		default:
			f.finishRequest(request, fake.Failed)
		}
	}
	f.after(math.Max(timeoutMs, minAttemptMs), func() { finish(proxy.Failed) })
	f.after(requestDelayMs, func() { f.deliver(address, finish) })
}

// deliver has an attempt arrive at a server; finish is called when the answer is back at the proxy.
func (f *fleet) deliver(address string, finish func(proxy.Outcome)) {
	respond := func(outcome proxy.Outcome) {
		f.after(requestDelayMs, func() { finish(outcome) })
	}
	server := f.serversByAddress[address]
	if server == nil { // connections are refused
		respond(proxy.Unprocessed)
		return
	}
	server.receive(&attempt{finish: func(reply serverReply) {
		switch reply {
		case replySucceeded:
			respond(proxy.Succeeded)
		case replyUnprocessed:
			respond(proxy.Unprocessed)
		case replyNone: // the proxy's own timeout ends the attempt
		}
	}})
}

// finishRequest ends a request at its client, which sends it to another proxy where it may.
func (f *fleet) finishRequest(request *clientRequest, outcome fake.Outcome) {
	class := f.script.Groups[request.class]
	tookMs := f.nowMs - request.startMs
	if f.mayRetry(request, class, outcome, tookMs) {
		waitMs := request.backoffMs * (0.5 + f.rng.Float64())
		request.backoffMs *= 2
		f.after(waitMs, func() { f.sendRequest(f.drawProxy(), request) })
		return
	}
	f.result.Classes[request.class].Record(class, outcome, tookMs)
	f.result.Seconds[request.second].Record(class, outcome, tookMs)
}

// mayRetry reports whether a client sends a request again that took a time so far.
func (f *fleet) mayRetry(request *clientRequest, class *pb.Group, outcome fake.Outcome, tookMs float64) bool {
	if outcome == fake.Succeeded {
		return false
	}
	safe := class.Repeat == pb.Repeat_RETRIABLE || outcome.Retryable()
	retriesLeft := request.timesSent <= int(f.script.Traffic.GetRepeats())
	timeLeft := tookMs+request.backoffMs <= retryDeadlineFraction*settings.Milliseconds(class.Expiry)
	return safe && retriesLeft && timeLeft
}
