package simulation

import (
	"fmt"
	"math/rand"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// build makes the planner, the servers and the proxies, and schedules what they do first.
func (f *fleet) build() error {
	planner, err := newPlanner(f)
	if err != nil {
		return err
	}
	f.planner = planner
	for zone, place := range f.script.Places {
		for range place.GetServers() {
			if _, err := f.addServer(zone); err != nil {
				return err
			}
		}
	}
	f.planner.sendEndpoints(0, policy.FullUpdate, f.servers)
	f.shares = classShares(f.script)
	for _, place := range f.script.Places {
		for number := range place.GetProxies() {
			if err := f.addProxy(place.Name, int(number)); err != nil {
				return err
			}
		}
	}
	return nil
}

// proxyCount returns the number of proxies of a script.
func proxyCount(scenario *script.Script) int {
	count := 0
	for _, place := range scenario.Places {
		count += int(place.GetProxies())
	}
	return count
}

// classShares returns the share of each traffic class in the requests; they add up to 1.
func classShares(scenario *script.Script) []float64 {
	given := scenario.Traffic.Shares
	shares := make([]float64, len(scenario.Groups))
	total := 0.0
	for class := range shares {
		switch {
		case len(given) == 0:
			shares[class] = 1
		case class < len(given):
			shares[class] = given[class]
		}
		total += shares[class]
	}
	for class := range shares {
		shares[class] /= total
	}
	return shares
}

// addServer adds a server to a zone, warm. It is not listed yet.
func (f *fleet) addServer(zone int) (*server, error) {
	number := len(f.servers)
	template := f.script.Servers
	limits := f.script.Limits
	speed := template.GetSlowest() + (template.GetFastest()-template.GetSlowest())*f.chance.Float64()
	set := &pb.Server{
		Name:         fmt.Sprintf("node-%d", number),
		Listen:       fmt.Sprintf("127.9.%d.%d:8000", number/250, number%250+1),
		Cores:        template.Cores,
		Work:         template.Work,
		Waiting:      template.Waiting,
		Speed:        proto.Float64(speed),
		ColdShare:    limits.ColdShare,
		WarmUp:       limits.WarmUp,
		FallWindow:   limits.FallWindow,
		FallMultiple: template.FallMultiple,
	}
	full := &pb.Server{}
	if err := settings.Parse("server of the simulation", []byte(settings.Format(set)), full); err != nil {
		return nil, err
	}
	added := newServer(&f.eventQueue, full, zone, rand.New(rand.NewSource(f.chance.Int63())))
	f.servers = append(f.servers, added)
	f.serversByAddress[added.address] = added
	return added, nil
}
