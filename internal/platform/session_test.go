package platform

import (
	"strings"
	"testing"
)

func TestNewerStreamReplacesOlder(t *testing.T) {
	h := startCore(t)
	older := h.join(3)
	h.advance(1000)
	newer := h.join(3)
	h.advance(1000)
	t.Run("a newer stream of a proxy replaces the older one and is sent the complete table", func(t *testing.T) {
		if h.proxies.byID[3] == nil || h.proxies.byID[3].connection != newer || !strings.Contains(h.sent[newer], "replace=1") {
			t.Errorf("the newer stream was sent %q", h.sent[newer])
		}
	})
	t.Run("the end of the older stream does not remove the proxy", func(t *testing.T) {
		h.HandleDisconnect(older)
		if !h.closed[older] || h.proxies.byID[3] == nil || len(h.proxies.joined) != 1 {
			t.Errorf("closed %t, joined %d", h.closed[older], len(h.proxies.joined))
		}
	})
	t.Run("the end of the newer stream removes the proxy", func(t *testing.T) {
		h.HandleDisconnect(newer)
		if h.proxies.byID[3] != nil || len(h.proxies.joined) != 0 || h.OpenConnections() != 0 {
			t.Errorf("joined %d, open %d", len(h.proxies.joined), h.OpenConnections())
		}
	})
	t.Run("a proxy with tables of another planner readmits servers that it may have ejected", func(t *testing.T) {
		connection := h.connect("joined id=4 site=b rps=10 new=0")
		h.advance(1000)
		if !strings.Contains(h.sent[connection], "undrop=s-") {
			t.Errorf("no readmission in %q", h.sent[connection])
		}
	})
}

// TestCloseSendsPendingReplies checks that closing a connection discards neither its own pending replies nor anything of
// other connections.
func TestCloseSendsPendingReplies(t *testing.T) {
	t.Run("a long message in the same read as the join may have the length of joined connections", testLongMessageBehindJoin)
	t.Run("connections closed in one evaluation keep their own reasons", func(t *testing.T) {
		h := startCore(t)
		older := h.join(3)
		newer := h.connect()
		h.HandleData(newer, []byte("joined id=3 site=a rps=10 new=0\r\n")) // closed in the same evaluation as the connection below
		unreadable := h.connect()
		h.HandleData(unreadable, []byte("GET / HTTP/1.1\r\n"))
		h.advance(0)
		if h.reasons[older] != CloseReplacedStream || h.reasons[unreadable] != CloseUnreadable {
			t.Errorf("close reasons %v and %v", h.reasons[older], h.reasons[unreadable])
		}
	})
	t.Run("a connection that is shed is sent its pong first", func(t *testing.T) {
		h := startCore(t)
		connection := h.connect()
		h.HandleData(connection, []byte("ping\r\n"))
		if !h.ShedConnection(h) || h.sent[connection] != "pong\r\nrefused\r\n" || !h.closed[connection] {
			t.Errorf("closed %t, sent %q", h.closed[connection], h.sent[connection])
		}
		h.advance(0)
		if h.sent[connection] != "pong\r\nrefused\r\n" {
			t.Errorf("sent %q", h.sent[connection])
		}
	})
	t.Run("incomplete messages share a memory limit, and the longest is closed first", testPartialMemory)
}

func testLongMessageBehindJoin(t *testing.T) {
	h := startCore(t)
	connection := h.connect()
	long := demandMessage(3) + " extra=" + strings.Repeat("1", 2*maxFirstMessageBytes)
	h.HandleData(connection, []byte("joined id=3 site=a rps=10 new=1\r\n"+long+lineEnd+long[:2*maxFirstMessageBytes]))
	h.HandleData(connection, []byte(long[2*maxFirstMessageBytes:]+lineEnd))
	h.advance(0)
	if h.closed[connection] || h.Counts.DemandReports != 2 || h.Counts.Unreadable != 0 {
		t.Errorf("closed %t, %+v", h.closed[connection], h.Counts)
	}
}

func testPartialMemory(t *testing.T) {
	h := startCore(t)
	h.MaxPartialBytes = 1 << 20
	var connections []*Connection
	for id := range 4 {
		connection := h.join(id)
		h.HandleData(connection, []byte("usage id=0 x="+strings.Repeat("1", (id+1)<<17)))
		connections = append(connections, connection)
	}
	h.advance(0)
	for id, connection := range connections {
		if longest := id == 3; h.closed[connection] != longest {
			t.Errorf("connection %d: closed %t", id, h.closed[connection])
		}
	}
	if h.sessions.partialBytes > h.MaxPartialBytes || len(h.proxies.joined) != 3 {
		t.Errorf("%d bytes held, %d proxies joined", h.sessions.partialBytes, len(h.proxies.joined))
	}
	for _, connection := range connections {
		h.HandleData(connection, []byte(lineEnd))
		h.HandleDisconnect(connection)
	}
	if h.sessions.partialBytes != 0 {
		t.Errorf("%d bytes are still counted after all connections have ended", h.sessions.partialBytes)
	}
}

func TestUnjoinedConnectionIsLimited(t *testing.T) {
	h := startCore(t)
	h.join(3)
	collector := h.connect("collector site=a")
	h.advance(500)
	t.Run("an incomplete message over the limit closes it", func(t *testing.T) {
		connection := h.connect()
		h.HandleData(connection, []byte("joined x="+strings.Repeat("1", 2*maxFirstMessageBytes)))
		h.advance(0)
		if !h.closed[connection] {
			t.Errorf("open, with %d bytes of an incomplete message", len(connection.reader.partial))
		}
	})
	t.Run("it is closed at the join timeout, whether it sends nothing, half a message or only pings", func(t *testing.T) {
		silent := h.connect()
		partial := h.connect()
		pinging := h.connect("ping")
		h.HandleData(partial, []byte("joined id"))
		h.advance(2000)
		for _, connection := range []*Connection{silent, partial, pinging} {
			if !h.closed[connection] {
				t.Errorf("open, and sent %q", h.sent[connection])
			}
		}
		if !strings.HasPrefix(h.sent[pinging], "pong\r\n") {
			t.Errorf("sent %q", h.sent[pinging])
		}
	})
	t.Run("the oldest is shed first, and a joined connection never", func(t *testing.T) {
		older := h.connect()
		newer := h.connect()
		if !h.ShedConnection(h) || !h.closed[older] || h.closed[newer] {
			t.Errorf("older closed %t, newer %t", h.closed[older], h.closed[newer])
		}
		if !h.ShedConnection(h) || h.ShedConnection(h) || h.closed[collector] {
			t.Errorf("collector closed %t", h.closed[collector])
		}
	})
}

// FuzzHandleData checks that no received bytes make the core panic, or use more memory than one message takes.
func FuzzHandleData(f *testing.F) {
	f.Add("joined id=3 site=a rps=10 new=1\r\nusage id=3 lane=lookup count=1 fail=0 over=1000\r\napplied id=3 seq=1 ms=2\r\n", 7)
	f.Add("collector site=a\r\nheard site=a target=s-0 count=2 fail=1 mean=1 over=1 util=a:1,b:2\r\nping\r\n", 3)
	f.Add("GET / HTTP/1.1\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		h := newTestHost(t, readTestSettings(t), 3)
		connection := h.connect()
		cut = max(min(cut, len(text)), 0)
		for _, piece := range []string{text[:cut], text[cut:]} {
			h.HandleData(connection, []byte(piece))
			h.advance(100)
		}
		held := len(connection.reader.partial)
		if connection.Unjoined() && held > maxFirstMessageBytes+len(lineEnd) {
			t.Errorf("an unjoined connection holds %d bytes", held)
		}
		if len(h.sent[connection]) > 1<<16 {
			t.Errorf("it was sent %d bytes", len(h.sent[connection]))
		}
	})
}
