package settings

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// checkAcrossFields checks what no field shows alone.
func checkAcrossFields(m proto.Message) *fault {
	switch m := m.(type) {
	case *pb.Planner:
		if bad := checkGroups(m.Groups); bad != nil {
			return bad
		}
		if bad := checkZones(m.Zones); bad != nil {
			return bad
		}
		if m.List.From == nil {
			return wrong(field(nil, "list"), "names no source; file or stream is wanted")
		}
		if m.GetPlanners() > m.GetProxies() {
			return wrong(field(nil, "planners"), "holds %d, more than the %d proxies", m.GetPlanners(), m.GetProxies())
		}
		head, most := m.Channel.GetHeadLines(), float64(m.Channel.GetMostWaiting())
		if head*4 > most {
			return wrong(entryless("channel", "most_waiting"), "holds %g, under four head_lines of %g", most, head)
		}
	case *pb.Proxy:
		if bad := checkGroups(m.Groups); bad != nil {
			return bad
		}
		if m.From != "" {
			if _, err := netip.ParseAddr(m.From); err != nil {
				return wrong(field(nil, "from"), "holds %q; an IP address is wanted", m.From)
			}
		}
	case *script.Script:
		return checkScript(m)
	case *pb.List:
		seen := map[string]bool{}
		for n, e := range m.Servers {
			if seen[e.Server] {
				return wrong(entry(nil, "servers", n), "names %s a second time", e.Server)
			}
			seen[e.Server] = true
			if e.BornUnixMs > 0 && m.AsOfUnixMs == 0 {
				return wrong(field(nil, "as_of_unix_ms"), "is missing; births need it")
			}
			if e.BornUnixMs > m.AsOfUnixMs {
				return wrong(field(entry(nil, "servers", n), "born_unix_ms"), "holds %d, after as_of_unix_ms", e.BornUnixMs)
			}
		}
	}
	return nil
}

func entryless(names ...string) (path []step) {
	for _, n := range names {
		path = append(path, step{n, -1})
	}
	return path
}

func checkGroups(groups []*pb.Group) *fault {
	seen := map[string]bool{}
	for n, g := range groups {
		at := entry(nil, "groups", n)
		if seen[g.Name] {
			return wrong(field(at, "name"), "holds %q, which an earlier group has", g.Name)
		}
		seen[g.Name] = true
		if Milliseconds(g.Expiry) < Milliseconds(g.LatencyBudget) {
			return wrong(field(at, "expiry"), "holds %q, under the latency_budget of %q", g.Expiry, g.LatencyBudget)
		}
	}
	return nil
}

func checkZones(zones []*pb.Zone) *fault {
	names, prefixes := map[string]bool{}, map[netip.Prefix]string{}
	for n, z := range zones {
		at := entry(nil, "zones", n)
		if names[z.Name] {
			return wrong(field(at, "name"), "holds %q, which an earlier zone has", z.Name)
		}
		names[z.Name] = true
		for k, text := range z.Prefixes {
			p := netip.MustParsePrefix(text).Masked()
			if other, taken := prefixes[p]; taken {
				return wrong(entry(at, "prefixes", k), "holds %s, which zone %q has", text, other)
			}
			prefixes[p] = z.Name
		}
	}
	return nil
}

func checkScript(s *script.Script) *fault {
	if bad := checkGroups(s.Groups); bad != nil {
		return bad
	}
	if n := len(s.Traffic.Shares); n > 0 && n != len(s.Groups) {
		return wrong(entryless("traffic", "shares"), "has %d entries for %d groups", n, len(s.Groups))
	}
	sum := 0.0
	for n, x := range s.Traffic.Shares {
		if !(x >= 0 && x <= 1e6) {
			return wrong(entry(field(nil, "traffic"), "shares", n), "holds %g, out of its range; from 0 to 1e+06", x)
		}
		sum += x
	}
	if len(s.Traffic.Shares) > 0 && sum == 0 {
		return wrong(entryless("traffic", "shares"), "add up to nothing")
	}
	places, proxies, servers := map[string]bool{}, uint32(0), uint32(0)
	for n, p := range s.Places {
		if places[p.Name] {
			return wrong(field(entry(nil, "places", n), "name"), "holds %q, which an earlier place has", p.Name)
		}
		places[p.Name] = true
		proxies, servers = proxies+p.GetProxies(), servers+p.GetServers()
	}
	if proxies == 0 || servers == 0 {
		return wrong(field(nil, "places"), "have %d proxies and %d servers; one of each is needed", proxies, servers)
	}
	if s.Servers.GetSlowest() > s.Servers.GetFastest() {
		return wrong(entryless("servers", "slowest"), "holds %g, over fastest", s.Servers.GetSlowest())
	}
	for n, t := range s.Troubles {
		at := entry(nil, "troubles", n)
		zone, name := "", ""
		switch w := t.What.(type) {
		case nil:
			return wrong(at, "says nothing of what goes wrong")
		case *script.Trouble_ZoneCut:
			zone, name = w.ZoneCut.Zone, "zone_cut"
		case *script.Trouble_ZoneLoss:
			zone, name = w.ZoneLoss.Zone, "zone_loss"
		case *script.Trouble_OneSided:
			zone, name = w.OneSided.Zone, "one_sided"
		}
		if name != "" && !places[zone] {
			return wrong(field(field(at, name), "zone"), "holds %q, which is no place of this script", zone)
		}
		if Milliseconds(t.At) >= Milliseconds(s.Length) {
			return wrong(field(at, "at"), "holds %q, after the day's length of %q", t.At, s.Length)
		}
	}
	return nil
}
