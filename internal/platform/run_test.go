package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"lichenpick/internal/clock"
)

// catalog is a stand-in of discovery's agent: a whole list, and a watch that can be sent lines, rubbish or an end.
type catalog struct {
	*httptest.Server
	mu     sync.Mutex
	whole  string
	asked  []string
	writes chan string // to the watch that is open; "" ends it
	opened chan bool   // a watch was asked for
}

func newCatalog(t *testing.T, whole string) *catalog {
	c := &catalog{whole: whole, writes: make(chan string), opened: make(chan bool, 64)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.asked = append(c.asked, r.URL.RawQuery)
		whole := c.whole
		c.mu.Unlock()
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, whole)
			return
		}
		w.(http.Flusher).Flush()
		c.opened <- true
		for {
			select {
			case text := <-c.writes:
				if text == "" {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	return c
}

func (c *catalog) at() string { return strings.TrimPrefix(c.URL, "http://") }

func (c *catalog) queries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.asked...)
}

func list(version int, full bool, servers ...string) string {
	var all []string
	for _, s := range servers {
		name, state, _ := strings.Cut(s, ":")
		all = append(all, fmt.Sprintf(`{"id":"%s","addr":"127.0.0.1:1","zone":"a","state":"%s","weight":1,"started_ms":0}`, name, state))
	}
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`+"\n", version, full, strings.Join(all, ","))
}

func config(discovery string, sockets int) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`,
		discovery, sockets, list(1, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:ready"), testSettings)
}

// daemon runs a planner on loopback until the test ends.
type daemon struct {
	t      *testing.T
	at     string
	path   string
	hangup chan os.Signal
	done   chan error
	stop   context.CancelFunc
}

func serve(t *testing.T, text string) *daemon {
	t.Helper()
	return serveWith(t, text, nil)
}

// serveWith lets a test put hooks into the seams, and sees to it that nothing of the planner is left when it has ended.
func serveWith(t *testing.T, text string, hook func(*Options)) *daemon {
	t.Helper()
	before := remains(t)
	d := &daemon{t: t, path: filepath.Join(t.TempDir(), "config.json"), hangup: make(chan os.Signal, 1), done: make(chan error, 1)}
	d.write(text)
	c, err := ReadConfig(d.path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan net.Addr, 1)
	d.stop = stop
	o := Options{
		Config: c, Reload: func() (Config, error) { return ReadConfig(d.path) }, Hangup: d.hangup,
		Clock: clock.NewReal(), Network: clock.TCP{}, Log: slog.New(slog.DiscardHandler), Ready: func(a net.Addr) { ready <- a },
	}
	if hook != nil {
		hook(&o)
	}
	go func() { d.done <- Run(ctx, o) }()
	d.at = (<-ready).String()
	t.Cleanup(func() {
		stop()
		if err := <-d.done; err != nil {
			t.Errorf("ended with %v", err)
		}
		before.compare()
	})
	return d
}

func (d *daemon) write(text string) {
	if err := os.WriteFile(d.path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// peer is a proxy, a collector or a stranger.
type peer struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (d *daemon) dial(say string) *peer {
	conn, err := net.Dial("tcp", d.at)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(clock.NewReal().Deadline(30000)) // a hang fails; no verdict goes by time
	p := &peer{conn, d.t, bufio.NewReader(conn)}
	p.say(say)
	return p
}

func (p *peer) say(text string) {
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// until reads lines until one holds a text.
func (p *peer) until(text string) {
	p.t.Helper()
	for {
		line, err := p.r.ReadString('\n')
		if err != nil {
			p.t.Fatalf("no %q came: %v", text, err)
		}
		if strings.Contains(line, text) {
			return
		}
	}
}

// untilAll reads lines until each text has come, in any order.
func (p *peer) untilAll(texts ...string) {
	p.t.Helper()
	for len(texts) > 0 {
		line, err := p.r.ReadString('\n')
		if err != nil {
			p.t.Fatalf("no %q came: %v", texts, err)
		}
		texts = slices.DeleteFunc(texts, func(text string) bool { return strings.Contains(line, text) })
	}
}

// closed reads until the connection ends, and gives what came.
func (p *peer) closed() string {
	p.t.Helper()
	text, err := io.ReadAll(p.r)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		p.t.Fatal("it was not closed")
	}
	return string(text)
}

func TestRun(t *testing.T) {
	c := newCatalog(t, list(9, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:ready"))
	d := serve(t, config(c.at(), 64))
	<-c.opened
	a := d.dial("ping\r\njoined id=1 site=a rps=10")
	a.until(wirePong)
	a.say(" new=1\r\n")
	a.until("replace=1")
	collector := d.dial("collector site=a\r\n")
	t.Run("a watch that sends rubbish is left for the whole list, and a drain in it is obeyed", func(t *testing.T) {
		c.writes <- "{\"version\":2,\"fu\n"
		<-c.opened
		c.writes <- list(12, false, "s-2:draining")
		a.until("s-2")
		asked := c.queries()
		if len(asked) < 3 || asked[0] != "follow=1&since=1" || asked[1] != "" || asked[2] != "follow=1&since=9" {
			t.Errorf("asked for %q", asked)
		}
	})
	t.Run("a watch that is cut in a line is taken up again from the version before", func(t *testing.T) {
		c.writes <- `{"version":13,"full":false,`
		c.writes <- ""
		<-c.opened
		c.writes <- list(14, false, "s-3:draining")
		a.until("s-3")
		if asked := c.queries(); asked[len(asked)-1] != "follow=1&since=12" {
			t.Errorf("asked for %q", asked)
		}
	})
	t.Run("strangers are refused and cost a proxy nothing", func(t *testing.T) {
		var all []*peer
		for n := range 120 { // more than there are descriptors for
			all = append(all, d.dial([]string{"", "joined id", "ping\r\n", "GET / HTTP/1.1\r\n\r\n"}[n%4]))
		}
		for _, p := range all {
			p.closed()
		}
		b := d.dial("joined id=2 site=b rps=10 new=1\r\n")
		b.until("replace=1")
		a.say("ping\r\n")
		a.until(wirePong)
		collector.say("ping\r\n")
		collector.until(wirePong)
	})
	t.Run("a stream that is reset leaves the others alone, and its proxy comes back", func(t *testing.T) {
		b := d.dial("joined id=3 site=b rps=10 new=1\r\n")
		b.until("replace=1")
		b.Conn.(*net.TCPConn).SetLinger(0)
		b.Close()
		b = d.dial("joined id=3 site=b rps=10 new=0\r\n")
		b.until("replace=1")
	})
	t.Run("a configuration that can't be used is refused, and a new one moves discovery with no stream lost", func(t *testing.T) {
		next := newCatalog(t, list(20, true, "s-1:ready", "s-4:ready"))
		d.write(`{"name":"n0","disc`)
		d.hangup <- syscall.SIGHUP
		a.say("ping\r\n")
		a.until(wirePong)
		d.write(config(next.at(), 64)) // with no further signal: the first came while it was written
		<-next.opened
		next.writes <- list(21, false, "s-4:draining")
		a.until("s-4")
		if asked := next.queries(); asked[0] != "follow=1&since=14" {
			t.Errorf("asked for %q", asked)
		}
	})
	t.Run("nothing but pong was written to the collector", func(t *testing.T) {
		d.stop()
		if text := collector.closed(); text != "" {
			t.Errorf("%q", text)
		}
	})
}

func TestReadConfig(t *testing.T) {
	good := config("127.0.0.1:1", 64)
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":          {`{"name"`, `{"name`, "invalid"},
		"no seed":           {`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		"no address":        {`"discovery":"127.0.0.1:1"`, `"discovery":""`, "discovery"},
		"no settings":       {`"settings"`, `"other"`, "settings"},
		"a wrong type":      {`"Balancers":2`, `"Balancers":"two"`, "Balancers"},
		"no zones":          {`"Azs":["a","b"]`, `"Azs":[]`, "zones"},
		"a name twice":      {`"Azs":["a","b"]`, `"Azs":["a","a"]`, "twice"},
		"no proxies":        {`"DataPlaneSize":8`, `"DataPlaneSize":0`, "proxies"},
		"a list that's odd": {`"state":"ready"`, `"state":"asleep"`, "known"},
	} {
		t.Run("one clear error: "+name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "c.json")
			os.WriteFile(path, []byte(strings.Replace(good, c.old, c.new, 1)), 0o600)
			_, err := ReadConfig(path)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, not one line with %q", err, c.want)
			}
		})
	}
	if _, err := ReadConfig(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file was read")
	}
}
