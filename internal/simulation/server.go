package simulation

import (
	"math/rand"

	"lichenpick/internal/eventqueue"
	"lichenpick/internal/fake"
	pb "lichenpick/proto/settings"
)

// server is a model server with its place in the fleet.
type server struct {
	*fake.ModelServer
	address  string
	zone     int
	random   *rand.Rand // draws the work of attempts
	draining bool
}

// newServer returns a server that is warm.
func newServer(events *eventqueue.Queue, set *pb.Server, zone int, random *rand.Rand) *server {
	return &server{ModelServer: fake.NewModelServer(events, set), address: set.Listen, zone: zone, random: random}
}
