package fakeplatform

import (
	"lichenpick/internal/fake"
	"lichenpick/policy"
)

const (
	firstBackoffMs = 100.0 // of a client that comes again; doubled each time
	minTryShare    = 0.4   // least share of the deadline after which a client gives a try up
	workSpread     = 0.75  // part of the work of a request that is exponentially distributed
)

// Tally counts requests of clients by their outcome.
type Tally struct {
	Requests int // all, not counting the times that a client came again
	InTime   int // answered within the latency objective
	Late     int // answered before the client gave up
	Rejected int // rejected at last
	Failed   int // failed at last, or given up
	NoServer int // attempts that found no server to pick
	Attempts int
}

// request is a request of a client with all the times that the client came again.
type request struct {
	class     int
	proxy     *proxy
	startMs   float64
	tries     int
	point     float64 // where the request stands among those that an admission rate admits, from 0 to 1
	backoffMs float64
	tryShare  float64
	done      bool
}

// requestRate returns the requests per second of all clients, without those that come again.
func (p *Platform) requestRate() float64 {
	capacity := 0.0
	for _, server := range p.servers {
		capacity += server.fullCapacity()
	}
	work := 0.0
	for _, class := range p.config.Classes {
		work += class.Share * class.WorkMs
	}
	return p.config.Load * capacity / work
}

func (p *Platform) scheduleRequest() {
	p.After(p.random.ExpFloat64()/p.requestRate()*millisecondsPerSecond, func() {
		class := 0
		drawn := p.random.Float64()
		for class < len(p.config.Classes)-1 && drawn >= p.config.Classes[class].Share {
			drawn -= p.config.Classes[class].Share
			class++
		}
		p.Tally.Requests++
		p.send(&request{
			class:     class,
			proxy:     p.drawProxy(),
			startMs:   p.NowMs(),
			point:     p.random.Float64(),
			backoffMs: firstBackoffMs,
			tryShare:  minTryShare + (1-minTryShare)*p.random.Float64(),
		})
		p.scheduleRequest()
	})
}

func (p *Platform) drawProxy() *proxy {
	for {
		drawn := p.proxies[p.random.Intn(len(p.proxies))]
		if p.random.Float64() < drawn.share/2 {
			return drawn
		}
	}
}

// send sends a request to its proxy, which admits or rejects it.
func (p *Platform) send(r *request) {
	r.tries++
	r.proxy.received[r.class]++
	if r.point >= r.proxy.admission[r.class] {
		p.finish(r, outcomeRejected)
		return
	}
	try := r.tries
	p.After(r.tryShare*p.config.Classes[r.class].DeadlineMs, func() {
		if !r.done && r.tries == try {
			r.proxy.failed[r.class]++
			p.finish(r, outcomeTimedOut)
		}
	})
	p.attempt(r, nil)
}

// attempt sends an attempt to a server other than the given one.
func (p *Platform) attempt(r *request, except *server) {
	x := r.proxy
	server := x.pick(r.class, except)
	if server == nil {
		p.Tally.NoServer++
		x.checkUnserved(r.class)
		x.failed[r.class]++
		p.finish(r, outcomeRejected)
		return
	}
	p.Tally.Attempts++
	x.checkDrain(server)
	startMs := p.NowMs()
	try := r.tries
	informed := x.informed(server)
	if used, open := x.idleMs[server.name]; !open || startMs-used > idleTimeoutMs {
		server.recordHandshake(informed)
	}
	x.idleMs[server.name] = startMs
	ended := false
	end := func(reply fake.Reply) {
		if ended {
			return
		}
		ended = true
		x.slot.record(p, x, server, reply == fake.ReplySucceeded, p.NowMs()-startMs)
		if r.done || r.tries != try {
			return // the client has given the try up
		}
		switch {
		case reply == fake.ReplySucceeded:
			p.finish(r, outcomeSucceeded)
		case reply == fake.ReplyUnprocessed && except == nil && x.retry[r.class] >= policy.RetryUnprocessed:
			p.attempt(r, server)
		default:
			x.failed[r.class]++
			p.finish(r, outcomeTimedOut)
		}
	}
	p.After(r.startMs+p.config.Classes[r.class].DeadlineMs-startMs, func() { end(fake.ReplyNone) })
	work := p.config.Classes[r.class].WorkMs * (1 - workSpread + workSpread*p.random.ExpFloat64())
	p.After(requestDelayMs, func() {
		server.receive(&fake.Attempt{WorkMs: work, Finish: func(reply fake.Reply) {
			if reply != fake.ReplyNone {
				p.After(requestDelayMs, func() { end(reply) })
			}
		}}, informed)
	})
}

// outcome is how a try of a client ended.
type outcome int

const (
	outcomeSucceeded outcome = iota
	outcomeRejected          // rejected, with no effect
	outcomeTimedOut          // no answer, or a failure that may have had an effect
)

// finish ends a try. The client comes again if it may.
func (p *Platform) finish(r *request, ended outcome) {
	class := p.config.Classes[r.class]
	tookMs := p.NowMs() - r.startMs
	if ended == outcomeSucceeded {
		r.done = true
		if tookMs <= class.ObjectiveMs {
			p.Tally.InTime++
		} else {
			p.Tally.Late++
		}
		return
	}
	mayRepeat := ended == outcomeRejected || class.Repeat == "read_like"
	if mayRepeat && r.tries <= p.config.ClientRetries && tookMs+r.backoffMs < class.DeadlineMs {
		r.tries++ // what is under way of this try no longer counts
		waitMs := r.backoffMs * (0.5 + p.random.Float64())
		r.backoffMs *= 2
		p.After(waitMs, func() {
			r.tries--
			p.send(r)
		})
		return
	}
	r.done = true
	if ended == outcomeRejected {
		p.Tally.Rejected++
	} else {
		p.Tally.Failed++
	}
}
