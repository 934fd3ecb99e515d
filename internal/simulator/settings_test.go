package simulator

import (
	"fmt"
	"strings"
	"testing"
)

// A limit of 0, or one left out, is no limit. Taken as it stood, 0 connections and 0 ms of idle time cut every table down to
// its fewest entries.
func TestZeroLimitIsUnlimited(t *testing.T) {
	stated := longestTable(t, `,"SmallestConnTable":1000},"Limits":{"ConnIdleMs":60000`)
	for _, limits := range []string{`},"Limits":{`, `,"SmallestConnTable":0},"Limits":{"ConnIdleMs":0`} {
		if entries := longestTable(t, limits); entries != stated || entries < 30 {
			t.Errorf("%d entries in the longest table with %q, %d where limits do not bind", entries, limits, stated)
		}
	}
}

// longestTable runs a planner of one proxy and 40 servers, and gives the number of entries of its longest table. The limits
// are spliced into the settings, from within one object into the next.
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
