package fakeplatform

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"lichenpick/policy"
)

// Times of proxies and of the channel to them, in ms.
const (
	minRedialMs     = 200.0
	maxRedialMs     = 2100.0
	minReturnMs     = 3000.0 // after which a proxy goes back to the planner of its zone
	maxReturnMs     = 12000.0
	idleTimeoutMs   = 15000.0
	minSpacingMs    = 0.01 // between messages to one proxy, which arrive in order
	standingEntries = 5    // servers in the table that a proxy starts with
)

// proxy is a proxy by the protocol: it has a weight table for each traffic class, and ejected servers.
type proxy struct {
	platform   *Platform
	id         int
	zone       int
	share      float64 // of the requests of its zone
	home       *plannerSlot
	slot       *plannerSlot // planner that the proxy has joined; nil while it is disconnected
	stream     *proxyPeer   // stream to that planner
	connection Connection
	assigned   bool     // the proxy has applied a table of a planner
	parts      []string // parts of the message that arrives

	tables    []map[string]float64 // by class
	ejected   map[string]bool
	admission []float64 // by class
	retry     []int     // by class
	pickable  [][]string
	received  []int              // requests by class since the last report
	failed    []int              // admitted requests by class that got no answer
	reportsMs []float64          // times of the last reports, by class
	idleMs    map[string]float64 // when the connection to a server was used last

	joinedMs        float64
	unservedMs      []float64 // since when there has been no server to pick, by class; infinite: there is one
	lastArrivalMs   float64
	informedVersion int64 // version of the list that the planner knew when it sent the last message that the proxy applied
}

func (p *Platform) addProxy(id int) {
	zone := id % len(p.config.Zones)
	added := &proxy{
		platform:   p,
		id:         id,
		zone:       zone,
		share:      0.4 + 1.2*p.random.Float64(),
		home:       p.planners[zone%len(p.planners)],
		ejected:    map[string]bool{},
		admission:  slices.Repeat([]float64{1}, len(p.config.Classes)),
		retry:      slices.Repeat([]int{policy.RetryUnprocessed}, len(p.config.Classes)),
		received:   make([]int, len(p.config.Classes)),
		failed:     make([]int, len(p.config.Classes)),
		pickable:   make([][]string, len(p.config.Classes)),
		reportsMs:  make([]float64, len(p.config.Classes)),
		idleMs:     map[string]float64{},
		unservedMs: slices.Repeat([]float64{math.Inf(1)}, len(p.config.Classes)),
	}
	if zone >= len(p.planners) { // no planner in its zone
		added.home = p.planners[p.random.Intn(len(p.planners))]
	}
	standing := map[string]float64{}
	for _, index := range p.random.Perm(len(p.servers)) {
		if server := p.servers[index]; server.zone == zone && len(standing) < standingEntries {
			standing[server.name] = 1
		}
	}
	for range p.config.Classes {
		added.tables = append(added.tables, maps.Clone(standing))
	}
	p.proxies = append(p.proxies, added)
}

// connect joins the planner of the proxy's zone, or another one if that one is stopped.
func (x *proxy) connect() {
	p := x.platform
	slot := x.home
	if running := p.runningPlanners(); !slot.running && len(running) > 0 {
		slot = running[p.random.Intn(len(running))]
	}
	stream := &proxyPeer{proxy: x, slot: slot}
	connection, err := slot.process.Connect(stream)
	if err != nil {
		p.After(x.redialMs(), x.connect)
		return
	}
	x.slot = slot
	x.stream = stream
	x.connection = connection
	x.parts = nil
	x.lastArrivalMs = 0
	x.joinedMs = p.NowMs()
	newFlag := 1
	if x.assigned {
		newFlag = 0
	}
	rate := p.requestRate() * x.share / float64(len(p.proxies))
	connection.Send(fmt.Sprintf("joined id=%d site=%s rps=%.2f new=%d", x.id, p.zoneName(x.zone), rate, newFlag))
	if slot != x.home {
		p.After(minReturnMs+p.random.Float64()*(maxReturnMs-minReturnMs), x.returnHome)
	}
}

func (x *proxy) redialMs() float64 {
	return minRedialMs + x.platform.random.Float64()*(maxRedialMs-minRedialMs)
}

// returnHome leaves a planner of another zone once the planner of the proxy's zone runs.
func (x *proxy) returnHome() {
	if x.slot == nil || x.slot == x.home {
		return
	}
	if !x.home.running {
		x.platform.After(minReturnMs, x.returnHome)
		return
	}
	x.connection.Close()
	x.disconnected()
	x.connect()
}

func (x *proxy) disconnected() {
	x.slot = nil
	x.stream = nil
	x.connection = nil
}

// proxyPeer is one stream of a proxy.
type proxyPeer struct {
	proxy *proxy
	slot  *plannerSlot
}

// current reports whether the proxy still uses this stream. What is under way on an earlier one is lost.
func (s *proxyPeer) current() bool { return s.proxy.stream == s }

// Lost implements Peer: the proxy dials again.
func (s *proxyPeer) Lost() {
	if !s.current() {
		return
	}
	s.proxy.disconnected()
	s.proxy.platform.After(s.proxy.redialMs(), s.proxy.connect)
}

// Receive implements Peer: a complete message enters the channel, and is applied when it has arrived.
func (s *proxyPeer) Receive(line string) {
	x := s.proxy
	if !s.current() || !strings.HasPrefix(line, "update") {
		return
	}
	x.parts = append(x.parts, line)
	if strings.HasSuffix(line, " part=1") {
		return
	}
	p := x.platform
	message := x.parts
	x.parts = nil
	entries := p.config.MessageOverhead
	for _, part := range message {
		entries += float64(countEntries(part))
	}
	sentMs := p.NowMs()
	version := s.slot.notifiedVersion
	s.slot.channelFreeMs = max(s.slot.channelFreeMs, sentMs) + entries/p.config.ChannelPerS*millisecondsPerSecond
	if backlog := (s.slot.channelFreeMs - sentMs) / millisecondsPerSecond * p.config.ChannelPerS; backlog > p.config.MaxBacklog {
		p.violate("planner %d has %.0f entries waiting", s.slot.number, backlog)
	}
	propagationMs := min(p.random.ExpFloat64()*p.config.PropagationMs, p.config.MaxPropagationMs)
	x.lastArrivalMs = max(x.lastArrivalMs+minSpacingMs, s.slot.channelFreeMs+propagationMs)
	p.After(x.lastArrivalMs-sentMs, func() {
		if s.current() {
			x.informedVersion = version
			x.apply(message, sentMs)
		}
	})
}

// countEntries returns the number of entries that the channel counts for a part, without the overhead of its message.
func countEntries(part string) int {
	count := 0
	for word := range strings.FieldsSeq(part) {
		switch name, value, _ := strings.Cut(word, "="); name {
		case "rows", "drop", "undrop":
			count += 1 + strings.Count(value, ",")
		case "replace", "gate", "stamp":
			count++
		}
	}
	return count
}

// apply applies a message and answers its request for an acknowledgement.
func (x *proxy) apply(message []string, sentMs float64) {
	stamp := ""
	for _, part := range message {
		fields := map[string]string{}
		for _, word := range strings.Fields(part)[1:] {
			name, value, _ := strings.Cut(word, "=")
			fields[name] = value
		}
		for class := range x.platform.config.Classes {
			if x.concerns(fields["for"], class) {
				x.applyToClass(class, fields)
			}
		}
		for _, server := range splitList(fields["drop"]) {
			x.ejected[server] = true
		}
		for _, server := range splitList(fields["undrop"]) {
			delete(x.ejected, server)
		}
		if fields["stamp"] != "" {
			stamp = fields["stamp"]
		}
	}
	clear(x.pickable)
	x.recordUnserved()
	if stamp != "" {
		x.connection.Send(fmt.Sprintf("applied id=%d seq=%s ms=%.1f", x.id, stamp, x.platform.NowMs()-sentMs))
	}
}

func (x *proxy) concerns(classes string, class int) bool {
	return classes == "" || slices.Contains(strings.Split(classes, "+"), x.platform.config.Classes[class].Name)
}

func (x *proxy) applyToClass(class int, fields map[string]string) {
	if fields["replace"] == "1" {
		x.tables[class] = map[string]float64{}
		x.admission[class] = 1
		x.assigned = true
	}
	for _, row := range splitList(fields["rows"]) {
		server, text, _ := strings.Cut(row, ":")
		weight, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil || weight < 0 || x.platform.byName[server] == nil:
			x.platform.violate("proxy %d got an entry that it can't use: %s", x.id, row)
		case weight == 0:
			delete(x.tables[class], server)
		default:
			x.tables[class][server] = weight
		}
	}
	if admission, err := strconv.ParseFloat(fields["gate"], 64); err == nil {
		x.admission[class] = admission
	}
	if retry, err := strconv.Atoi(fields["again"]); err == nil {
		x.retry[class] = retry
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// pick draws a server by weight, other than the given one. It returns nil if there is none.
func (x *proxy) pick(class int, except *server) *server {
	if x.pickable[class] == nil {
		x.pickable[class] = []string{}
		for _, name := range slices.Sorted(maps.Keys(x.tables[class])) {
			if !x.ejected[name] {
				x.pickable[class] = append(x.pickable[class], name)
			}
		}
	}
	total := 0.0
	for _, name := range x.pickable[class] {
		if except == nil || name != except.name {
			total += x.tables[class][name]
		}
	}
	point := x.platform.random.Float64() * total
	for _, name := range x.pickable[class] {
		if except != nil && name == except.name {
			continue
		}
		point -= x.tables[class][name]
		if point < 0 {
			return x.platform.byName[name]
		}
	}
	return nil
}

// informed reports whether the proxy goes by a planner that knew of the server's start when it wrote the last message, or that
// has known of it for the drain grace.
func (x *proxy) informed(server *server) bool {
	if server.listedStartMs < server.StartedMs() { // the list does not show this start yet
		return false
	}
	if x.informedVersion >= server.listedVersion {
		return true
	}
	if x.slot == nil {
		return false
	}
	knownMs, known := x.slot.notifiedMs[server.listedVersion]
	return known && x.platform.NowMs()-knownMs >= x.platform.config.DrainGraceMs
}
