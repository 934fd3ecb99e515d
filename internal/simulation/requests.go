package simulation

import (
	"math"

	"lichenpick/internal/fake"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

const (
	// requestDelayMs is the one-way delay between proxy and server, assumed as for a loopback interface.
	requestDelayMs = 0.3
	// minAttemptMs is the shortest timeout of an attempt, in ms.
	minAttemptMs = 1.0
	// minRateFactor replaces a rate factor of 0, with which the next request would never be due.
	minRateFactor = 1e-3
	// retryDeadlineFraction is the fraction of a request's deadline after which its client sends no more retries.
	retryDeadlineFraction = 0.8
)

// clientRequest is one request of a client, including all its retries.
type clientRequest struct {
	class     int
	startMs   float64
	second    int // second of the load in which the request was due, from 0
	timesSent int // number of times that the request was sent to a proxy
	backoffMs float64
}

// scheduleRequest schedules the next request at a random time. That request schedules the one after it, until the end of the
// load.
func (f *fleet) scheduleRequest(loadStartMs, loadEndMs float64) {
	rate := settings.PerSecond(f.script.Traffic.Rate) * math.Max(f.rateFactor, minRateFactor)
	f.After(f.random.ExpFloat64()/rate*1000, func() {
		if f.NowMs() >= loadEndMs {
			return
		}
		class := f.drawClass()
		proxy := f.drawProxy()
		f.sendRequest(proxy, &clientRequest{
			class:     class,
			startMs:   f.NowMs(),
			second:    int((f.NowMs() - loadStartMs) / 1000),
			backoffMs: settings.Milliseconds(f.script.Traffic.Pause),
		})
		f.scheduleRequest(loadStartMs, loadEndMs)
	})
}

// drawClass draws a traffic class with the probabilities given by the shares.
func (f *fleet) drawClass() int {
	class := 0
	drawn := f.random.Float64()
	for class < len(f.shares)-1 && drawn >= f.shares[class] {
		drawn -= f.shares[class]
		class++
	}
	return class
}

// drawProxy draws a proxy uniformly.
func (f *fleet) drawProxy() *simulatedProxy { return f.proxies[f.random.Intn(len(f.proxies))] }

// sendRequest sends a request to a proxy, which admits or rejects it.
func (f *fleet) sendRequest(to *simulatedProxy, request *clientRequest) {
	request.timesSent++
	admitted, ok := to.core.Admit(f.NowMs(), request.class)
	if !ok {
		f.finishRequest(request, fake.Rejected)
		return
	}
	to.attempt(request, admitted)
}

// attempt starts the next attempt of an admitted request and the timeout of that attempt.
func (p *simulatedProxy) attempt(request *clientRequest, admitted *proxy.Request) {
	f := p.fleet
	address, timeoutMs, ok := p.core.Pick(f.NowMs(), admitted)
	if !ok {
		p.core.RecordNoServer(admitted)
		f.finishRequest(request, fake.NoServer)
		return
	}
	startMs := f.NowMs()
	finished := false
	finish := func(outcome proxy.Outcome) {
		if finished {
			return
		}
		finished = true
		retry := p.core.FinishAttempt(f.NowMs(), admitted, address, outcome, f.NowMs()-startMs)
		switch {
		case outcome == proxy.Succeeded:
			f.finishRequest(request, fake.Succeeded)
		case retry:
			p.attempt(request, admitted)
		default:
			f.finishRequest(request, fake.Failed)
		}
	}
	f.After(math.Max(timeoutMs, minAttemptMs), func() { finish(proxy.Failed) })
	f.After(requestDelayMs, func() { f.deliver(address, finish) })
}

// deliver passes an attempt to the server at an address, and calls finish when the answer has reached the proxy.
func (f *fleet) deliver(address string, finish func(proxy.Outcome)) {
	respond := func(outcome proxy.Outcome) {
		f.After(requestDelayMs, func() { finish(outcome) })
	}
	server := f.serversByAddress[address]
	if server == nil { // no server has this address: the connection is refused
		respond(proxy.Unprocessed)
		return
	}
	workMs := fake.DrawWork(server.Settings(), server.random)
	server.Receive(&fake.Attempt{WorkMs: workMs, Finish: func(reply fake.Reply) {
		switch reply {
		case fake.ReplySucceeded:
			respond(proxy.Succeeded)
		case fake.ReplyUnprocessed:
			respond(proxy.Unprocessed)
		case fake.ReplyNone: // the timeout at the proxy ends the attempt
		}
	}})
}

// finishRequest handles the outcome of a request at its client: it schedules a retry at a random proxy if a retry is allowed,
// and otherwise records the outcome.
func (f *fleet) finishRequest(request *clientRequest, outcome fake.Outcome) {
	class := f.script.Groups[request.class]
	tookMs := f.NowMs() - request.startMs
	if f.mayRetry(request, class, outcome, tookMs) {
		waitMs := request.backoffMs * (0.5 + f.random.Float64())
		request.backoffMs *= 2
		f.After(waitMs, func() { f.sendRequest(f.drawProxy(), request) })
		return
	}
	f.result.Classes[request.class].Record(class, outcome, tookMs)
	f.result.Seconds[request.second].Record(class, outcome, tookMs)
}

// mayRetry reports whether a client retries a request that has taken tookMs so far.
func (f *fleet) mayRetry(request *clientRequest, class *pb.Group, outcome fake.Outcome, tookMs float64) bool {
	if outcome == fake.Succeeded {
		return false
	}
	safe := class.Repeat == pb.Repeat_RETRIABLE || outcome.Retryable()
	retriesLeft := request.timesSent <= int(f.script.Traffic.GetRepeats())
	timeLeft := tookMs+request.backoffMs <= retryDeadlineFraction*settings.Milliseconds(class.Expiry)
	return safe && retriesLeft && timeLeft
}
