package weighttable

import "testing"

// A proxy whose groups were on one table and move to two must hear of both, and of the first one no longer.
func TestAProxyMovesByGroup(t *testing.T) {
	b := NewBook[string](2)
	held := make([]*Table[string], 2)
	one, two := b.Table(1), b.Table(2)
	b.Bind("p", held, one, []int{0, 1})
	b.Bind("p", held, two, []int{0})
	if len(one.Users) != 1 || len(two.Users) != 1 || held[0] != two || held[1] != one {
		t.Errorf("half moved: %v %v", one.Users, two.Users)
	}
	b.Bind("p", held, two, []int{1})
	if len(one.Users) != 0 || len(two.Users) != 1 {
		t.Errorf("all moved: %v %v", one.Users, two.Users)
	}
	if b.Leave("p", held); len(two.Users) != 0 || held[0] != nil || held[1] != nil {
		t.Errorf("left: %v", two.Users)
	}
}

func TestLines(t *testing.T) {
	b := NewBook[string](1)
	x := b.Table(7)
	x.Set("s", 0.5)
	x.Set("r", 1)
	x.Set("s", 0.7)
	if x.Weight("s") != 0.7 || x.Weight("r") != 1 || x.Lines[0].Server != "s" || b.Table(7) != x {
		t.Errorf("%v", x.Lines)
	}
	if x.Set("s", 0); x.Find("s") != -1 || x.Weight("s") != 0 || len(x.Lines) != 1 {
		t.Errorf("%v", x.Lines)
	}
	b.Withdraw("r", true)
	if !b.Out["r"] {
		t.Error("not withdrawn")
	}
	if b.Withdraw("r", false); len(b.Out) != 0 {
		t.Error("a server let back is still kept")
	}
}
