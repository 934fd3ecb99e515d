package weighttable

import "testing"

// TestAssignByClass states that a proxy of which one class moves to another table is a user of both tables, and of the first no
// longer once all classes have moved.
func TestAssignByClass(t *testing.T) {
	const proxy = "p"
	registry := NewRegistry[string](2)
	tableByClass := make([]*Table[string], 2)
	first := registry.Table(1)
	second := registry.Table(2)
	registry.Assign(proxy, tableByClass, first, []int{0, 1})
	registry.Assign(proxy, tableByClass, second, []int{0})
	if len(first.Proxies) != 1 || len(second.Proxies) != 1 || tableByClass[0] != second || tableByClass[1] != first {
		t.Errorf("one class moved: proxies %v and %v", first.Proxies, second.Proxies)
	}
	registry.Assign(proxy, tableByClass, second, []int{1})
	if len(first.Proxies) != 0 || len(second.Proxies) != 1 {
		t.Errorf("all classes moved: proxies %v and %v", first.Proxies, second.Proxies)
	}
	registry.RemoveProxy(proxy, tableByClass)
	if len(second.Proxies) != 0 || tableByClass[0] != nil || tableByClass[1] != nil {
		t.Errorf("removed: proxies %v, tables %v", second.Proxies, tableByClass)
	}
}

// TestSetEjected states that a server has a key only while it is ejected, as users go through all keys.
func TestSetEjected(t *testing.T) {
	registry := NewRegistry[string](1)
	registry.SetEjected("r", true)
	if !registry.Ejected["r"] {
		t.Error("not ejected")
	}
	registry.SetEjected("r", false)
	if len(registry.Ejected) != 0 {
		t.Errorf("ejected after the end of the ejection: %v", registry.Ejected)
	}
}
