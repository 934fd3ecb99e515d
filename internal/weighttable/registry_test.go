package weighttable

import "testing"

// TestAssignByClass checks that a proxy stays in its old table's list of proxies until the last of its traffic classes has
// moved to another table.
func TestAssignByClass(t *testing.T) {
	const proxy = "p"
	registry := NewRegistry[string](2)
	tableByClass := make([]*Table[string], 2)
	first := registry.Table(1)
	second := registry.Table(2)
	registry.Assign(proxy, tableByClass, first, []int{0, 1})
	registry.Assign(proxy, tableByClass, second, []int{0})
	if len(first.Proxies) != 1 || len(second.Proxies) != 1 || tableByClass[0] != second || tableByClass[1] != first {
		t.Errorf("after one class moved: first table has proxies %v, second has %v", first.Proxies, second.Proxies)
	}
	registry.Assign(proxy, tableByClass, second, []int{1})
	if len(first.Proxies) != 0 || len(second.Proxies) != 1 {
		t.Errorf("after all classes moved: first table has proxies %v, second has %v", first.Proxies, second.Proxies)
	}
	registry.RemoveProxy(proxy, tableByClass)
	if len(second.Proxies) != 0 || tableByClass[0] != nil || tableByClass[1] != nil {
		t.Errorf("after RemoveProxy: second table has proxies %v, the proxy's tables are %v", second.Proxies, tableByClass)
	}
}

// TestSetEjected checks that a readmitted server has no key in Ejected, because callers iterate over all keys.
func TestSetEjected(t *testing.T) {
	registry := NewRegistry[string](1)
	registry.SetEjected("r", true)
	if !registry.Ejected["r"] {
		t.Error("the server is not ejected after SetEjected(true)")
	}
	registry.SetEjected("r", false)
	if len(registry.Ejected) != 0 {
		t.Errorf("after SetEjected(false): Ejected = %v, want an empty map", registry.Ejected)
	}
}
