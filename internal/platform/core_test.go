package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

const origin = 1.8e12 // Unix ms; the platform's times are of this size

const siteText = `{"Azs":["a","b"],"Balancers":2,"PeriodMs":2,"Classes":[
 {"Name":"lookup","AimMs":600,"Worth":1,"Repeat":"read_like"},{"Name":"order","AimMs":800,"Worth":2,"Repeat":"non_idempotent"}],
 "FamilyInfo":{"Admit":"share","ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"DefaultRetry":1,"PushesAllowed":20,
 "ReloadSpanMs":10000,"ReportEveryMs":1000,"TransitMaxMs":900,"DataPlaneSize":8,"SmallestConnTable":300},
 "Rules":{"ColdShare":0.3,"WarmUpMs":8000,"FallMs":3000,"StopSendingWithinMs":3000},"Limits":{"ConnIdleMs":15000}}`

func site(t testing.TB) simulator.Settings {
	t.Helper()
	s, err := simulator.ReadSettings([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// story is a host that plays a planner's connections: it keeps what each was told, and which were ended.
type story struct {
	*Core
	t     testing.TB
	at    float64 // ms since the start
	said  map[*Connection]string
	ended map[*Connection]bool
	why   map[*Connection]CloseReason
}

func begin(t testing.TB, servers int) *story {
	s := &story{
		Core: NewCore(site(t), 7, origin), t: t, said: map[*Connection]string{}, ended: map[*Connection]bool{},
		why: map[*Connection]CloseReason{},
	}
	s.UpdateEndpoints(policy.RestoredUpdate, entries(servers, policy.Ready))
	return s
}

func entries(n int, state policy.State) (list []policy.Endpoint) {
	for k := range n {
		list = append(list, policy.Endpoint{Server: fmt.Sprintf("s-%d", k), Zone: k % 2, RelativeCapacity: 1, State: state})
	}
	return list
}

func (s *story) Send(k *Connection, message []byte) { s.said[k] += string(message) }
func (s *story) CloseConnection(k *Connection, why CloseReason, _ error) {
	s.ended[k], s.why[k] = true, why
}
func (s *story) SetTimer(at float64) {}

// pass lets time go by, with looks as often as the shell would.
func (s *story) pass(ms float64) {
	for end := s.at + ms; ; s.at = min(s.at+50, end) {
		s.SetTime(origin + s.at)
		for s.Next(s) {
		}
		if s.at >= end {
			return
		}
	}
}

func (s *story) open(lines ...string) *Connection {
	k := &Connection{}
	s.SetTime(origin + s.at)
	s.HandleConnect(k)
	s.say(k, lines...)
	return k
}

func (s *story) say(k *Connection, lines ...string) {
	s.SetTime(origin + s.at)
	for _, l := range lines {
		s.HandleData(k, []byte(l+"\r\n"))
	}
	s.pass(0)
}

func (s *story) joined(id int) *Connection {
	return s.open(fmt.Sprintf("joined id=%d site=a rps=10 new=1", id))
}

// answer answers every mark that a proxy was sent and not answered, as the proxy would.
func (s *story) answer(k *Connection, id int) {
	for _, m := range slices.Clone(k.proxy.unacknowledged) {
		s.say(k, fmt.Sprintf("applied id=%d seq=%d ms=300", id, m.number))
	}
}

func TestAProxyIsServed(t *testing.T) {
	s := begin(t, 8)
	k := s.joined(3)
	s.pass(1000)
	said := s.said[k]
	if strings.Count(said, "replace=1") != 1 || !strings.Contains(said, "rows=s-") || !strings.Contains(said, " stamp=") {
		t.Fatalf("no whole table with a mark: %q", said)
	}
	if !strings.Contains(said, "update for=order gate=1 again=1") && strings.Contains(said, "again=2") {
		t.Errorf("a non-retriable group may be repeated: %q", said)
	}
	t.Run("its answer reaches the module", func(t *testing.T) {
		s.answer(k, 3)
		if len(k.proxy.unacknowledged) != 0 || s.Counts.Acknowledgements == 0 || s.Counts.RejectedMessages > 0 {
			t.Errorf("%+v", s.Counts)
		}
	})
	t.Run("each message is whole lines, with part=1 on all but the last", func(t *testing.T) {
		lines := strings.Split(strings.TrimSuffix(said, "\r\n"), "\r\n")
		for _, l := range lines {
			if !strings.HasPrefix(l, wireUpdate+" ") || strings.Contains(l, "  ") {
				t.Errorf("%q", l)
			}
		}
		if strings.Contains(lines[len(lines)-1], "part=") {
			t.Errorf("the last part says that another follows: %q", lines[len(lines)-1])
		}
	})
	t.Run("more failed than came is no fault: flows end in a later period than they come in", func(t *testing.T) {
		before := s.Counts
		s.say(k, "usage id=3 lane=lookup count=0 fail=2 over=1000.0")
		if s.Counts.DemandReports != before.DemandReports+1 || s.Counts.RejectedMessages != before.RejectedMessages {
			t.Errorf("%+v", s.Counts)
		}
	})
	t.Run("a server that drains is shut out within the grace", func(t *testing.T) {
		list := entries(1, policy.Draining)
		s.SetTime(origin + s.at)
		s.UpdateEndpoints(policy.DeltaUpdate, list)
		s.pass(1500)
		if !strings.Contains(s.said[k], "drop=s-0") && !strings.Contains(s.said[k], "s-0:0") {
			t.Errorf("it was told nothing of it: %q", s.said[k])
		}
	})
}

func TestStreamsComeAndGo(t *testing.T) {
	s := begin(t, 8)
	old := s.joined(3)
	s.pass(1000)
	next := s.joined(3)
	s.pass(1000)
	t.Run("a new stream of a proxy takes the place of the old one and gets its table whole", func(t *testing.T) {
		if s.proxies.byID[3] == nil || s.proxies.byID[3].connection != next || !strings.Contains(s.said[next], "replace=1") {
			t.Errorf("%q", s.said[next])
		}
	})
	t.Run("the old one's end is not taken for a leaving", func(t *testing.T) {
		s.HandleDisconnect(old)
		if !s.ended[old] || s.proxies.byID[3] == nil || len(s.proxies.joined) != 1 {
			t.Errorf("ended %t, joined %d", s.ended[old], len(s.proxies.joined))
		}
	})
	t.Run("the new one's end is", func(t *testing.T) {
		s.HandleDisconnect(next)
		if s.proxies.byID[3] != nil || len(s.proxies.joined) != 0 || s.OpenConnections() != 0 {
			t.Errorf("joined %d, open %d", len(s.proxies.joined), s.OpenConnections())
		}
	})
	t.Run("a proxy from elsewhere is let back what others may have shut out", func(t *testing.T) {
		k := s.open("joined id=4 site=b rps=10 new=0")
		s.pass(1000)
		if !strings.Contains(s.said[k], "undrop=s-") {
			t.Errorf("%q", s.said[k])
		}
	})
	// Time alone was taken for silence: where the channel was later than that, whole fleets were taken for left before their
	// first tables had gone off, and had them sent again on top (asleep 897 of 749, 52,417 lines waiting).
	t.Run("while the channel is late nobody is taken for left, and no table is sent again", func(t *testing.T) {
		s := begin(t, 8)
		var all []*Connection
		for id := range 6 {
			all = append(all, s.joined(id))
		}
		s.pass(1000)
		for range 3 {
			s.pass(3000)
			for id, k := range all { // what comes by others does not speak for a stream; its own words wake it
				s.say(k, fmt.Sprintf("usage id=%d lane=lookup count=1 fail=0 over=1000", id))
				k.lastMessageMs -= silenceMs
			}
		}
		for id, k := range all {
			if n := strings.Count(s.said[k], "replace=1"); k.proxy.inactive || n != 1 {
				t.Errorf("proxy %d: asleep %t, %d whole tables", id, k.proxy.inactive, n)
			}
		}
		if s.Counts.SilentProxies != 0 {
			t.Errorf("%d were taken for left", s.Counts.SilentProxies)
		}
	})
	t.Run("where nobody answers, what may wait bounds the time", func(t *testing.T) {
		s := begin(t, 8)
		k := s.joined(5)
		s.pass(silenceMs + maxChannelSlowdown*s.settings.Policy.MaxBacklog/s.settings.Policy.EntriesPerSecond*1000 + 3000)
		if !k.proxy.inactive || s.ended[k] {
			t.Errorf("asleep %t, ended %t", k.proxy.inactive, s.ended[k])
		}
	})
	t.Run("one that answers nothing, though others answered later marks, is taken for left, not ended, and taken back when it speaks", func(t *testing.T) {
		k := s.joined(5)
		other := s.joined(6)
		for n := range 60 {
			if s.pass(200); k.proxy.inactive && n*200 < silenceMs {
				t.Fatalf("it was taken for left after %d ms", 200*n)
			}
			if s.answer(other, 6); n%20 == 0 { // something to be told, and to be answered
				s.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{Server: "s-0", RelativeCapacity: 1, State: policy.State(1 - n/20%2)}})
			}
		}
		if !k.proxy.inactive || s.ended[k] || other.proxy.inactive {
			t.Fatalf("asleep %t, ended %t, the other asleep %t", k.proxy.inactive, s.ended[k], other.proxy.inactive)
		}
		said := len(s.said[k])
		s.say(k, "usage id=5 lane=lookup count=1 fail=0 over=1000")
		s.pass(1000)
		if k.proxy.inactive || !strings.Contains(s.said[k][said:], "replace=1") {
			t.Errorf("%q", s.said[k][said:])
		}
	})
}

// What ends a connection ends nothing that is owed beside it.
func TestEndsAndWhatIsOwed(t *testing.T) {
	t.Run("a long message behind the joining, in the same bytes, meets the bound of who has joined", func(t *testing.T) {
		s := begin(t, 8)
		k := s.open()
		long := "usage id=3 lane=lookup count=1 fail=0 over=1000 extra=" + strings.Repeat("1", 2*maxFirstMessageBytes)
		s.HandleData(k, []byte("joined id=3 site=a rps=10 new=1\r\n"+long+"\r\n"+long[:2*maxFirstMessageBytes]))
		s.HandleData(k, []byte(long[2*maxFirstMessageBytes:]+"\r\n"))
		s.pass(0)
		if s.ended[k] || s.Counts.DemandReports != 2 || s.Counts.Unreadable != 0 {
			t.Errorf("ended %t, %+v", s.ended[k], s.Counts)
		}
	})
	t.Run("each connection is ended for its own reason", func(t *testing.T) {
		s := begin(t, 8)
		old := s.joined(3)
		x := s.open()
		s.HandleData(x, []byte("joined id=3 site=a rps=10 new=0\r\n")) // two at one instant, settled in one look
		y := s.open()
		s.HandleData(y, []byte("GET / HTTP/1.1\r\n"))
		s.pass(0)
		if s.why[old] != CloseReplacedStream || s.why[y] != CloseUnreadable {
			t.Errorf("%q and %q", s.why[old], s.why[y])
		}
	})
	t.Run("who is closed for room has its pong first", func(t *testing.T) {
		s := begin(t, 8)
		k := s.open()
		s.HandleData(k, []byte("ping\r\n"))
		if !s.ShedConnection(s) || s.said[k] != "pong\r\nrefused\r\n" || !s.ended[k] {
			t.Errorf("ended %t, told %q", s.ended[k], s.said[k])
		}
		if s.pass(0); s.said[k] != "pong\r\nrefused\r\n" {
			t.Errorf("told %q", s.said[k])
		}
	})
	t.Run("messages that do not end fill their room together, and the longest goes first", func(t *testing.T) {
		s := begin(t, 8)
		s.MaxPartialBytes = 1 << 20
		var all []*Connection
		for id := range 4 {
			k := s.joined(id)
			s.HandleData(k, []byte("usage id=0 x="+strings.Repeat("1", (id+1)<<17)))
			all = append(all, k)
		}
		s.pass(0)
		if s.ended[all[0]] || s.ended[all[1]] || s.ended[all[2]] || !s.ended[all[3]] || s.sessions.partialBytes > s.MaxPartialBytes || len(s.proxies.joined) != 3 {
			t.Errorf("%t %t %t %t, %d bytes held", s.ended[all[0]], s.ended[all[1]], s.ended[all[2]], s.ended[all[3]], s.sessions.partialBytes)
		}
		for _, k := range all {
			s.HandleData(k, []byte("\r\n"))
			s.HandleDisconnect(k)
		}
		if s.sessions.partialBytes != 0 {
			t.Errorf("%d bytes held of nobody", s.sessions.partialBytes)
		}
	})
}

// A planner that starts anew meets all proxies at once, with tables and withdrawals that others ordered. Each binding then
// names each server twice, which the module did not count.
func TestARushOfProxiesFitsTheChannel(t *testing.T) {
	set := site(t)
	set.Policy.Proxies = 150
	s := &story{
		Core: NewCore(set, 7, origin), t: t, said: map[*Connection]string{}, ended: map[*Connection]bool{},
		why: map[*Connection]CloseReason{},
	}
	s.UpdateEndpoints(policy.RestoredUpdate, entries(30, policy.Ready))
	conns := make([]*Connection, 150)
	for id := range conns {
		k := &Connection{}
		s.HandleConnect(k)
		s.HandleData(k, []byte(fmt.Sprintf("joined id=%d site=%s rps=2 new=0\r\n", id, []string{"a", "b"}[id%2])))
		conns[id] = k
	}
	for range 20 {
		s.pass(300)
		for id, k := range conns {
			s.answer(k, id)
		}
	}
	for id, k := range conns {
		if !strings.Contains(s.said[k], "replace=1") {
			t.Errorf("proxy %d has no table after 6 s", id)
		}
	}
	if most := 0.7 * set.Policy.MaxBacklog; s.Counts.MaxBacklog > most || s.Counts.MaxBacklog < most/4 {
		t.Errorf("%.0f lines waited, where %.0f may", s.Counts.MaxBacklog, most)
	}
}

// A channel that stands still holds all that was ever ordered: no more of it than may wait, whatever happens meanwhile. What
// the module did not count was found in it: withdrawals to proxies not bound yet, servers let back at proxies whose
// tables hold them no more, and what others' withdrawals cost where a table gets a server that it had not.
func TestAChannelThatStandsStillIsNotOverfilled(t *testing.T) {
	for name, set := range map[string]func(*simulator.Settings){
		"few lines may wait":   func(s *simulator.Settings) { s.Policy.MaxBacklog = 2000 },
		"many lines may wait":  func(s *simulator.Settings) { s.Policy.MaxBacklog = 9000 },
		"no limit on messages": func(s *simulator.Settings) { s.Policy.MaxBacklog, s.Policy.MaxMessages = 3000, 0 },
	} {
		for _, fresh := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, new=%d", name, fresh), func(t *testing.T) {
				site := site(t)
				site.Policy.Proxies = 60
				set(&site)
				s := &story{Core: NewCore(site, 7, origin), t: t, said: map[*Connection]string{}, ended: map[*Connection]bool{}, why: map[*Connection]CloseReason{}}
				s.UpdateEndpoints(policy.RestoredUpdate, entries(40, policy.Ready))
				at := func() float64 { return s.nowMs }
				collector := s.open("collector site=a")
				drains := 0
				for n := range 50 { // 10 s; in 12 a channel eight times slower would have sent all
					if n < 30 { // two join every 200 ms
						for id := 2 * n; id < 2*n+2; id++ {
							s.open(fmt.Sprintf("joined id=%d site=%s rps=10 new=%d", id, []string{"a", "b"}[id%2], fresh))
							s.pass(1) // no two looks at one instant: the shell rests between them
						}
					}
					if n%5 == 2 { // servers drain, and new ones come
						for range 3 {
							s.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{
								{Server: fmt.Sprintf("s-%d", drains), Zone: drains % 2, RelativeCapacity: 1, State: policy.Draining},
								{Server: fmt.Sprintf("n-%d", drains), Zone: drains % 2, RelativeCapacity: 1, StartedMs: at()},
							})
							drains++
						}
					}
					if n%5 == 0 {
						for k := range 40 { // one in eight fails all, for a while
							failed := 0
							if k%8 == 7 && n%40 < 25 {
								failed = 20
							}
							s.say(collector, fmt.Sprintf("heard site=a target=s-%d count=20 fail=%d mean=100 over=1000", k, failed))
							s.pass(1)
						}
					}
					s.pass(200)
				}
				in := float64(s.Counts.Entries) + site.Policy.MessageOverhead*float64(s.Counts.Updates)
				t.Logf("%.0f lines of %.0f", in, site.Policy.MaxBacklog)
				if in > site.Policy.MaxBacklog {
					t.Errorf("%.0f lines wait, where %.0f may", in, site.Policy.MaxBacklog)
				}
			})
		}
	}
}

func TestStrangersAndSpoiltMessages(t *testing.T) {
	s := begin(t, 8)
	k := s.joined(3)
	c := s.open("collector site=a")
	s.pass(500)
	before := s.said[k]
	for name, first := range map[string]string{
		"HTTP":                     "GET / HTTP/1.1",
		"a proxy out of range":     "joined id=8 site=a rps=1 new=1",
		"no such zone":             "joined id=4 site=c rps=1 new=1",
		"a rate that is no figure": "joined id=4 site=a rps=NaN new=1",
		"a collector of no zone":   "collector site=zz",
		"a report before joining":  "usage id=3 lane=lookup count=1 fail=0 over=1000",
		"an order":                 "update for=lookup rows=s-0:1",
		"a long word":              strings.Repeat("j", 4000),
		"a long message":           "joined " + strings.Repeat("x=1 ", 4000),
		"control bytes":            "joined\x00 id=4",
	} {
		t.Run("refused: "+name, func(t *testing.T) {
			x := s.open(first)
			if !s.ended[x] || s.said[x] != "refused\r\n" {
				t.Errorf("ended %t, told %q", s.ended[x], s.said[x])
			}
		})
	}
	t.Run("a stranger's message without end is not kept", func(t *testing.T) {
		x := s.open()
		s.HandleData(x, []byte("joined x="+strings.Repeat("1", 2*maxFirstMessageBytes)))
		if s.pass(0); !s.ended[x] {
			t.Errorf("%d bytes are kept", len(x.reader.partial))
		}
	})
	t.Run("one that says nothing, half a message, or only ping is closed in time", func(t *testing.T) {
		a, b, d := s.open(), s.open(), s.open("ping")
		s.HandleData(b, []byte("joined id"))
		s.pass(2000)
		if !s.ended[a] || !s.ended[b] || !s.ended[d] || !strings.HasPrefix(s.said[d], "pong\r\n") {
			t.Errorf("%t %t %t %q", s.ended[a], s.ended[b], s.ended[d], s.said[d])
		}
	})
	for _, line := range []string{
		"heard site=a target=s-0 count=2 fail=3 mean=1 over=1000", "heard site=a target=s-0 count=2 fail=1 mean=inf over=1000",
		"heard site=a target=s-99 count=2 fail=1 mean=1 over=1000", "heard site=a target=s-0 count=-2 fail=0 mean=1 over=1000",
		"heard site=a target=s-0 count=x fail=0 mean=1 over=1000", "heard target=s-0 count=2 fail=0 mean=1 over=1000",
		"heard site=a target=s-0 count=2 fail=0 mean=1 over=1000 util=inflight:-3", "usage id=77 lane=lookup count=1 fail=0 over=1000",
		"usage id=3 lane=none count=1 fail=0 over=1000", "usage id=3 lane=lookup count=1 count=1 fail=0 over=1000", "heard",
	} {
		t.Run("spoilt alone: "+line, func(t *testing.T) {
			was := s.Counts
			s.say(c, line, "heard site=a target=s-0 count=2 fail=1 mean=1 over=1000 util=inflight:7")
			if s.Counts.RejectedMessages != was.RejectedMessages+1 || s.Counts.LoadReports != was.LoadReports+1 || s.Counts.DemandReports != was.DemandReports || s.ended[c] {
				t.Errorf("%+v, ended %t", s.Counts, s.ended[c])
			}
		})
	}
	t.Run("an answer to a mark never sent is not heard", func(t *testing.T) {
		was := s.Counts
		s.say(k, "applied id=3 seq=60000 ms=1")
		if s.Counts.Acknowledgements != was.Acknowledgements || s.ended[k] {
			t.Errorf("%+v", s.Counts)
		}
	})
	t.Run("half a word is no message, and an order is not heard", func(t *testing.T) {
		x := s.open("joined id=5 site=a rps=1 new=1")
		was := s.Counts
		if s.say(x, "update rows=s-1:1"); s.Counts.RejectedMessages != was.RejectedMessages+1 || s.ended[x] {
			t.Errorf("%+v", s.Counts)
		}
		if s.say(x, "usa"); !s.ended[x] {
			t.Error("it was not closed")
		}
	})
	t.Run("a stream that goes on with what can't be read is closed", func(t *testing.T) {
		s.HandleData(k, []byte("\x01\x02garbage"))
		s.pass(0)
		if !s.ended[k] || s.proxies.byID[3] != nil || strings.Contains(strings.TrimPrefix(s.said[k], before), "refused") {
			t.Errorf("ended %t", s.ended[k])
		}
	})
	t.Run("nothing is ever written to a collector but pong", func(t *testing.T) {
		s.say(c, "ping")
		if s.said[c] != "pong\r\n" {
			t.Errorf("%q", s.said[c])
		}
	})
	t.Run("room is made of the oldest stranger, never of who has joined", func(t *testing.T) {
		a, b := s.open(), s.open()
		if !s.ShedConnection(s) || !s.ended[a] || s.ended[b] || !s.ShedConnection(s) || s.ShedConnection(s) || s.ended[c] {
			t.Errorf("%t %t %t", s.ended[a], s.ended[b], s.ended[c])
		}
	})
}

func asJoined() int { return maxMessageBytes }

func TestSplitter(t *testing.T) {
	text := "joined id=3 site=a rps=10 new=1\r\nping\r\nusage id=3 lane=lookup count=1 fail=0 over=1000.0\r\n"
	want := strings.Split(strings.TrimSuffix(text, "\r\n"), "\r\n")
	for cut := range len(text) {
		var s messageReader
		var got []string
		for _, piece := range []string{text[:cut], text[cut:]} {
			if err := s.feed([]byte(piece), asJoined, func(l []byte) bool { got = append(got, string(l)); return true }); err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("cut at %d: %q", cut, got)
		}
	}
	t.Run("a message of the most bytes is held, one more is not", func(t *testing.T) {
		for _, more := range []int{0, 1} {
			var s messageReader
			line := "heard" + " x=" + strings.Repeat("1", maxMessageBytes-len("heard")-3+more) + "\r\n"
			err := s.feed([]byte(line[:len(line)/2]), asJoined, func([]byte) bool { return true })
			if err == nil {
				err = s.feed([]byte(line[len(line)/2:]), asJoined, func([]byte) bool { return true })
			}
			if (err == ErrMessageTooLong) != (more == 1) || len(s.partial) > maxMessageBytes {
				t.Errorf("%d more: %v", more, err)
			}
		}
	})
}

// FuzzFed holds that no bytes of a stranger or a stream bring the core to a fault or cost it memory beyond a message.
func FuzzFed(f *testing.F) {
	f.Add("joined id=3 site=a rps=10 new=1\r\nusage id=3 lane=lookup count=1 fail=0 over=1000\r\napplied id=3 seq=1 ms=2\r\n", 7)
	f.Add("collector site=a\r\nheard site=a target=s-0 count=2 fail=1 mean=1 over=1 util=a:1,b:2\r\nping\r\n", 3)
	f.Add("GET / HTTP/1.1\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		s := begin(t, 3)
		k := s.open()
		cut = max(min(cut, len(text)), 0)
		for _, piece := range []string{text[:cut], text[cut:]} {
			s.HandleData(k, []byte(piece))
			s.pass(100)
		}
		if k.Unauthenticated() && len(k.reader.partial) > maxFirstMessageBytes+2 || len(s.said[k]) > 1<<16 {
			t.Errorf("a stranger holds %d bytes and was told %d", len(k.reader.partial), len(s.said[k]))
		}
	})
}

func TestListing(t *testing.T) {
	zones := []string{"a", "b"}
	one := `{"version":%s,"full":%s,"servers":[{"id":"s-1","addr":"x:1","zone":"b","kind":"m","cell":3,"state":"%s","weight":1.5,"started_ms":%s}]}`
	f := versionTracker{zones: zones, version: 41}
	l, ok, err := f.accept([]byte(fmt.Sprintf(one, "43", "false", "draining", "1.8e12")))
	if e := (policy.Endpoint{Server: "s-1", Zone: 1, State: policy.Draining, RelativeCapacity: 1.5, StartedMs: 1.8e12}); err != nil || !ok || l.entries[0] != e || f.version != 43 {
		t.Errorf("%+v %t %v", l, ok, err)
	}
	if _, ok, err := f.accept(nil); ok || err != nil {
		t.Errorf("an empty line tells something: %v", err)
	}
	for name, line := range map[string]string{
		"cut": `{"version":44,"ful`, "state": fmt.Sprintf(one, "44", "false", "odd", "0"),
		"back": fmt.Sprintf(one, "42", "false", "ready", "0"), "no version": `{"full":true}`,
		"weight": strings.Replace(fmt.Sprintf(one, "44", "false", "ready", "0"), "1.5", "-1", 1),
		"name":   strings.Replace(fmt.Sprintf(one, "44", "false", "ready", "0"), "s-1", "s 1", 1),
	} {
		t.Run("what can't be read changes nothing and asks for the whole list: "+name, func(t *testing.T) {
			f := versionTracker{zones: zones, version: 43}
			if _, ok, err := f.accept([]byte(line)); ok || err == nil || f.version != 43 || !f.needsFullList {
				t.Errorf("%t %v %+v", ok, err, f)
			}
		})
	}
	t.Run("a whole list is taken whatever its version", func(t *testing.T) {
		f := versionTracker{zones: zones, version: 43, needsFullList: true}
		if _, ok, err := f.accept([]byte(fmt.Sprintf(one, "2", "true", "ready", "0"))); !ok || err != nil || f.version != 2 || f.needsFullList {
			t.Errorf("%t %v %+v", ok, err, f)
		}
	})
	t.Run("many servers decode", func(t *testing.T) {
		var m struct{ Servers []map[string]any }
		for k := range 300 {
			m.Servers = append(m.Servers, map[string]any{"id": "s-" + strconv.Itoa(k), "zone": "a", "state": "ready"})
		}
		raw, _ := json.Marshal(map[string]any{"version": 1, "full": true, "servers": m.Servers})
		if l, err := parseEndpointList(raw, zones); err != nil || len(l.entries) != 300 {
			t.Errorf("%d %v", len(l.entries), err)
		}
	})
}
