package platform_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"

	"lichenpick/internal/golden"
	"lichenpick/internal/platform"
	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// peer is the remote end of one connection.
type peer struct {
	conn             *platform.Connection
	number           int    // position in peerSimulation.peers
	proxy            int    // id of the proxy that the peer joined as, or -1
	zone             string // zone of a proxy or collector
	unsent           []byte // bytes that the peer has yet to write
	closed           bool
	silent           bool // the peer sends nothing
	acknowledgements []delayedAcknowledgement
}

// delayedAcknowledgement is an acknowledgement that a peer sends at a later time.
type delayedAcknowledgement struct {
	atMs   float64
	number int
}

// peerSimulation simulates all peers of one core, and records what the core sends and which connections it closes.
type peerSimulation struct {
	core        *platform.Core
	random      *rand.Rand // used by the simulated peers only
	atMs        float64    // ms since the start
	peers       []*peer    // in the order of opening their connections
	byConn      map[*platform.Connection]*peer
	proxies     [digestProxies]*peer // latest stream of each proxy
	digest      *golden.Digest
	closeEvents []string // events recorded during Core.Close, which emits them in no defined order
	closing     bool

	ejections, readmissions, admissionCuts, replaced, sheds, rejected int
}

func newPeerSimulation(t *testing.T, seed int64) *peerSimulation {
	t.Helper()
	site, err := simulator.ReadSettings([]byte(digestSettings))
	if err != nil {
		t.Fatal(err)
	}
	if seed == slowChannelSeed {
		site.Policy.EntriesPerSecond = slowChannelRate
		site.Policy.MaxBacklog = slowChannelBacklog
	}
	c := &peerSimulation{
		core:   platform.NewCore(site, seed, digestOriginMs),
		random: rand.New(rand.NewSource(seed)),
		byConn: map[*platform.Connection]*peer{},
		digest: golden.NewDigest(fmt.Sprintf("seed=%d", seed), digestIntervalMs),
	}
	if seed%2 == 0 {
		c.core.MaxPartialBytes = partialLimitBytes
	}
	c.core.OnReject = func(error, []byte) { c.rejected++ }
	c.core.UpdateEndpoints(policy.RestoredUpdate, digestEndpoints())
	return c
}

func digestEndpoints() []policy.Endpoint {
	var endpoints []policy.Endpoint
	for index := range digestServers {
		endpoints = append(endpoints, policy.Endpoint{Server: fmt.Sprint("s-", index), Zone: index % 2, RelativeCapacity: 1})
	}
	return endpoints
}

func (c *peerSimulation) record(format string, args ...any) {
	event := fmt.Sprintf(format, args...)
	if c.closing {
		c.closeEvents = append(c.closeEvents, event)
		return
	}
	c.digest.Add(c.atMs, "%s", event)
}

func (c *peerSimulation) Send(conn *platform.Connection, message []byte) {
	p := c.byConn[conn]
	c.record("send %d %q", p.number, message)
	for line := range strings.SplitSeq(string(message), lineEnd) {
		c.handleLine(p, line)
	}
}

// handleLine handles a line as a proxy does. It acknowledges updates that request an acknowledgement, some of them late, and
// leaves out a few acknowledgements at random.
func (c *peerSimulation) handleLine(p *peer, line string) {
	c.ejections += strings.Count(line, " drop=")
	c.readmissions += strings.Count(line, " undrop=")
	c.admissionCuts += strings.Count(line, " gate=0.")
	_, stamp, found := strings.Cut(line, " stamp=")
	if !found || c.random.Float64() < 0.05 {
		return
	}
	stamp, _, _ = strings.Cut(stamp, " ")
	number, err := strconv.Atoi(stamp)
	if err != nil {
		panic("request for an acknowledgement without a number: " + line)
	}
	delayMs := 50 + 500*c.random.Float64()
	p.acknowledgements = append(p.acknowledgements, delayedAcknowledgement{c.atMs + delayMs, number})
}

// CloseConnection records that a connection is closed, without the reason.
func (c *peerSimulation) CloseConnection(conn *platform.Connection, _ platform.CloseReason, _ error) {
	p := c.byConn[conn]
	c.record("end %d", p.number)
	if p.proxy >= 0 && c.proxies[p.proxy] != p {
		c.replaced++
	}
	p.closed = true
}

func (c *peerSimulation) SetTimer(atMs float64) { c.record("wake %g", atMs-digestOriginMs) }

// open opens a connection that sends a first message, unless the message is empty.
func (c *peerSimulation) open(first string) *peer {
	p := &peer{conn: &platform.Connection{}, number: len(c.peers), proxy: -1}
	c.peers = append(c.peers, p)
	c.byConn[p.conn] = p
	c.core.HandleConnect(p.conn)
	p.queue(first)
	return p
}

func (p *peer) queue(line string) {
	if line != "" {
		p.unsent = append(p.unsent, line+lineEnd...)
	}
}

func zoneName(index int) string { return []string{"a", "b"}[index%2] }

// join opens a stream of a proxy, which replaces an earlier stream of the proxy that is still open.
func (c *peerSimulation) join(id, newFlag int) {
	p := c.open(fmt.Sprintf("joined id=%d site=%s rps=%d new=%d", id, zoneName(id), 20+id, newFlag))
	p.proxy = id
	p.zone = zoneName(id)
	c.proxies[id] = p
}

func (c *peerSimulation) openCollector(zone int) {
	p := c.open("collector site=" + zoneName(zone))
	p.zone = zoneName(zone)
}

// flush passes the unsent bytes of a peer to the core in pieces of random size. It sometimes stops before the last piece.
func (c *peerSimulation) flush(p *peer) {
	for len(p.unsent) > 0 && !p.closed && !p.silent {
		size := len(p.unsent)
		if c.random.Intn(3) == 0 {
			size = 1 + c.random.Intn(size)
		}
		c.core.HandleData(p.conn, p.unsent[:size])
		p.unsent = p.unsent[size:]
		if c.random.Intn(4) == 0 {
			return // the rest of the bytes is passed to the core in a later step
		}
	}
}

// runScheduledEvents runs the events of this step that happen at fixed times.
func (c *peerSimulation) runScheduledEvents() {
	reached := func(at float64) bool { return c.atMs >= at && c.atMs < at+digestStepMs }
	change := func(entry policy.Endpoint) { c.core.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{entry}) }
	for id := range digestProxies {
		if reached(500 + 150*float64(id)) {
			c.join(id, 1)
		}
	}
	switch {
	case reached(200), reached(1200), reached(70e3):
		c.openCollector(0)
		c.openCollector(1)
	case reached(completeListMs):
		c.core.UpdateEndpoints(policy.FullUpdate, digestEndpoints())
	case reached(silentFromMs + 1000), reached(silentFromMs + 6000): // triggers an update that requests an acknowledgement
		change(policy.Endpoint{Server: "s-4", RelativeCapacity: 1, State: policy.Draining})
	case reached(silentFromMs + 3000), reached(silentFromMs + 9000):
		change(policy.Endpoint{Server: "s-4", RelativeCapacity: 1, State: policy.Ready})
	case reached(drainMs):
		change(policy.Endpoint{Server: "s-2", RelativeCapacity: 1, State: policy.Draining})
	case reached(drainMs + goneAfterMs):
		change(policy.Endpoint{Server: "s-2", RelativeCapacity: 1, State: policy.Removed})
	case reached(shortenedListMs):
		c.core.UpdateEndpoints(policy.FullUpdate, slices.Delete(digestEndpoints(), 2, 4))
	case reached(failedListMs):
		c.core.UpdateEndpoints(policy.FailedUpdate, nil)
	case reached(coldServerMs):
		change(policy.Endpoint{Server: "cold", Zone: 1, RelativeCapacity: 2, StartedMs: digestOriginMs + c.atMs})
	case reached(serverReturnMs):
		change(policy.Endpoint{Server: "s-2", RelativeCapacity: 1, StartedMs: digestOriginMs + c.atMs})
	}
	c.updateSilence()
}

// updateSilence makes the first two proxies silent from silentFromMs on, for silentForMs.
func (c *peerSimulation) updateSilence() {
	silent := within(c.atMs, silentFromMs, silentForMs)
	for id, p := range c.proxies {
		if p != nil && id < 2 {
			p.silent = silent
		}
	}
}

func within(at, from, span float64) bool { return at >= from && at < from+span }

// queueReports queues the reports that joined peers send once a second.
func (c *peerSimulation) queueReports() {
	for _, p := range c.peers {
		switch {
		case p.closed:
		case p.proxy >= 0 && c.proxies[p.proxy] == p:
			for _, class := range []string{"lookup", "order"} {
				p.queue(fmt.Sprintf("usage id=%d lane=%s count=%d fail=%d over=1000.0", p.proxy, class, 8+c.random.Intn(6), c.random.Intn(2)))
			}
		case p.proxy < 0 && p.zone != "":
			for index := range digestServers {
				c.queueLoadReport(p, index)
			}
		}
	}
}

func (c *peerSimulation) queueLoadReport(collector *peer, server int) {
	count := 4 + c.random.Intn(8)
	failed := 0
	mean := 80 + 40*c.random.Float64()
	if within(c.atMs, overloadFromMs, overloadForMs) {
		failed = count / 3
		mean *= 6
	}
	if server == 0 && within(c.atMs, failingFromMs, failingForMs) {
		failed = count
	}
	collector.queue(fmt.Sprintf("heard site=%s target=s-%d count=%d fail=%d mean=%.1f over=1000 util=inflight:%d",
		collector.zone, server, count, failed, mean, c.random.Intn(9)))
}

func (c *peerSimulation) sendDueAcknowledgements(p *peer) {
	var later []delayedAcknowledgement
	for _, answer := range p.acknowledgements {
		if answer.atMs > c.atMs {
			later = append(later, answer)
			continue
		}
		p.queue(fmt.Sprintf("applied id=%d seq=%d ms=%.0f", p.proxy, answer.number, 100+200*c.random.Float64()))
	}
	p.acknowledgements = later
}

// injectRandomEvent runs a random event, once or twice a second.
func (c *peerSimulation) injectRandomEvent() {
	if c.atMs < completeListMs || c.random.Intn(7) != 0 {
		return
	}
	id := 2 + c.random.Intn(digestProxies-2)
	p := c.proxies[id]
	switch c.random.Intn(14) {
	case 0, 1:
		c.open(invalidFirstMessages[c.random.Intn(len(invalidFirstMessages))])
	case 2:
		c.open("") // this peer sends nothing
	case 3:
		c.open("ping")
	case 4:
		c.openPartial()
	case 5, 6:
		p.queue(invalidMessages[c.random.Intn(len(invalidMessages))])
	case 7:
		p.queue("ping")
	case 8:
		c.join(id, 0) // replaces the stream of the proxy if one is open
	case 9:
		p.queue("ping")
		c.halfClose(p)
	case 10:
		c.disconnect(p)
	case 11:
		c.sendUnreadable(p)
	case 12:
		p.unsent = append(p.unsent, "usage id=1 lane=lookup pad="+strings.Repeat("1", partialMessageBytes)...)
	case 13:
		c.shed()
	}
}

// openPartial opens a connection that sends part of a first message, and sometimes closes its sending side after it.
func (c *peerSimulation) openPartial() {
	p := c.open("")
	p.unsent = []byte("joined id=4 si")
	if c.random.Intn(2) == 0 {
		c.halfClose(p)
	}
}

func (c *peerSimulation) shed() {
	if c.core.ShedConnection(c) {
		c.sheds++
	}
}

// halfClose makes a peer send its unsent bytes and close its sending side.
func (c *peerSimulation) halfClose(p *peer) {
	if p.closed || p.silent {
		return
	}
	c.core.HandleData(p.conn, p.unsent)
	p.unsent = nil
	c.core.HandleHalfClose(p.conn)
}

func (c *peerSimulation) disconnect(p *peer) {
	if !p.closed {
		p.closed = true
		c.core.HandleDisconnect(p.conn)
	}
}

// sendUnreadable makes a peer send unreadable bytes or a message over the length limit.
func (c *peerSimulation) sendUnreadable(p *peer) {
	switch c.random.Intn(3) {
	case 0:
		p.unsent = append(p.unsent, "\x01\x02garbage"...)
	case 1:
		p.queue("nonsense id=1")
	case 2:
		p.unsent = append(p.unsent, "usage pad="...)
		p.unsent = append(p.unsent, bytes.Repeat([]byte("1"), oversizedMessageBytes)...)
	}
}

// rejoinClosed opens new streams for proxies whose stream is closed, after a random time.
func (c *peerSimulation) rejoinClosed() {
	for id, p := range c.proxies {
		if p != nil && p.closed && c.random.Intn(15) == 0 {
			c.join(id, c.random.Intn(2))
		}
	}
}

func (c *peerSimulation) step(number int) {
	c.atMs += digestStepMs
	c.core.SetTime(digestOriginMs + c.atMs)
	c.runScheduledEvents()
	c.injectRandomEvent()
	c.rejoinClosed()
	if number%10 == 0 {
		c.queueReports()
	}
	for _, p := range c.peers {
		if !p.closed {
			c.sendDueAcknowledgements(p)
			c.flush(p)
		}
	}
	for c.core.Next(c) {
	}
	if number%10 == 0 {
		c.recordCounts()
	}
}

func (c *peerSimulation) recordCounts() {
	n := c.core.Counts
	c.record("counts %d %d %d %d %d %d %d %d %d %d %d %d %d %g open %d", n.Joins, n.LostStreams, n.SilentProxies, n.Refusals,
		n.Unreadable, n.RejectedMessages, n.LoadReports, n.DemandReports, n.Acknowledgements, n.Updates, n.Entries, n.Bytes,
		n.EndpointUpdates, n.MaxBacklog, c.core.OpenConnections())
}

func (c *peerSimulation) run() []byte {
	for number := 0; c.atMs < simulationMs; number++ {
		c.step(number)
	}
	c.closing = true
	c.core.Close(c)
	c.closing = false
	slices.Sort(c.closeEvents)
	for _, event := range c.closeEvents {
		c.record("close: %s", event)
	}
	c.recordCounts()
	return c.digest.Finish(c.atMs)
}
