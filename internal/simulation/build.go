package simulation

import (
	"fmt"
	"math/rand"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// build creates the planner, the servers and the proxies, and schedules the first endpoint list, the joins and the reports.
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
	f.shares = settings.ClassShares(f.script)
	for _, place := range f.script.Places {
		for number := range place.GetProxies() {
			if err := f.addProxy(place.Name, int(number)); err != nil {
				return err
			}
		}
	}
	return nil
}

// addServer adds a warm server to a zone. The endpoint list does not contain the server yet.
func (f *fleet) addServer(zone int) (*server, error) {
	number := len(f.servers)
	template := f.script.Servers
	limits := f.script.Limits
	speed := template.GetSlowest() + (template.GetFastest()-template.GetSlowest())*f.random.Float64()
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
	checked := &pb.Server{}
	if err := settings.Parse("server of the simulation", []byte(settings.Format(set)), checked); err != nil {
		return nil, err
	}
	added := newServer(&f.Queue, checked, zone, rand.New(rand.NewSource(f.random.Int63())))
	f.servers = append(f.servers, added)
	f.serversByAddress[added.address] = added
	return added, nil
}
