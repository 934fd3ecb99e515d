package platform

import (
	"bufio"
	"context"
	"errors"
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
	"time"

	"lichenpick/internal/clock"
)

const (
	peerTimeoutMs = 30000.0 // ms after which a test that hangs fails; passing tests do not depend on this time
	rejoinText    = "joined id=1 site=a rps=10 new=0\r\n"
	joinText      = "joined id=1 site=a rps=10 new=1\r\n"
)

// fakeDiscovery is a discovery agent with a complete list, and with a watch on which a test can send lines or invalid data,
// and which a test can end.
type fakeDiscovery struct {
	*httptest.Server
	lines   chan string // lines that are sent on the open watch; "" ends the watch
	watched chan bool   // receives a value for each watch that is requested

	mu              sync.Mutex // guards the fields below
	fullList        string
	receivedQueries []string // in the order of arrival
}

func newFakeDiscovery(t *testing.T, fullList string) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{fullList: fullList, lines: make(chan string), watched: make(chan bool, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.receivedQueries = append(d.receivedQueries, r.URL.RawQuery)
	fullList := d.fullList
	d.mu.Unlock()
	if r.URL.Query().Get("follow") == "" {
		writeText(w, fullList)
		return
	}
	w.(http.Flusher).Flush()
	d.watched <- true
	for {
		select {
		case text := <-d.lines:
			if text == "" {
				return
			}
			writeText(w, text)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// writeText writes part of a response. It ignores errors, as the client may have disconnected.
func writeText(w io.Writer, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		return
	}
}

func (d *fakeDiscovery) address() string { return strings.TrimPrefix(d.URL, "http://") }

func (d *fakeDiscovery) queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.receivedQueries)
}

// setFullList replaces the complete list, and returns the number of queries that arrived before.
func (d *fakeDiscovery) setFullList(fullList string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullList = fullList
	return len(d.receivedQueries)
}

// awaitQueries waits until a number of queries have arrived.
func (d *fakeDiscovery) awaitQueries(count int) {
	for len(d.queries()) < count {
		pause()
	}
}

// listText returns an endpoint list in one line. Servers are given as NAME:STATE.
func listText(version int, full bool, servers ...string) string {
	var all []string
	for _, server := range servers {
		name, state, _ := strings.Cut(server, ":")
		all = append(all, fmt.Sprintf(`{"id":"%s","addr":"127.0.0.1:1","zone":"a","state":"%s","weight":1,"started_ms":0}`, name, state))
	}
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`+"\n", version, full, strings.Join(all, ","))
}

func configText(discovery string, sockets int) string {
	known := listText(1, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:ready")
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":%d},"known":%s,"settings":%s}`, discovery, sockets, known, testSettings)
}

// writeConfig writes a configuration file.
func writeConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// parsedConfig reads a configuration file.
func parsedConfig(t *testing.T, path string) Config {
	t.Helper()
	config, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// testPlanner is a planner that runs on a loopback address until the test ends.
type testPlanner struct {
	t       *testing.T
	address string
	path    string // path of the configuration file of the planner
	hangup  chan os.Signal
	done    chan error
	stop    context.CancelFunc
}

// startPlanner starts a planner that follows a discovery agent.
func startPlanner(t *testing.T, discovery *fakeDiscovery) *testPlanner {
	t.Helper()
	return startPlannerWith(t, configText(discovery.address(), 64), nil)
}

// startPlannerWith starts a planner whose options a test can change, and checks for leaks after the planner has ended.
func startPlannerWith(t *testing.T, config string, hook func(*Options)) *testPlanner {
	t.Helper()
	leaks := startLeakCheck(t)
	p := &testPlanner{
		t:      t,
		path:   filepath.Join(t.TempDir(), "config.json"),
		hangup: make(chan os.Signal, 1),
		done:   make(chan error, 1),
	}
	p.configure(config)
	ready := make(chan net.Addr, 1)
	options := Options{
		Config:  parsedConfig(t, p.path),
		Reload:  func() (Config, error) { return ReadConfig(p.path) },
		Hangup:  p.hangup,
		Clock:   clock.NewReal(),
		Network: clock.TCP{},
		Log:     slog.New(slog.DiscardHandler),
		Ready:   func(address net.Addr) { ready <- address },
	}
	if hook != nil {
		hook(&options)
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context())) // canceled after the peers are closed
	p.stop = stop
	go func() { p.done <- Run(ctx, options) }()
	p.address = (<-ready).String()
	t.Cleanup(func() {
		stop()
		if err := <-p.done; err != nil {
			t.Errorf("Run ended with %v", err)
		}
		leaks.finish()
	})
	return p
}

func (p *testPlanner) configure(text string) {
	p.t.Helper()
	writeConfig(p.t, p.path, text)
}

// reload makes the planner read its configuration again.
func (p *testPlanner) reload() { p.hangup <- syscall.SIGHUP }

// testPeer is the client side of a connection to a planner: a proxy, a collector or another client.
type testPeer struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// dial connects a peer that sends a text.
func (p *testPlanner) dial(text string) *testPeer {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	peer := &testPeer{conn, p.t, bufio.NewReader(conn)}
	p.t.Cleanup(peer.close)
	if err := conn.SetDeadline(clock.NewReal().Deadline(peerTimeoutMs)); err != nil {
		p.t.Fatal(err)
	}
	peer.write(text)
	return peer
}

func (p *testPeer) write(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.Conn, text); err != nil {
		p.t.Fatal(err)
	}
}

// close closes the connection, unless it is closed already.
func (p *testPeer) close() {
	if err := p.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		p.t.Error(err)
	}
}

// reset closes the connection with a TCP reset.
func (p *testPeer) reset() {
	if err := p.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		p.t.Error(err)
	}
	p.close()
}

// closeWrite closes the sending side of the connection.
func (p *testPeer) closeWrite() {
	if err := p.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		p.t.Error(err)
	}
}

// readLine reads a line, including its line end.
func (p *testPeer) readLine() string {
	p.t.Helper()
	line, err := p.reader.ReadString('\n')
	if err != nil {
		p.t.Fatal(err)
	}
	return line
}

// await reads lines until one contains a text.
func (p *testPeer) await(text string) {
	p.t.Helper()
	p.awaitAll(text)
}

// awaitAll reads lines until each text has been found in one of them, in any order.
func (p *testPeer) awaitAll(texts ...string) {
	p.t.Helper()
	for len(texts) > 0 {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.t.Fatalf("did not receive %q: %v", texts, err)
		}
		texts = slices.DeleteFunc(texts, func(text string) bool { return strings.Contains(line, text) })
	}
}

// readAll reads until the connection ends, by a close or a reset, and returns what was received.
func (p *testPeer) readAll() string {
	p.t.Helper()
	text, err := io.ReadAll(p.reader)
	var networkError net.Error
	if errors.As(err, &networkError) && networkError.Timeout() {
		p.t.Fatal("the connection was not closed")
	}
	return string(text)
}

// hookedConn is an accepted connection whose methods a test can replace. A nil hook leaves the method unchanged.
type hookedConn struct {
	net.Conn
	read, write func(buffer []byte) (int, error)
	deadline    func() // called when a write deadline is set
}

func (c *hookedConn) Read(buffer []byte) (int, error) {
	if c.read != nil {
		return c.read(buffer)
	}
	return c.Conn.Read(buffer)
}

func (c *hookedConn) Write(buffer []byte) (int, error) {
	if c.write != nil {
		return c.write(buffer)
	}
	return c.Conn.Write(buffer)
}

func (c *hookedConn) SetWriteDeadline(at time.Time) error {
	if c.deadline != nil {
		c.deadline()
	}
	return c.Conn.SetWriteDeadline(at)
}

// hookedNetwork is a network that passes each accepted connection to a test before the planner gets it.
type hookedNetwork struct {
	clock.TCP
	accepted func(*hookedConn)
}

type hookedListener struct {
	net.Listener
	network hookedNetwork
}

func (n hookedNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := n.TCP.Listen(ctx, address)
	return hookedListener{listener, n}, err
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	hooked := &hookedConn{Conn: conn}
	l.network.accepted(hooked)
	return hooked, nil
}

// scaledClock is the real clock with the time sped up by one factor, and the time to deadlines multiplied by another.
type scaledClock struct {
	*clock.Real
	speed, deadline float64
}

func (c scaledClock) Monotonic() float64            { return c.speed * c.Real.Monotonic() }
func (c scaledClock) Deadline(ms float64) time.Time { return c.Real.Deadline(ms * c.deadline) }

func (c scaledClock) NewTimer(ms float64) (<-chan time.Time, func()) {
	return c.Real.NewTimer(ms / c.speed)
}

// extendedDeadlines returns a clock whose deadlines do not expire while a test blocks something.
func extendedDeadlines() clock.Clock { return scaledClock{clock.NewReal(), 1, 100} }

// after returns a channel that fires after a time, for events that should not happen. The results of correct code do not
// depend on the length of that time.
func after(ms float64) <-chan time.Time {
	fired, _ := clock.NewReal().NewTimer(ms)
	return fired
}

// pause waits for a moment between two checks of a condition.
func pause() { <-after(1) }
