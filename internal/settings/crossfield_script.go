package settings

import "lichenpick/proto/script"

// maxShare bounds a traffic class's share; shares are relative to each other.
const maxShare = 1e6

// checkScript checks a scenario's script.
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
		return newProblem(fieldPath("servers", "slowest"), "holds %g, over fastest", scenario.Servers.GetSlowest())
	}
	for index, fault := range scenario.Troubles {
		at := path(nil).entry("troubles", index)
		if found := checkFault(fault, zones, scenario.Length, at); found != nil {
			return found
		}
	}
	return nil
}

// checkShares checks the shares of the traffic classes: none, or one each.
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
		if !(share >= 0 && share <= maxShare) { // NaN is neither
			return newProblem(fieldPath("traffic").entry("shares", index), "holds %g, out of its range; from 0 to 1e+06", share)
		}
		total += share
	}
	if total == 0 {
		return newProblem(at, "add up to nothing")
	}
	return nil
}

// checkPlaces checks the zones of a scenario's fleet and gives their names.
func checkPlaces(places []*script.Place) (names map[string]bool, found *problem) {
	names = map[string]bool{}
	proxies := uint32(0)
	servers := uint32(0)
	for index, place := range places {
		if names[place.Name] {
			at := path(nil).entry("places", index)
			return nil, newProblem(at.field("name"), "holds %q, which an earlier place has", place.Name)
		}
		names[place.Name] = true
		proxies += place.GetProxies()
		servers += place.GetServers()
	}
	if proxies == 0 || servers == 0 {
		return nil, newProblem(fieldPath("places"), "have %d proxies and %d servers; one of each is needed", proxies, servers)
	}
	return names, nil
}

// checkFault checks one fault of a scenario: of a known kind, in a zone of the fleet, and before the scenario's end.
func checkFault(fault *script.Trouble, zones map[string]bool, length string, at path) *problem {
	if fault.What == nil {
		return newProblem(at, "says nothing of what goes wrong")
	}
	if field, zone := zoneOf(fault); field != "" && !zones[zone] {
		return newProblem(at.field(field).field("zone"), "holds %q, which is no place of this script", zone)
	}
	if Milliseconds(fault.At) >= Milliseconds(length) {
		return newProblem(at.field("at"), "holds %q, after the day's length of %q", fault.At, length)
	}
	return nil
}

// zoneOf gives the field of a fault that concerns a zone, and the zone's name; empty for other faults.
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
