package settings

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// minMessagesQueued is the number of messages without entries for which a planner's send queue must have room.
const minMessagesQueued = 4

// checkAcrossFields checks the relations between fields. Every field must have passed its own check, with defaults set.
func checkAcrossFields(message proto.Message) *problem {
	switch message := message.(type) {
	case *pb.Planner:
		return checkPlanner(message)
	case *pb.Proxy:
		return checkProxy(message)
	case *pb.List:
		return checkEndpointList(message)
	case *script.Script:
		return checkScript(message)
	}
	return nil
}

func checkPlanner(planner *pb.Planner) *problem {
	if found := checkClasses(planner.Groups); found != nil {
		return found
	}
	if found := checkZones(planner.Zones); found != nil {
		return found
	}
	if planner.List.From == nil {
		return newProblem(fieldPath("list"), "has no source; set file or stream")
	}
	if planner.GetPlanners() > planner.GetProxies() {
		return newProblem(fieldPath("planners"), "is %d, more than the %d proxies", planner.GetPlanners(), planner.GetProxies())
	}
	overhead := planner.Channel.GetHeadLines()
	most := float64(planner.Channel.GetMostWaiting())
	if overhead*minMessagesQueued > most {
		return newProblem(fieldPath("channel", "most_waiting"), "is %g, less than four times head_lines (%g)", most, overhead)
	}
	return nil
}

func checkProxy(proxy *pb.Proxy) *problem {
	if found := checkClasses(proxy.Groups); found != nil {
		return found
	}
	if proxy.From == "" {
		return nil
	}
	if _, err := netip.ParseAddr(proxy.From); err != nil {
		return newProblem(fieldPath("from"), "is %q; want an IP address", proxy.From)
	}
	return nil
}

// checkEndpointList checks that no server is listed twice, and that no server's start time is later than the time of the list.
// A server's age is the time from its start time to the time of the list.
func checkEndpointList(list *pb.List) *problem {
	seen := map[string]bool{}
	for index, endpoint := range list.Servers {
		at := path(nil).entry("servers", index)
		if seen[endpoint.Server] {
			return newProblem(at, "repeats server %s", endpoint.Server)
		}
		seen[endpoint.Server] = true
		if endpoint.BornUnixMs > 0 && list.AsOfUnixMs == 0 {
			return newProblem(fieldPath("as_of_unix_ms"), "is missing; required where born_unix_ms is set")
		}
		if endpoint.BornUnixMs > list.AsOfUnixMs {
			return newProblem(at.field("born_unix_ms"), "is %d, later than as_of_unix_ms", endpoint.BornUnixMs)
		}
	}
	return nil
}

// checkClasses checks that traffic classes have distinct names, and deadlines that are no shorter than their latency objectives.
func checkClasses(classes []*pb.Group) *problem {
	seen := map[string]bool{}
	for index, class := range classes {
		at := path(nil).entry("groups", index)
		if seen[class.Name] {
			return newProblem(at.field("name"), "is %q, the name of an earlier group", class.Name)
		}
		seen[class.Name] = true
		if Milliseconds(class.Expiry) < Milliseconds(class.LatencyBudget) {
			return newProblem(at.field("expiry"), "is %q, shorter than the latency_budget of %q", class.Expiry, class.LatencyBudget)
		}
	}
	return nil
}

// checkZones checks that zones have distinct names and prefixes, so that every address belongs to at most one zone.
func checkZones(zones []*pb.Zone) *problem {
	names := map[string]bool{}
	zoneByPrefix := map[netip.Prefix]string{}
	for index, zone := range zones {
		at := path(nil).entry("zones", index)
		if names[zone.Name] {
			return newProblem(at.field("name"), "is %q, the name of an earlier zone", zone.Name)
		}
		names[zone.Name] = true
		for prefixIndex, text := range zone.Prefixes {
			prefix := netip.MustParsePrefix(text).Masked() // cannot panic: checkEntry has parsed the text already
			if other, used := zoneByPrefix[prefix]; used {
				return newProblem(at.entry("prefixes", prefixIndex), "is %s, which zone %q already has", text, other)
			}
			zoneByPrefix[prefix] = zone.Name
		}
	}
	return nil
}
