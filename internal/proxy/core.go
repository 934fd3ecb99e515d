package proxy

import (
	"math/rand"

	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Core is a proxy's state and its decisions. Its methods do no I/O and are called by one goroutine at a time. Methods that
// take a time want ms of a clock that never jumps.
type Core struct {
	classes            []*pb.Group
	pickMethod         pb.Pick
	attemptLimitFactor float64 // latency objectives that an attempt may take if a retry can follow
	defaultRetry       int     // retry mode of classes without one of their own
	random             *rand.Rand

	// What planners ordered.
	tableByClass  []*table
	tables        map[uint32]*table // of the present session, by number
	ejected       map[string]bool   // by the present session
	admissions    []admission       // by class
	tableAssigned bool              // the present session has assigned a table

	// Load: what is in flight, and what was met since the last load report.
	inFlight      map[string]int // attempts by server
	statsByServer map[string]*serverStats
	statsByClass  []classStats // by class
	lastReportMs  float64      // when the last load report was taken

	// Leases, where controllers share the fleet.
	grantor         lease.Grantor
	drainingSinceMs map[string]float64 // servers ejected as they drain or are removed, by any controller, and when
	leaseStateCount uint64             // lease states made so far; it numbers them
	recentOrdersMs  []float64          // times of the last messages of orders, ascending
}

// NewCore makes a proxy at a time in ms that goes by the standing table of its settings, which must have been checked, and
// admits everything.
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

// admitAll is the admission of a class that no planner spoke of.
func (c *Core) admitAll() admission { return admission{fraction: 1, retry: c.defaultRetry} }

// StartSession starts a session with a planner: tables and ejections of earlier ones stay in force until this one assigns
// tables of its own.
func (c *Core) StartSession(welcome *order.Welcome) {
	c.tables = map[uint32]*table{}
	c.ejected = map[string]bool{}
	c.tableAssigned = false
	for _, server := range welcome.Withdrawn {
		c.ejected[server] = true
	}
}
