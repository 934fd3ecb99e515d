package simulator

import (
	"fmt"
	"strings"
	"testing"
)

// A limit of 0, or one left out, is no limit. Taken as it stood, 0 connections and 0 ms of idling cut every table down to its
// least lines.
func TestALimitOfNothingIsNone(t *testing.T) {
	lines := func(limits string) int {
		var list []string
		for n := range 40 {
			list = append(list, fmt.Sprintf(`{"Server":"10.0.0.%d:1","Hall":%d,"Availability":"SERVING","W":1}`, n, n%2))
		}
		got, _, err := serve(batch("1000", `{"what":"OpenInstance","Who":"p","RandomSeed":1,"Info":{"Azs":["a","b"],`+
			`"Classes":[{"AimMs":600,"Worth":1,"Repeat":"read_like"}],"Balancers":1,"FamilyInfo":{"ChannelRate":2500,"PerMessage":4,`+
			`"MostWaiting":3500,"DataPlaneSize":4,"ReportEveryMs":1000`+limits+`}}},`+
			`{"what":"Registry","Who":"p","Number":1,"Form":"restored","NodesList":[`+strings.Join(list, ",")+`]}`) +
			batch("1500", `{"what":"DialledIn","Who":"p","Active":true,"Proxy":1,"W":60,"Hall":0}`))
		if err != nil {
			t.Fatal(err)
		}
		most := 0
		for table := range 8 {
			most = max(most, strings.Count(strings.Join(got, ""), fmt.Sprintf(`"MapId":%d}`, table)))
		}
		return most
	}
	stated := lines(`,"SmallestConnTable":1000},"Limits":{"ConnIdleMs":60000`)
	for _, limits := range []string{`},"Limits":{`, `,"SmallestConnTable":0},"Limits":{"ConnIdleMs":0`} {
		if n := lines(limits); n != stated || n < 30 {
			t.Errorf("%d lines in the longest table with %q, %d where limits do not bind", n, limits, stated)
		}
	}
}
