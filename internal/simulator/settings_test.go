package simulator

import (
	"fmt"
	"strings"
	"testing"
)

// TestZeroLimitIsUnlimited checks that a limit of 0 or an omitted limit does not restrict weight tables. When limits of 0
// connections and of 0 ms idle time were taken literally, every table had only the minimum number of entries.
func TestZeroLimitIsUnlimited(t *testing.T) {
	stated := longestTable(t, `,"SmallestConnTable":1000},"Limits":{"ConnIdleMs":60000`)
	for _, limits := range []string{`},"Limits":{`, `,"SmallestConnTable":0},"Limits":{"ConnIdleMs":0`} {
		if entries := longestTable(t, limits); entries != stated || entries < 30 {
			t.Errorf("the longest table has %d entries with %q, and %d with limits that have no effect", entries, limits, stated)
		}
	}
}

// longestTable runs a planner with one proxy and 40 servers, and returns the number of entries of the longest weight table. The
// text limits is inserted at the end of the object FamilyInfo. The text must close that object and may begin the object Limits.
func longestTable(t *testing.T, limits string) int {
	t.Helper()
	var servers []string
	for number := range 40 {
		servers = append(servers, fmt.Sprintf(`{"Server":"10.0.0.%d:1","Hall":%d,"Availability":"SERVING","W":1}`, number, number%2))
	}
	open := `{"what":"OpenInstance","Who":"p","RandomSeed":1,"Info":{"Azs":["a","b"],` +
		`"Classes":[{"AimMs":600,"Worth":1,"Repeat":"read_like"}],"Balancers":1,"FamilyInfo":{"ChannelRate":2500,"PerMessage":4,` +
		`"MostWaiting":3500,"DataPlaneSize":4,"ReportEveryMs":1000` + limits + `}}}`
	list := `{"what":"Registry","Who":"p","Number":1,"Form":"restored","NodesList":[` + strings.Join(servers, ",") + `]}`
	connect := `{"what":"DialledIn","Who":"p","Active":true,"Proxy":1,"W":60,"Hall":0}`
	replies, _, err := serve(batch("1000", open+","+list) + batch("1500", connect))
	if err != nil {
		t.Fatal(err)
	}
	longest := 0
	for table := range 8 {
		entries := strings.Count(strings.Join(replies, ""), fmt.Sprintf(`"MapId":%d}`, table))
		longest = max(longest, entries)
	}
	return longest
}
