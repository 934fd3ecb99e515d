package scenario

import (
	"fmt"
	"net/netip"

	"lichenpick/internal/fake"
)

// unknownZone is returned for an address or name that belongs to no zone.
const unknownZone = -1

// dialAddress returns the address from which a zone's proxies dial: 127.ZONE.0.1, where ZONE is the zone's index plus 1.
func dialAddress(zone int) string { return fmt.Sprintf("127.%d.0.1", zone+1) }

// listenAddress returns the address at which a zone's proxies and servers listen. It differs from dialAddress, so that no
// outgoing connection can take the port of a server that is restarted.
func listenAddress(zone int) string { return fmt.Sprintf("127.%d.1.1", zone+1) }

// zoneOf returns the index of the zone to which a proxy's dial address belongs, and unknownZone for an address that is not IPv4.
func zoneOf(from netip.Addr) int {
	if !from.Is4() {
		return unknownZone
	}
	return int(from.As4()[1]) - 1
}

// zoneByName returns the index of the zone with the given name in the script, and unknownZone if the script has no such zone.
func (f *fleet) zoneByName(name string) int {
	for zone, place := range f.script.Places {
		if place.Name == name {
			return zone
		}
	}
	return unknownZone
}

// linkTarget is the target of the links through a relay: a server or a planner. Exactly one of the fields is not nil.
type linkTarget struct {
	server  *serverInstance
	planner *plannerInstance
}

// linkFaultFunc returns the fault of the links from an address to a target. The function is called for each connection, by any
// goroutine.
type linkFaultFunc func(from netip.Addr, to linkTarget) fake.LinkFault

// addLinkFault adds a link fault to those in effect, and returns a function that ends it.
func (f *fleet) addLinkFault(fault linkFaultFunc) (remove func()) {
	f.mu.Lock()
	number := f.nextLinkFault
	f.nextLinkFault++
	f.linkFaults[number] = fault
	f.mu.Unlock()
	f.updateLinks()
	return func() {
		f.mu.Lock()
		delete(f.linkFaults, number)
		f.mu.Unlock()
		f.updateLinks()
	}
}

// updateLinks passes the link faults that are currently in effect to all relays.
func (f *fleet) updateLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := make([]linkFaultFunc, 0, len(f.linkFaults))
	for _, fault := range f.linkFaults {
		active = append(active, fault)
	}
	for _, server := range f.servers {
		server.relay.SetFaults(combineLinkFaults(active, linkTarget{server: server}))
	}
	for _, instance := range f.planners {
		instance.relay.SetFaults(combineLinkFaults(active, linkTarget{planner: instance}))
	}
}

// combineLinkFaults returns a function that combines all active faults of the links from an address to the target. For each
// property, the worst value applies. combineLinkFaults returns nil if there are no active faults.
func combineLinkFaults(active []linkFaultFunc, to linkTarget) func(from netip.Addr) fake.LinkFault {
	if len(active) == 0 {
		return nil
	}
	return func(from netip.Addr) fake.LinkFault {
		var worst fake.LinkFault
		for _, fault := range active {
			single := fault(from, to)
			worst.DelayMs = max(worst.DelayMs, single.DelayMs)
			worst.ConnectDelayMs = max(worst.ConnectDelayMs, single.ConnectDelayMs)
			worst.Cut = worst.Cut || single.Cut
			worst.Stall = worst.Stall || single.Stall
			worst.CutAfterBytes = max(worst.CutAfterBytes, single.CutAfterBytes)
		}
		return worst
	}
}
