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

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

// Limits of what a planner holds.
const (
	maxUnsentBytes       = 256 << 10 // bytes that one proxy may leave unread; far more than its messages of a minute
	unsentMemoryDivisor  = 8         // all of them together may leave unread this part of the memory
	partialMemoryDivisor = 16        // incomplete messages may fill this part of the memory
	defaultMemoryMB      = 1024      // MiB; where the configuration states no limit
	reservedDescriptors  = 24        // that are not for connections: discovery, log, the Go runtime, and lingering connections
	minConnections       = 8         // however few descriptors are stated
	defaultConnections   = 1 << 20   // where the configuration states no limit
	maxLingering         = 8         // connections that may be open for their last messages beside those that fit
	bytesPerMB           = 1 << 20
)

// Options are what Run is handed. All but Ready and Trace must be set.
type Options struct {
	Config  Config
	Reload  func() (Config, error) // reads the configuration again
	Hangup  <-chan os.Signal       // asks for that
	Clock   clock.Clock
	Network clock.Network
	Log     *slog.Logger
	Ready   func(net.Addr) // is called with the address once connections are accepted; may be nil
	Trace   io.Writer      // is written each second what the policy believes and what the sockets said; may be nil
}

// serverRuntime connects the core to its connections, discovery and the clock.
//
// Its goroutines are those of Run's errgroup, which the context ends: accept, decide and followDiscovery; and a reader and
// at times a writer of each connection, which tasks holds. They end with their connection, at the latest in shutdown.
type serverRuntime struct {
	Options
	originMs            float64 // Unix ms at which Clock.Monotonic was 0
	maxConnections      int
	maxTotalUnsentBytes int           // that wait for all connections together
	workReady           chan struct{} // holds one element where there are inputs that were not evaluated
	tasks               sync.WaitGroup
	schedule            decisionSchedule // of decide's goroutine

	mu          sync.Mutex              // guards the core, with its connections, and what follows
	core        *Core                   // called with the lock held only
	streams     map[*Connection]*stream // whose descriptors are open
	lingering   []*stream               // of these, closed by us with something still to be written; oldest first
	unsentBytes int                     // that wait for all streams
	timerMs     float64                 // Unix ms when to evaluate next without an input
}

// Run serves until the context ends, and returns when none of its goroutines runs any more; what is owed to connections then
// is written first, for 300 ms at most. It fails where it cannot listen, and with ErrRepeatedPanics.
func Run(ctx context.Context, options Options) error {
	s := newRuntime(options)
	listener, err := options.Network.Listen(ctx, options.Config.Listen)
	if ctx.Err() != nil { // asked to end before it began, which is no failure
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

// withCore calls a function with the lock held and the core's time set, and says whether that came to its end.
//
// A panic in it is logged and costs what was at hand: an input that causes one is lost with its connection, and a decision
// is not made again, as the policy takes it off its list before it acts. What is half changed by then is one proxy's or one
// server's, and the next solve writes all tables anew. Panics at every evaluation leave a planner that answers and orders
// nothing: decide then ends the program, to be started from nothing.
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

// notifyWork has decide evaluate inputs.
func (s *serverRuntime) notifyWork() {
	select {
	case s.workReady <- struct{}{}:
	default: // it has been notified, and has not evaluated yet
	}
}
