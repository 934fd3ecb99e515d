package settings

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// minMessagesQueued is how many messages without entries a planner's send queue must hold at the least.
const minMessagesQueued = 4

// checkAcrossFields checks what no field shows alone. Each field by itself was checked, and filled in, before.
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
		return newProblem(fieldPath("list"), "names no source; file or stream is wanted")
	}
	if planner.GetPlanners() > planner.GetProxies() {
		return newProblem(fieldPath("planners"), "holds %d, more than the %d proxies", planner.GetPlanners(), planner.GetProxies())
	}
	overhead := planner.Channel.GetHeadLines()
	most := float64(planner.Channel.GetMostWaiting())
	if overhead*minMessagesQueued > most {
		return newProblem(fieldPath("channel", "most_waiting"), "holds %g, under four head_lines of %g", most, overhead)
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
		return newProblem(fieldPath("from"), "holds %q; an IP address is wanted", proxy.From)
	}
	return nil
}

// checkEndpointList checks that no server is listed twice, and that start times can be computed from the list's own time.
func checkEndpointList(list *pb.List) *problem {
	seen := map[string]bool{}
	for index, endpoint := range list.Servers {
		at := path(nil).entry("servers", index)
		if seen[endpoint.Server] {
			return newProblem(at, "names %s a second time", endpoint.Server)
		}
		seen[endpoint.Server] = true
		if endpoint.BornUnixMs > 0 && list.AsOfUnixMs == 0 {
			return newProblem(fieldPath("as_of_unix_ms"), "is missing; born_unix_ms needs it")
		}
		if endpoint.BornUnixMs > list.AsOfUnixMs {
			return newProblem(at.field("born_unix_ms"), "holds %d, after as_of_unix_ms", endpoint.BornUnixMs)
		}
	}
	return nil
}

// checkClasses checks traffic classes: names apart, and deadlines no shorter than latency objectives.
func checkClasses(classes []*pb.Group) *problem {
	seen := map[string]bool{}
	for index, class := range classes {
		at := path(nil).entry("groups", index)
		if seen[class.Name] {
			return newProblem(at.field("name"), "holds %q, which an earlier group has", class.Name)
		}
		seen[class.Name] = true
		if Milliseconds(class.Expiry) < Milliseconds(class.LatencyBudget) {
			return newProblem(at.field("expiry"), "holds %q, under the latency_budget of %q", class.Expiry, class.LatencyBudget)
		}
	}
	return nil
}

// checkZones checks that names and prefixes are apart, so that each address is in one zone.
func checkZones(zones []*pb.Zone) *problem {
	names := map[string]bool{}
	zoneByPrefix := map[netip.Prefix]string{}
	for index, zone := range zones {
		at := path(nil).entry("zones", index)
		if names[zone.Name] {
			return newProblem(at.field("name"), "holds %q, which an earlier zone has", zone.Name)
		}
		names[zone.Name] = true
		for prefixIndex, text := range zone.Prefixes {
			prefix := netip.MustParsePrefix(text).Masked() // checked before
			if other, used := zoneByPrefix[prefix]; used {
				return newProblem(at.entry("prefixes", prefixIndex), "holds %s, which zone %q has", text, other)
			}
			zoneByPrefix[prefix] = zone.Name
		}
	}
	return nil
}
