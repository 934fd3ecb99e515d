package settings

import "lichenpick/proto/script"

// maxShare is the highest share of a traffic class. Shares are relative weights, so they need not add up to 1.
const maxShare = 1e6

// checkScript checks the relations between the fields of a scenario script.
func checkScript(scenario *script.Script) *problem {
	if found := checkClasses(scenario.Groups); found != nil {
		return found
	}
	if found := checkShares(scenario); found != nil {
		return found
	}
	zones, found := checkPlaces(scenario.Places)
	if found != nil {
		return found
	}
	if scenario.Servers.GetSlowest() > scenario.Servers.GetFastest() {
		return newProblem(fieldPath("servers", "slowest"), "is %g, greater than fastest", scenario.Servers.GetSlowest())
	}
	for index, fault := range scenario.Troubles {
		at := path(nil).entry("troubles", index)
		if found := checkFault(fault, zones, scenario.Length, at); found != nil {
			return found
		}
	}
	return nil
}

// checkShares checks that shares are given for all traffic classes or for none, are in range, and do not add up to 0.
func checkShares(scenario *script.Script) *problem {
	shares := scenario.Traffic.Shares
	if len(shares) == 0 {
		return nil
	}
	at := fieldPath("traffic", "shares")
	if len(shares) != len(scenario.Groups) {
		return newProblem(at, "has %d entries for %d groups", len(shares), len(scenario.Groups))
	}
	total := 0.0
	for index, share := range shares {
		if !(share >= 0 && share <= maxShare) { // the negated condition also rejects NaN
			return newProblem(fieldPath("traffic").entry("shares", index), "is %g, out of range; from 0 to 1e+06", share)
		}
		total += share
	}
	if total == 0 {
		return newProblem(at, "add up to 0")
	}
	return nil
}

// checkPlaces checks that the zones of a scenario's fleet have distinct names, and at least one proxy and one server in total.
// It returns the set of names.
func checkPlaces(places []*script.Place) (names map[string]bool, found *problem) {
	names = map[string]bool{}
	proxies := uint32(0)
	servers := uint32(0)
	for index, place := range places {
		if names[place.Name] {
			at := path(nil).entry("places", index)
			return nil, newProblem(at.field("name"), "is %q, the name of an earlier place", place.Name)
		}
		names[place.Name] = true
		proxies += place.GetProxies()
		servers += place.GetServers()
	}
	if proxies == 0 || servers == 0 {
		return nil, newProblem(fieldPath("places"), "have %d proxies and %d servers in total; at least one of each is needed", proxies, servers)
	}
	return names, nil
}

// checkFault checks that a fault of a scenario has a kind, that the zone it names, if any, is a zone of the fleet, and that the
// fault begins before the scenario ends.
func checkFault(fault *script.Trouble, zones map[string]bool, length string, at path) *problem {
	if fault.What == nil {
		return newProblem(at, "names no kind of fault")
	}
	if field, zone := zoneOf(fault); field != "" && !zones[zone] {
		return newProblem(at.field(field).field("zone"), "is %q, which is not the name of a place of this script", zone)
	}
	if Milliseconds(fault.At) >= Milliseconds(length) {
		return newProblem(at.field("at"), "is %q, not before the end of the scenario at %q", fault.At, length)
	}
	return nil
}

// zoneOf returns the name of the field with the zone, and the name of the zone, for a fault that requires a zone. It returns
// empty strings for other faults.
func zoneOf(fault *script.Trouble) (field, zone string) {
	switch what := fault.What.(type) {
	case *script.Trouble_ZoneCut:
		return "zone_cut", what.ZoneCut.Zone
	case *script.Trouble_ZoneLoss:
		return "zone_loss", what.ZoneLoss.Zone
	case *script.Trouble_OneSided:
		return "one_sided", what.OneSided.Zone
	}
	return "", ""
}
