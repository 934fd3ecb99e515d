package planner

import (
	"net/netip"

	"github.com/gaissmai/bart"

	pb "lichenpick/proto/settings"
)

// zoneTable maps names and addresses to zones. A zone is a number: its index in the settings. The table is immutable.
type zoneTable struct {
	names     []string // names of the zones, by zone number
	byName    map[string]int
	byAddress *bart.Table[int]
}

// newZoneTable returns a table of the zones of checked settings. It panics if a prefix cannot be parsed, which the check of
// the settings has ruled out.
func newZoneTable(zones []*pb.Zone) zoneTable {
	table := zoneTable{byName: map[string]int{}, byAddress: &bart.Table[int]{}}
	for number, zone := range zones {
		table.names = append(table.names, zone.Name)
		table.byName[zone.Name] = number
		for _, prefix := range zone.Prefixes {
			table.byAddress.Insert(netip.MustParsePrefix(prefix).Masked(), number)
		}
	}
	return table
}

// find returns the zone with a name, or the one that contains an address if the name is empty.
func (t *zoneTable) find(name string, address netip.Addr) (number int, known bool) {
	if name == "" {
		return t.byAddress.Lookup(address.Unmap())
	}
	number, known = t.byName[name]
	return number, known
}
