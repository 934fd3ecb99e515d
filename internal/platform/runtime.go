package platform

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"lichenpick/internal/clock"
	"lichenpick/internal/decisionlog"
	"lichenpick/policy"
)

// Limits of the resources that a planner uses.
const (
	maxUnsentBytes       = 256 << 10 // limit of bytes that wait for one connection; far more than a proxy is sent in a minute
	unsentMemoryDivisor  = 8         // bytes that wait for all connections may take 1/8 of the memory
	partialMemoryDivisor = 16        // incomplete messages may take 1/16 of the memory
	defaultMemoryMB      = 1024      // memory limit in MiB if the configuration has none
	reservedDescriptors  = 24        // descriptors for discovery, the log, the Go runtime and lingering connections
	minConnections       = 8         // least connection limit, however low the limit of descriptors is
	defaultConnections   = 1 << 20   // connection limit if the configuration has no limit of descriptors
	maxLingering         = 8         // closed connections, not counted for the limit, that may stay open for their last messages
	bytesPerMB           = 1 << 20
	closesLoggedPerS     = 20 // closed connections that are logged per second on the level info
)

// Options configure Run. All fields but Ready and Trace must be set.
type Options struct {
	Config  Config
	Reload  func() (Config, error) // reads the configuration file again
	Hangup  <-chan os.Signal       // SIGHUP, which asks for a reload
	Clock   clock.Clock
	Network clock.Network
	Log     *slog.Logger
	Ready   func(net.Addr) // called with the listening address once the planner listens; may be nil
	Trace   io.Writer      // Run writes the state of the core to Trace each second; may be nil
}

// serverRuntime connects the core to its connections, discovery and the clock.
//
// It has two groups of goroutines. Run's errgroup runs accept, decide and followDiscovery, which end with the context.
// tasks counts the reader of each connection and, while there are bytes to write, its writer. These end with their
// connection, at the latest in shutdown.
type serverRuntime struct {
	Options
	originMs            float64 // Unix ms at which Clock.Monotonic was 0
	maxConnections      int
	maxTotalUnsentBytes int           // upper limit of unsentBytes
	workReady           chan struct{} // holds one element while there are inputs to evaluate
	closeLogLimit       *rate.Limiter // of closed connections logged on the level info
	tasks               sync.WaitGroup
	schedule            decisionSchedule // owned by the goroutine of decide

	mu          sync.Mutex              // guards the core with its connections, and the fields below
	core        *Core                   // only called with the lock held
	streams     map[*Connection]*stream // connections whose descriptors are open
	lingering   []*stream               // streams closed by the core with bytes left to write; oldest first
	unsentBytes int                     // bytes that wait to be written to all streams together
	timerMs     float64                 // Unix ms of the next evaluation if there is no input
}

// Run serves until the context ends, and returns after all of its goroutines have ended. Before that, messages that wait for
// connections are written for up to flushTimeoutMs. Run fails if it cannot listen, and returns ErrRepeatedPanics if decide
// does.
func Run(ctx context.Context, options Options) error {
	s := newRuntime(options)
	listener, err := options.Network.Listen(ctx, options.Config.Listen)
	if ctx.Err() != nil { // the context was canceled before the start, which is not a failure
		if err == nil {
			s.closeQuietly(listener)
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	s.logStart(listener.Addr())
	if options.Ready != nil {
		options.Ready(listener.Addr())
	}
	group, groupContext := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-groupContext.Done()
		s.closeQuietly(listener)
		return nil
	})
	group.Go(func() error { s.followDiscovery(groupContext); return nil })
	group.Go(func() error { return s.decide(groupContext) })
	group.Go(func() error { s.accept(groupContext, listener); return nil })
	err = group.Wait()
	s.shutdown()
	return err
}

func newRuntime(options Options) *serverRuntime {
	config := options.Config
	memoryBytes := defaultMemoryMB * bytesPerMB
	if config.MemoryMB > 0 {
		memoryBytes = config.MemoryMB * bytesPerMB
	}
	s := &serverRuntime{
		Options:             options,
		originMs:            float64(options.Clock.WallTime().UnixMicro())/microsPerMs - options.Clock.Monotonic(),
		maxConnections:      defaultConnections,
		maxTotalUnsentBytes: max(memoryBytes/unsentMemoryDivisor, maxUnsentBytes),
		workReady:           make(chan struct{}, 1),
		streams:             map[*Connection]*stream{},
		closeLogLimit:       rate.NewLimiter(closesLoggedPerS, closesLoggedPerS),
	}
	if config.MaxDescriptors > 0 {
		s.maxConnections = max(config.MaxDescriptors-reservedDescriptors, minConnections)
	}
	s.core = NewCore(config.Settings, config.Seed, s.nowMs())
	s.core.MaxPartialBytes = max(memoryBytes/partialMemoryDivisor, maxMessageBytes)
	s.core.OnReject = func(err error, line []byte) {
		s.Log.Debug(logMessageRejected, keyError, err, keyMessage, string(line))
	}
	s.core.UpdateEndpoints(policy.RestoredUpdate, config.KnownEndpoints)
	s.core.SetObserver(decisionlog.New(s.Log))
	return s
}

func (s *serverRuntime) logStart(address net.Addr) {
	config := s.Config
	s.Log.Info("serving",
		keyName, config.Name,
		keyAddress, address,
		keyDiscovery, config.Discovery,
		keyEndpoints, len(config.KnownEndpoints),
		keyProxies, config.Settings.Policy.Proxies,
		keyCores, config.Cores,
		keyMemoryMB, config.MemoryMB,
		keyMaxDescriptors, config.MaxDescriptors,
	)
}

func (s *serverRuntime) nowMs() float64 { return s.originMs + s.Clock.Monotonic() }

// withCore calls a function with the lock held and the core's time set, and reports whether the function returned without a
// panic.
//
// A panic is logged, and only affects what was being processed: an input that causes one is lost together with its
// connection, and a decision that causes one is not repeated, because the policy removes each decision from its list before
// it carries out the decision. State that is left half changed concerns a single proxy or server, and the next solve
// rewrites all tables. If evaluations keep panicking, the planner still answers its peers but decides little or nothing;
// decide then ends the program, so that it is restarted with fresh state.
func (s *serverRuntime) withCore(call func()) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Error("panic recovered", keyPanic, cause, keyStack, string(debug.Stack()))
			ok = false
		}
	}()
	s.core.SetTime(s.nowMs())
	call()
	return true
}

// notifyWork makes decide evaluate the inputs that have arrived.
func (s *serverRuntime) notifyWork() {
	select {
	case s.workReady <- struct{}{}:
	default: // decide is notified already, and has not evaluated yet
	}
}
