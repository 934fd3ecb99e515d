package platform

import (
	"strings"
	"testing"
)

func TestInvalidFirstMessageIsRefused(t *testing.T) {
	h := startCore(t)
	h.join(3)
	h.connect("collector site=a")
	h.advance(500)
	for name, first := range map[string]string{
		"HTTP":                           "GET / HTTP/1.1",
		"a proxy out of range":           "joined id=8 site=a rps=1 new=1",
		"no such zone":                   "joined id=4 site=c rps=1 new=1",
		"a rate that is not a number":    "joined id=4 site=a rps=NaN new=1",
		"a collector of an unknown zone": "collector site=zz",
		"a report before joining":        demandMessage(3),
		"an update":                      "update for=lookup rows=s-0:1",
		"a long word":                    strings.Repeat("j", 4000),
		"a long message":                 "joined " + strings.Repeat("x=1 ", 4000),
		"control bytes":                  "joined\x00 id=4",
	} {
		t.Run("refused: "+name, func(t *testing.T) {
			connection := h.connect(first)
			if !h.closed[connection] || h.sent[connection] != "refused\r\n" {
				t.Errorf("closed %t, sent %q", h.closed[connection], h.sent[connection])
			}
		})
	}
}

func TestInvalidMessageKeepsConnectionOpen(t *testing.T) {
	h := startCore(t)
	h.join(3)
	collector := h.connect("collector site=a")
	h.advance(500)
	for _, line := range []string{
		"heard site=a target=s-0 count=2 fail=3 mean=1 over=1000",
		"heard site=a target=s-0 count=2 fail=1 mean=inf over=1000",
		"heard site=a target=s-99 count=2 fail=1 mean=1 over=1000",
		"heard site=a target=s-0 count=-2 fail=0 mean=1 over=1000",
		"heard site=a target=s-0 count=x fail=0 mean=1 over=1000",
		"heard target=s-0 count=2 fail=0 mean=1 over=1000",
		"heard site=a target=s-0 count=2 fail=0 mean=1 over=1000 util=inflight:-3",
		"usage id=77 lane=lookup count=1 fail=0 over=1000",
		"usage id=3 lane=none count=1 fail=0 over=1000",
		"usage id=3 lane=lookup count=1 count=1 fail=0 over=1000",
		"heard",
	} {
		t.Run("rejected: "+line, func(t *testing.T) {
			before := h.Counts
			h.receive(collector, line, "heard site=a target=s-0 count=2 fail=1 mean=1 over=1000 util=inflight:7")
			if h.Counts.RejectedMessages != before.RejectedMessages+1 || h.Counts.LoadReports != before.LoadReports+1 {
				t.Errorf("want one rejected message and one load report more: %+v", h.Counts)
			}
			if h.Counts.DemandReports != before.DemandReports || h.closed[collector] {
				t.Errorf("demand report accepted or connection closed: %+v, closed %t", h.Counts, h.closed[collector])
			}
		})
	}
	t.Run("a collector is only sent pongs", func(t *testing.T) {
		h.receive(collector, "ping")
		if h.sent[collector] != "pong\r\n" {
			t.Errorf("sent %q", h.sent[collector])
		}
	})
}

func TestInvalidMessagesOnStreams(t *testing.T) {
	h := startCore(t)
	connection := h.join(3)
	h.advance(500)
	sentBefore := h.sent[connection]
	t.Run("an acknowledgement that was not requested is rejected", func(t *testing.T) {
		before := h.Counts
		h.receive(connection, "applied id=3 seq=60000 ms=1")
		if h.Counts.Acknowledgements != before.Acknowledgements || h.closed[connection] {
			t.Errorf("acknowledgement accepted or connection closed: %+v", h.Counts)
		}
	})
	t.Run("an update is rejected, and an unknown kind closes the stream", func(t *testing.T) {
		other := h.connect("joined id=5 site=a rps=1 new=1")
		before := h.Counts
		h.receive(other, "update rows=s-1:1")
		if h.Counts.RejectedMessages != before.RejectedMessages+1 || h.closed[other] {
			t.Errorf("want one rejected message more and the connection open: %+v", h.Counts)
		}
		h.receive(other, "usa")
		if !h.closed[other] {
			t.Error("the stream was not closed")
		}
	})
	t.Run("unreadable bytes close a joined stream without a refusal", func(t *testing.T) {
		h.HandleData(connection, []byte("\x01\x02garbage"))
		h.advance(0)
		refused := strings.Contains(strings.TrimPrefix(h.sent[connection], sentBefore), wireRefused)
		if !h.closed[connection] || h.proxies.byID[3] != nil || refused {
			t.Errorf("closed %t, refused %t", h.closed[connection], refused)
		}
	})
}
