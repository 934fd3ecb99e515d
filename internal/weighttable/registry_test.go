package weighttable

import "testing"

// A proxy whose groups were on one table and move to two must hear of both, and of the first one no longer.
func TestAProxyMovesByGroup(t *testing.T) {
	b := NewRegistry[string](2)
	held := make([]*Table[string], 2)
	one, two := b.Table(1), b.Table(2)
	b.Assign("p", held, one, []int{0, 1})
	b.Assign("p", held, two, []int{0})
	if len(one.Proxies) != 1 || len(two.Proxies) != 1 || held[0] != two || held[1] != one {
		t.Errorf("half moved: %v %v", one.Proxies, two.Proxies)
	}
	b.Assign("p", held, two, []int{1})
	if len(one.Proxies) != 0 || len(two.Proxies) != 1 {
		t.Errorf("all moved: %v %v", one.Proxies, two.Proxies)
	}
	if b.RemoveProxy("p", held); len(two.Proxies) != 0 || held[0] != nil || held[1] != nil {
		t.Errorf("left: %v", two.Proxies)
	}
}

func TestLines(t *testing.T) {
	b := NewRegistry[string](1)
	x := b.Table(7)
	x.Set("s", 0.5)
	x.Set("r", 1)
	x.Set("s", 0.7)
	if x.Weight("s") != 0.7 || x.Weight("r") != 1 || x.Entries[0].Server != "s" || b.Table(7) != x {
		t.Errorf("%v", x.Entries)
	}
	if x.Set("s", 0); x.Index("s") != -1 || x.Weight("s") != 0 || len(x.Entries) != 1 {
		t.Errorf("%v", x.Entries)
	}
	b.SetEjected("r", true)
	if !b.Ejected["r"] {
		t.Error("not withdrawn")
	}
	if b.SetEjected("r", false); len(b.Ejected) != 0 {
		t.Error("a server let back is still kept")
	}
}
