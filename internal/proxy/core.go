package proxy

import (
	"math/rand"

	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Core holds a proxy's state and makes its decisions. Its methods do no I/O and must not be called by several goroutines at
// the same time. Times are in ms of a monotonic clock.
type Core struct {
	classes            []*pb.Group
	pickMethod         pb.Pick
	attemptLimitFactor float64 // longest duration of an attempt that can be retried, as a multiple of the latency objective
	defaultRetry       int     // retry mode of traffic classes for which no planner has set a retry mode
	random             *rand.Rand

	// Orders received from planners.
	tableByClass  []*table          // the table in force for each traffic class, perhaps from an earlier session
	tables        map[uint32]*table // tables assigned in the current session, by table number
	ejected       map[string]bool   // servers that the current session has ejected and has not readmitted
	admissions    []admission       // admission rate and retry mode by traffic class
	tableAssigned bool              // whether the current session has assigned a table

	// Load: attempts in flight, and statistics since the last load report.
	inFlight      map[string]int // number of attempts in flight by server
	statsByServer map[string]*serverStats
	statsByClass  []classStats // request counts by traffic class
	lastReportMs  float64      // time of the last load report, in ms

	// Lease state, used only where several controllers share the fleet.
	grantor         lease.Grantor
	drainingSinceMs map[string]float64 // ejection time in ms of each server ejected because it drains or was removed
	leaseStateCount uint64             // number of lease states created so far; the latest state has this number
	recentOrdersMs  []float64          // times in ms at which the latest Orders messages were received, in ascending order
}

// NewCore returns a Core that uses the standing table of its settings and admits all requests. The settings must have been
// validated.
func NewCore(config *pb.Proxy, nowMs float64) *Core {
	core := &Core{
		classes:            config.Groups,
		pickMethod:         config.Pick,
		attemptLimitFactor: config.GetFirstWait(),
		defaultRetry:       settings.RetryMode(config.DefaultRetry),
		random:             rand.New(rand.NewSource(int64(config.GetSeed()))),
		tables:             map[uint32]*table{},
		ejected:            map[string]bool{},
		inFlight:           map[string]int{},
		drainingSinceMs:    map[string]float64{},
		statsByServer:      map[string]*serverStats{},
		statsByClass:       make([]classStats, len(config.Groups)),
		lastReportMs:       nowMs,
	}
	standing := &table{ejected: map[string]bool{}}
	for _, server := range config.Standing {
		standing.entries = append(standing.entries, &weightEntry{server: server, weight: 1})
	}
	for range config.Groups {
		core.tableByClass = append(core.tableByClass, standing)
		core.admissions = append(core.admissions, core.admitAll())
	}
	return core
}

// admitAll returns the admission of a traffic class for which no planner has set an admission rate.
func (c *Core) admitAll() admission { return admission{fraction: 1, retry: c.defaultRetry} }

// StartSession starts a session with a planner. The tables and ejections of earlier sessions stay in force until the new
// session assigns its own tables.
func (c *Core) StartSession(welcome *order.Welcome) {
	c.tables = map[uint32]*table{}
	c.ejected = map[string]bool{}
	c.tableAssigned = false
	for _, server := range welcome.Withdrawn {
		c.ejected[server] = true
	}
}
