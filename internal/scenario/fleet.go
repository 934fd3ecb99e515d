package scenario

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

const (
	missingServerMs    = 10_000.0               // time after which a server that is missing from endpoint lists counts as removed
	observationSlackMs = 100.0                  // tolerance for the delay between observation and effect of a frame or request
	reconnectDelay     = 200 * time.Millisecond // pause before a planner reconnects to the endpoint registry
	heartbeatTimeout   = 5 * time.Second        // time without a frame after which a planner closes the endpoint list's stream
	maxListFrameBytes  = 16 << 20               // maximum size of frames with endpoint lists
	anyPort            = ":0"
	plannerListen      = "127.0.0.1" + anyPort
)

// fleet is one run of a script, with all components that take part in the run.
type fleet struct {
	script    *script.Script
	hooks     Hooks
	clock     clock.Clock
	network   clock.Network
	log       *slog.Logger
	directory string // directory for the planners' files
	recorder  *recorder
	group     *errgroup.Group // owns the goroutines of the run
	runCtx    context.Context // context of the whole run, also for planners that a fault restarts

	// The four fields below are set by start and not changed afterwards.
	registry       *fake.EndpointRegistry
	loadGenerator  *fake.LoadGenerator
	planners       []*plannerInstance
	proxyAddresses []string // addresses to which clients send requests

	mu               sync.Mutex // guards all fields below
	rng              *rand.Rand
	servers          []*serverInstance
	lastServerNumber int // number of the server that was started last
	linkFaults       map[int]linkFaultFunc
	nextLinkFault    int
	plannerStatuses  []*planner.Status // last status of each planner that has ended
	hungPlanners     int               // number of planner processes that did not exit within stopTimeout
	plannerCPU       time.Duration     // CPU time of planners that ran as processes
}

// newFleet returns a fleet that is not started yet. The script must not change during the run.
func newFleet(scenario *script.Script, hooks Hooks, directory string, log *slog.Logger) *fleet {
	realClock := clock.NewReal()
	f := &fleet{
		script:     scenario,
		hooks:      hooks,
		clock:      realClock,
		network:    clock.TCP{},
		log:        log,
		directory:  directory,
		rng:        rand.New(rand.NewSource(int64(scenario.GetSeed()))),
		linkFaults: map[int]linkFaultFunc{},
	}
	f.recorder = newRecorder(invariant.NewChecker(f.limits()), realClock)
	return f
}

// limits returns the parameters with which the invariants are checked. Most of these parameters are settings of the script.
func (f *fleet) limits() invariant.Limits {
	channel := f.script.Channel
	servers := f.script.Servers
	limits := invariant.Limits{
		NoServerMs:           settings.Milliseconds(f.script.BareWithin),
		DrainGraceMs:         settings.Milliseconds(f.script.Limits.DrainGrace),
		SlowStartMs:          settings.Milliseconds(f.script.Limits.WarmUp),
		MissingMs:            missingServerMs,
		ColdOverloadWindowMs: settings.Milliseconds(f.script.Limits.FallWindow),
		ColdOverloadMultiple: servers.GetFallMultiple(),
		WorkMs:               settings.Milliseconds(servers.Work),
		HandshakeMs:          settings.Milliseconds(servers.Handshake),
		MaxBacklog:           float64(channel.GetMostWaiting()),
		MaxMessages:          int(channel.GetMostMessages()),
		MessageWindowMs:      settings.Milliseconds(channel.MessageSpan),
		SlackMs:              observationSlackMs,
		Capacity:             f.warmingCapacity,
	}
	for _, class := range f.script.Groups {
		limits.Idempotency = append(limits.Idempotency, idempotencyOf(class.Repeat))
		limits.SameZoneOnly = append(limits.SameZoneOnly, class.OnlyZone)
	}
	return limits
}

// idempotencyOf converts a repeat setting to the checker's type. An unset setting counts as not idempotent.
func idempotencyOf(repeat pb.Repeat) invariant.Idempotency {
	switch repeat {
	case pb.Repeat_RETRIABLE:
		return invariant.Idempotent
	case pb.Repeat_DEDUPED:
		return invariant.Deduplicated
	default:
		return invariant.NonIdempotent
	}
}

// start starts the registry, servers, planners and proxies, in this order, but not the clients. All these components stop when
// the context ends; the group owns their goroutines.
func (f *fleet) start(ctx context.Context, group *errgroup.Group) error {
	f.group = group
	f.runCtx = ctx
	f.registry = &fake.EndpointRegistry{Clock: f.clock, DelayMs: settings.Milliseconds(f.script.ListedLate)}
	registryAddress, err := f.registry.Start(ctx, f.network)
	if err != nil {
		return err
	}
	if err := f.startServers(ctx); err != nil {
		return err
	}
	if err := f.startPlanners(ctx, registryAddress); err != nil {
		return err
	}
	return f.startProxies(ctx)
}

// random returns a random number in [0, 1) from the random source of the run.
func (f *fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}
