package planner

import (
	"net/netip"
	"slices"
	"testing"

	pb "lichenpick/proto/settings"
)

func TestProxyTable(t *testing.T) {
	t.Run("the id of a proxy that left is reused", func(t *testing.T) {
		table := newProxyTable()
		first := &joinedProxy{name: "a"}
		second := &joinedProxy{name: "b"}
		successor := &joinedProxy{name: "c"}
		table.add(first)
		table.add(second)
		table.freeID(first)
		if all := slices.Collect(table.all()); !slices.Equal(all, []*joinedProxy{second}) {
			t.Errorf("wrong joined proxies: %v", all)
		}
		table.add(successor)
		if successor.id != first.id || second.id != 1 {
			t.Errorf("the new proxy has id %d, the second one %d", successor.id, second.id)
		}
	})
	t.Run("a proxy is joined until a newer one has its name", func(t *testing.T) {
		table := newProxyTable()
		old := &joinedProxy{name: "a"}
		successor := &joinedProxy{name: "a"}
		table.add(old)
		table.add(successor)
		if table.isJoined(old) || !table.isJoined(successor) {
			t.Error("the older proxy is still the current one of its name")
		}
	})
	t.Run("only proxies that are commanded are listed as such", func(t *testing.T) {
		table := newProxyTable()
		commanded := &joinedProxy{name: "a", commanded: true}
		table.add(&joinedProxy{name: "b"})
		table.add(commanded)
		if all := slices.Collect(table.commanded()); !slices.Equal(all, []*joinedProxy{commanded}) {
			t.Errorf("wrong commanded proxies: %v", all)
		}
	})
}

func TestZoneTable(t *testing.T) {
	table := newZoneTable([]*pb.Zone{{Name: "a", Prefixes: []string{"127.1.0.0/16"}}, {Name: "b", Prefixes: []string{"127.2.0.9/16"}}})
	for name, variant := range map[string]struct {
		zone    string
		address string
		number  int
		known   bool
	}{
		"a name takes precedence over the address":        {"b", "127.1.0.1", 1, true},
		"an address determines the zone without a name":   {"", "127.2.0.1", 1, true},
		"an IPv4-mapped IPv6 address is the same as IPv4": {"", "::ffff:127.2.0.1", 1, true},
		"an unknown name is not replaced by the address":  {"c", "127.1.0.1", 0, false},
		"an address outside all prefixes has no zone":     {"", "10.0.0.1", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			number, known := table.find(variant.zone, netip.MustParseAddr(variant.address))
			if known != variant.known || number != variant.number {
				t.Errorf("found zone %d, known %v", number, known)
			}
		})
	}
}

func TestAckTracker(t *testing.T) {
	newTracker := func() (*ackTracker, *proxyTable, *joinedProxy) {
		tracker := &ackTracker{timeoutMs: 1000, drainTimeoutMs: 100}
		proxies := newProxyTable()
		p := &joinedProxy{name: "a"}
		proxies.add(p)
		return tracker, &proxies, p
	}
	t.Run("a message must be acknowledged within the timeout", func(t *testing.T) {
		tracker, proxies, p := newTracker()
		tracker.add(p, sentUpdate{number: 1, decidedMs: 50})
		if late := tracker.findLate(1049, proxies); late != nil {
			t.Error("late before its deadline")
		}
		if late := tracker.findLate(1050, proxies); late != p {
			t.Error("not late at its deadline")
		}
	})
	t.Run("an urgent message moves the deadline of earlier messages forward", func(t *testing.T) {
		tracker, proxies, p := newTracker()
		tracker.add(p, sentUpdate{number: 1, decidedMs: 0})
		if late := tracker.findLate(0, proxies); late != nil {
			t.Error("late before its deadline")
		}
		tracker.add(p, sentUpdate{number: 2, decidedMs: 10, urgent: true})
		if late := tracker.findLate(110, proxies); late != p {
			t.Error("not late at the urgent deadline")
		}
	})
	t.Run("a proxy that acknowledged everything is never late", func(t *testing.T) {
		tracker, proxies, p := newTracker()
		tracker.add(p, sentUpdate{number: 1, decidedMs: 0})
		p.unacknowledged = nil
		if late := tracker.findLate(1e6, proxies); late != nil {
			t.Error("late without an unacknowledged message")
		}
	})
}
