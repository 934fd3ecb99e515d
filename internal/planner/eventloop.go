package planner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/proto/order"
)

// Bounds of one evaluation of the core.
const (
	inputQueueCapacity = 1024   // inputs that wait for the core; then streams are read no further, and writes of peers wait
	maxInputBatch      = 512    // inputs taken in before the core decides; so many take a few ms
	maxReportBatch     = 256    // load reports taken in before it decides, after all other inputs
	saveIntervalMs     = 1000.0 // between writes of the endpoint list
)

// input is something that happened, passed to the core on its goroutine.
type input func(*Core)

// eventLoop owns the core: the goroutine in run is the only one that touches it, and calls the Host methods from within.
// Before run starts, the goroutine that made the loop owns the core. Other goroutines use submit only.
type eventLoop struct {
	Options
	core     *Core
	inputs   chan input
	reports  *coalescedReports
	acceptor *acceptor
	status   *statusPublisher
	epochs   chan<- uint64 // nil: planners share nothing

	timerAtMs float64 // when the core asked to be called again
	savedAtMs float64 // when the endpoint list was last saved
}

var _ Host = (*eventLoop)(nil)

// submit hands the core an input. It waits while the backlog is full, and reports false if the context ended first.
func (l *eventLoop) submit(ctx context.Context, in input) bool {
	select {
	case l.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// run lets the core decide whenever something happened, until the context ends. The recover guards against a fault of the
// core: what led to it is written down, proxies go on with their tables, and a supervisor starts the planner anew.
func (l *eventLoop) run(ctx context.Context) (err error) {
	defer func() {
		cause := recover()
		if cause != nil {
			l.handlePanic(cause, debug.Stack())
			err = fmt.Errorf("%w: %v", ErrCoreFailed, cause)
		}
	}()
	for {
		in, running := l.awaitWork(ctx)
		if !running {
			l.handleQueuedInputs() // streams that have ended are counted
			l.publishStatus(true)
			l.releaseProxies()
			return nil
		}
		l.evaluate(in)
	}
}

// awaitWork waits until there is something to do. The input is nil if that is not an input: the timer or load reports.
func (l *eventLoop) awaitWork(ctx context.Context) (in input, running bool) {
	fired, stop := l.Clock.NewTimer(l.timerAtMs - l.Clock.Monotonic())
	defer stop()
	select {
	case <-ctx.Done():
		return nil, false
	case in = <-l.inputs:
	case <-l.reports.available:
	case <-fired:
	}
	return in, true
}

// evaluate tells the core what happened and carries out its decisions.
func (l *eventLoop) evaluate(first input) {
	l.core.SetTime(l.Clock.Monotonic(), l.Clock.WallTime())
	if first != nil {
		first(l.core)
	}
	l.handleQueuedInputs()
	l.handleQueuedReports()
	for l.core.Next(l) {
	}
	l.publishStatus(false)
	l.saveEndpoints()
}

// handleQueuedInputs passes the inputs that wait to the core, up to a bound.
func (l *eventLoop) handleQueuedInputs() {
	for range maxInputBatch {
		select {
		case in := <-l.inputs:
			in(l.core)
		default:
			return
		}
	}
}

// handleQueuedReports passes the load reports that wait to the core, up to a bound; the rest has its turn once the core has decided.
func (l *eventLoop) handleQueuedReports() {
	lagMs := 0.0
	for range maxReportBatch {
		c, report, receivedMs := l.reports.take()
		if c == nil {
			l.core.RecordLag(lagMs)
			return
		}
		lagMs = max(lagMs, l.Clock.Monotonic()-receivedMs)
		l.core.HandleLoadReport(c.stream, report)
	}
	l.core.RecordLag(lagMs)
	l.reports.signal()
}

// handlePanic logs a panic of the core and writes its last inputs to the file that the settings name.
func (l *eventLoop) handlePanic(cause any, stack []byte) {
	l.Log.Error("planner core failed", slog.Any(logKeyCause, cause), slog.String(logKeyStack, string(stack)))
	path := l.Settings.Dump
	if path == "" {
		return
	}
	err := l.writeDump(path, cause, stack)
	if err != nil {
		l.Log.Error("last inputs cannot be written", slog.String(logKeyPath, path), slog.Any(logKeyError, err))
	}
}

// writeDump writes the cause of a panic, its stack and the core's last inputs.
func (l *eventLoop) writeDump(path string, cause any, stack []byte) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err // names the operation and the path
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	_, err = fmt.Fprintf(file, "%v\n%s\n", cause, stack)
	if err != nil {
		return err
	}
	return l.core.DumpInputs(file)
}

// saveEndpoints writes the endpoint list down, at most once a second: a restart may begin from it.
func (l *eventLoop) saveEndpoints() {
	path := l.Settings.List.Keep
	now := l.Clock.Monotonic()
	if path == "" || now-l.savedAtMs < saveIntervalMs {
		return
	}
	list := l.core.endpoints.takeSnapshot(l.Clock.WallTime())
	if list == nil {
		return
	}
	l.savedAtMs = now
	err := discovery.Save(path, list)
	if err != nil {
		l.Log.Warn("endpoint list cannot be saved", slog.String(logKeyPath, path), slog.Any(logKeyError, err))
	}
}

// releaseProxies tells all proxies that this planner stops; they go on with the tables that they hold and dial elsewhere. Leases are given back
// first, so that another planner can take the proxies over at once.
func (l *eventLoop) releaseProxies() {
	for p := range l.core.proxies.all() {
		if p.commanded && l.core.leases.enabled() {
			l.Send(p.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: p.epoch})
		}
		l.Close(p.stream, &controlstream.CloseError{Reason: controlstream.ReasonShutdown})
	}
	l.Log.Info("planner leaves its proxies", slog.Int(logKeyProxies, len(l.core.proxies.byName)))
}

// publishStatus publishes what the planner knows of itself, a few times a second, or at once.
func (l *eventLoop) publishStatus(atOnce bool) {
	if !atOnce && !l.status.due(l.core.wallTime) {
		return
	}
	status := &Status{
		Planner:       l.Settings.Name,
		AtUnixMs:      l.core.wallTime.UnixMilli(),
		Streams:       int(l.acceptor.open.Load()),
		RejectedDials: l.acceptor.rejected.Load(),
	}
	l.core.fillStatus(status)
	status.Merged, status.Lost = l.reports.counts()
	l.status.publish(status)
}

// SetTimer has the core called at a time of the clock, in ms.
func (l *eventLoop) SetTimer(atMs float64) { l.timerAtMs = atMs }

// ReserveEpochs hands a reservation to the epoch writer. It does not block: one is under way at a time.
func (l *eventLoop) ReserveEpochs(upTo uint64) { l.epochs <- upTo }

// Send queues a frame for a connection. It must not wait, as one slow proxy would hold up all others: a connection whose
// queue is full is closed.
func (l *eventLoop) Send(s *Stream, kind controlstream.FrameKind, m proto.Message) {
	c := connectionOf(s)
	select {
	case c.outbox <- outgoingFrame{kind: kind, message: m}:
	default:
		detail := fmt.Sprintf("%d frames wait", outboxFrames)
		c.close(&controlstream.CloseError{Reason: controlstream.ReasonSlowReader, Detail: detail})
	}
}

// Close ends a connection.
func (l *eventLoop) Close(s *Stream, why *controlstream.CloseError) { connectionOf(s).close(why) }
