package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a line of a table.
type row struct {
	server string
	weight float64
	credit float64
}

// proxy stands for one of the operators' proxies: it joins a planner, obeys its orders and sends requests to servers.
type proxy struct {
	id    int
	zone  string
	fleet *fleet
	homes []*planner // planners that it dials, the first one that is available first

	mu       sync.Mutex
	planner  *planner // planner that it has joined; nil while its stream is down
	joinedAt time.Time
	conn     net.Conn
	tables   [][]row   // by class
	shares   []float64 // by class: the level, and the way of trying again
	again    []int
	shutOut  map[string]bool
	messages []time.Time // when messages came on this stream
	ordered  bool        // it holds a table that was ordered
	came     []int       // requests since the last report, by class
	unserved []int       // of these, those that were let in and not served
	bareFrom []time.Time // by class: since when it has had no line to pick; zero while it has one
}

func newProxy(id int, zone string, f *fleet, homes ...*planner) *proxy {
	p := &proxy{
		id:       id,
		zone:     zone,
		fleet:    f,
		homes:    homes,
		shutOut:  map[string]bool{},
		came:     make([]int, len(f.classes)),
		unserved: make([]int, len(f.classes)),
		bareFrom: make([]time.Time, len(f.classes)),
	}
	var standing []row
	for _, e := range f.servers {
		if e.Zone == zone && len(standing) < 5 {
			standing = append(standing, row{server: e.ID, weight: 1, credit: rand.Float64()})
		}
	}
	for range f.classes {
		p.tables = append(p.tables, slices.Clone(standing))
		p.shares = append(p.shares, 1)
		p.again = append(p.again, 1)
	}
	return p
}

// follow joins planners, one at a time, until the case ends.
func (p *proxy) follow() {
	for !p.fleet.over() {
		for _, home := range p.homes {
			if home.available() {
				p.stay(home)
				break
			}
		}
		time.Sleep(p.fleet.redial(p.id))
	}
}

// stay keeps a stream to a planner until it breaks.
func (p *proxy) stay(home *planner) {
	conn, err := net.DialTimeout("tcp", home.listen, 250*time.Millisecond)
	if err != nil {
		return
	}
	defer conn.Close()
	p.mu.Lock()
	isNew := 1
	if p.ordered {
		isNew = 0
	}
	p.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "joined id=%d site=%s rps=%.1f new=%d\r\n", p.id, p.zone, p.fleet.usualRate(p.id), isNew); err != nil {
		return
	}
	p.mu.Lock()
	p.planner = home
	p.joinedAt = time.Now()
	p.messages = nil
	p.conn = conn
	p.mu.Unlock()
	say("proxy %d (%s) joins planner %s, new=%d", p.id, p.zone, home.name, isNew)
	defer func() {
		p.mu.Lock()
		p.planner = nil
		p.conn = nil
		p.mu.Unlock()
		say("proxy %d has lost its stream to %s", p.id, home.name)
	}()
	reader := bufio.NewReader(conn)
	orders := make(chan order, 1000)
	defer close(orders)
	go p.obey(conn, orders)
	var parts []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil || p.fleet.over() {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		if line == "refused" {
			say("proxy %d was refused by %s", p.id, home.name)
			return
		}
		if !strings.HasPrefix(line, "update") {
			continue
		}
		parts = append(parts, line)
		if strings.HasSuffix(line, " part=1") {
			continue
		}
		received := time.Now()
		p.countMessage(received)
		orders <- order{parts, received}
		parts = nil
	}
}

// order is a message on its way to the proxy.
type order struct {
	parts    []string
	received time.Time
}

// obey applies the messages of a stream, each after its way and in order. What is under way when the stream ends is lost.
func (p *proxy) obey(conn net.Conn, orders <-chan order) {
	for message := range orders {
		time.Sleep(time.Until(message.received.Add(p.fleet.wayOf(p.id))))
		p.mu.Lock()
		current := p.conn == conn
		p.mu.Unlock()
		if current && !p.apply(message.parts, message.received) {
			_ = conn.Close()
		}
	}
}

// countMessage checks the limit of messages to one proxy.
func (p *proxy) countMessage(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages = append(p.messages, at)
	for at.Sub(p.messages[0]) >= pushWindow {
		p.messages = p.messages[1:]
	}
	if limit := p.fleet.figures.pushesAllowed; limit > 0 && len(p.messages) > limit {
		p.fleet.note("short queue", fmt.Sprintf("proxy %d got %d messages within %v", p.id, len(p.messages), pushWindow))
	}
}

// apply obeys one message and answers its mark. It reports whether the message could be used.
func (p *proxy) apply(parts []string, received time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mark := ""
	for _, line := range parts {
		say("proxy %d is ordered: %s", p.id, line)
		fields := map[string]string{}
		for _, word := range strings.Fields(line)[1:] {
			name, value, _ := strings.Cut(word, "=")
			fields[name] = value
		}
		if !p.applyPart(fields) {
			say("proxy %d can't use: %s", p.id, line)
			return false
		}
		if fields["stamp"] != "" {
			mark = fields["stamp"]
		}
	}
	if mark != "" && p.conn != nil {
		answer := fmt.Sprintf("applied id=%d seq=%s ms=%.1f", p.id, mark, float64(time.Since(received).Microseconds())/1000)
		answer = p.fleet.spoil(p.id, answer)
		say("proxy %d answers: %s", p.id, answer)
		_, _ = fmt.Fprintf(p.conn, "%s\r\n", answer)
	}
	return true
}

func (p *proxy) applyPart(fields map[string]string) bool {
	classes := p.fleet.classIndices(fields["for"])
	if classes == nil {
		return false
	}
	for _, class := range classes {
		if fields["replace"] == "1" {
			p.tables[class] = nil
			p.shares[class] = 1
			p.again[class] = 1
			p.ordered = true
		}
		for _, pair := range split(fields["rows"]) {
			server, number, _ := strings.Cut(pair, ":")
			weight, err := strconv.ParseFloat(number, 64)
			if err != nil || weight < 0 || !p.fleet.listed(server) {
				return false
			}
			p.setRow(class, server, weight)
		}
		if fields["gate"] != "" {
			share, err := strconv.ParseFloat(fields["gate"], 64)
			if err != nil || share < 0 {
				return false
			}
			again, err := strconv.Atoi(fields["again"])
			if err != nil || again < 0 || again > 3 {
				return false
			}
			p.shares[class] = share
			p.again[class] = again
		}
	}
	for _, server := range split(fields["drop"]) {
		p.shutOut[server] = true
	}
	for _, server := range split(fields["undrop"]) {
		delete(p.shutOut, server)
	}
	return true
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func (p *proxy) setRow(class int, server string, weight float64) {
	table := slices.DeleteFunc(slices.Clone(p.tables[class]), func(r row) bool { return r.server == server && weight == 0 })
	index := slices.IndexFunc(table, func(r row) bool { return r.server == server })
	switch {
	case index >= 0:
		table[index].weight = weight
	case weight > 0:
		table = append(table, row{server: server, weight: weight, credit: rand.Float64() * weight})
	}
	p.tables[class] = table
}

// pick chooses a line evenly by weight, but not that of a server that was tried, and none if all others are shut out.
func (p *proxy) pick(class int, tried string) string {
	total := 0.0
	best := -1
	for index := range p.tables[class] {
		r := &p.tables[class][index]
		if p.shutOut[r.server] || r.weight <= 0 || r.server == tried {
			continue
		}
		r.credit += r.weight
		total += r.weight
		if best < 0 || r.credit > p.tables[class][best].credit {
			best = index
		}
	}
	if best < 0 {
		return ""
	}
	p.tables[class][best].credit -= total
	return p.tables[class][best].server
}

// request plays one request of a client that came to the proxy. A share of the requests is let in, the others are refused at once. A
// server's refusal proves that the try never ran; one more try, at another server, follows it unless the planner ordered none.
func (p *proxy) request(class int) {
	p.mu.Lock()
	p.came[class]++
	admitted := rand.Float64() < p.shares[class]
	tries := 1 + min(p.again[class], 1)
	p.mu.Unlock()
	if !admitted {
		p.fleet.countUnserved()
		return
	}
	tried := ""
	for range tries {
		p.mu.Lock()
		server := p.pick(class, tried)
		joined, at := p.planner, p.joinedAt
		p.mu.Unlock()
		if server == "" {
			break
		}
		tried = server
		p.fleet.judgeSend(p, joined, at, server, class)
		say("proxy %d sends %s to %s", p.id, p.fleet.classes[class].name, server)
		planner := "" // nobody hears of a proxy that has joined no planner
		if joined != nil {
			planner = joined.name
		}
		served, refused := p.fleet.serve(planner, p.zone, server, class)
		if served {
			return
		}
		say("proxy %d gets no answer from %s, refused=%t", p.id, server, refused)
		if !refused {
			break
		}
	}
	if tried == "" {
		p.fleet.countUnserved()
	}
	p.mu.Lock()
	p.unserved[class]++
	p.mu.Unlock()
}

// report sends what came to the proxy since the last report; a class without requests is not reported.
func (p *proxy) report(over time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for class := range p.came {
		if p.came[class]+p.unserved[class] > 0 && p.conn != nil {
			_, _ = fmt.Fprintf(p.conn, "usage id=%d lane=%s count=%d fail=%d over=%.1f\r\n", p.id,
				p.fleet.classes[class].name, p.came[class], p.unserved[class], float64(over.Microseconds())/1000)
		}
		p.came[class] = 0
		p.unserved[class] = 0
	}
}

// hasLine reports whether the proxy has a line to pick for a class.
func (p *proxy) hasLine(class int) bool {
	return slices.ContainsFunc(p.tables[class], func(r row) bool { return r.weight > 0 && !p.shutOut[r.server] })
}
