package scenario

import (
	"fmt"
	"net/netip"

	"lichenpick/internal/fake"
)

// unknownZone is the zone of what belongs to no zone.
const unknownZone = -1

// dialAddress returns the address from which a zone's proxies dial: 127.ZONE.0.1, with zones counted from 1.
func dialAddress(zone int) string { return fmt.Sprintf("127.%d.0.1", zone+1) }

// listenAddress returns the address at which a zone's proxies and servers listen. It differs from dialAddress, as a port that
// is listened at again after a restart must not have gone to a connection in the meantime.
func listenAddress(zone int) string { return fmt.Sprintf("127.%d.1.1", zone+1) }

// zoneOf returns the zone of an address from which a proxy dials.
func zoneOf(from netip.Addr) int {
	if !from.Is4() {
		return unknownZone
	}
	return int(from.As4()[1]) - 1
}

// zoneNamed returns the number of a zone of the script, and unknownZone for any other name.
func (f *fleet) zoneNamed(name string) int {
	for zone, place := range f.script.Places {
		if place.Name == name {
			return zone
		}
	}
	return unknownZone
}

// linkTarget is the far end of links that pass a relay: a server or a planner, the other is nil.
type linkTarget struct {
	server  *serverInstance
	planner *plannerInstance
}

// linkFault says what is wrong with links from an address to a target. It is called on each connection, by any goroutine.
type linkFault func(from netip.Addr, to linkTarget) fake.LinkFault

// addLinkFault puts a fault of links into effect, and returns a function that ends it.
func (f *fleet) addLinkFault(fault linkFault) (remove func()) {
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

// updateLinks tells all relays which faults their links have now.
func (f *fleet) updateLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := make([]linkFault, 0, len(f.linkFaults))
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

// combineLinkFaults returns what is wrong with the links to one target, the worst of all faults, by the address they come
// from. It returns nil where there are no faults.
func combineLinkFaults(active []linkFault, to linkTarget) func(from netip.Addr) fake.LinkFault {
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
