package planner

import (
	"net/netip"

	"github.com/gaissmai/bart"

	pb "lichenpick/proto/settings"
)

// zoneTable finds a proxy's zone, by name or by address. It does not change once made.
type zoneTable struct {
	names     []string // by number
	byName    map[string]int
	byAddress *bart.Table[int]
}

// newZoneTable makes the table of checked settings: their prefixes are known to parse.
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

// find returns the number of a zone by its name, or by an address if the name is empty.
func (t *zoneTable) find(name string, address netip.Addr) (number int, known bool) {
	if name == "" {
		return t.byAddress.Lookup(address.Unmap())
	}
	number, known = t.byName[name]
	return number, known
}
