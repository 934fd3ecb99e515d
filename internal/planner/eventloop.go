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

// Bounds of the event loop.
const (
	inputQueueCapacity = 1024   // inputs that may wait for the core; a full queue stops reads, so peers' writes wait
	maxInputBatch      = 512    // inputs handled before the core decides; a full batch takes a few ms
	maxReportBatch     = 256    // load reports handled, after the other inputs, before the core decides
	saveIntervalMs     = 1000.0 // shortest time between writes of the endpoint list
)

// input calls an input method of the core. It runs on the core's goroutine.
type input func(*Core)

// eventLoop owns the core. Only the goroutine in run uses the core, and the core calls the Host methods on that goroutine.
// Until run starts, the core is owned by the goroutine that created the loop. Other goroutines may call submit only.
type eventLoop struct {
	Options
	core     *Core
	inputs   chan input
	reports  *coalescedReports
	acceptor *acceptor
	status   *statusPublisher
	epochs   chan<- uint64 // passes epochs to reserve to the epoch writer; nil: planners do not share the fleet

	timerAtMs float64 // time of the next evaluation that the core asked for
	savedAtMs float64 // time at which the endpoint list was last saved
}

var _ Host = (*eventLoop)(nil)

// submit queues an input for the core. It waits while the queue is full, and returns false if the context ends first.
func (l *eventLoop) submit(ctx context.Context, in input) bool {
	select {
	case l.inputs <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

// run evaluates the core whenever something has happened, until the context ends. If the core panics, run logs the panic,
// dumps the inputs that led to it, and returns an error, so that a supervisor restarts the planner. Proxies continue with
// their tables meanwhile.
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
			l.handleQueuedInputs() // so that the last status counts streams that have just ended
			l.publishStatus(true)
			l.releaseProxies()
			return nil
		}
		l.evaluate(in)
	}
}

// awaitWork waits for an input, for load reports, for the timer, or for the end of the context. It returns the input if
// there was one, else nil; running is false once the context has ended.
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

// evaluate passes the first input, other queued inputs and load reports to the core, and carries out the core's decisions.
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

// handleQueuedInputs passes at most maxInputBatch queued inputs to the core.
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

// handleQueuedReports passes at most maxReportBatch queued load reports to the core. After a full batch it signals that
// reports wait, so that another evaluation handles the rest.
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

// handlePanic logs a panic of the core and dumps its last inputs to the file that the settings name, if any.
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

// writeDump writes the cause of a panic, its stack trace and the core's last inputs to a file.
func (l *eventLoop) writeDump(path string, cause any, stack []byte) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err // an *os.PathError, which names the operation and the path
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	_, err = fmt.Fprintf(file, "%v\n%s\n", cause, stack)
	if err != nil {
		return err
	}
	return l.core.DumpInputs(file)
}

// saveEndpoints saves the endpoint list if it changed, at most once per saveIntervalMs. A restarted planner starts from the
// saved list.
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

// releaseProxies closes the streams of all proxies because the planner stops. The proxies keep using their tables and dial
// another planner. Their leases are released first, so that another planner can take the proxies over at once.
func (l *eventLoop) releaseProxies() {
	for p := range l.core.proxies.all() {
		if p.commanded && l.core.leases.enabled() {
			l.Send(p.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: p.epoch})
		}
		l.Close(p.stream, &controlstream.CloseError{Reason: controlstream.ReasonShutdown})
	}
	l.Log.Info("planner closes the streams of its proxies", slog.Int(logKeyProxies, len(l.core.proxies.byName)))
}

// publishStatus publishes the planner's status if the last one is older than statusInterval or atOnce is set.
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

// SetTimer schedules the next evaluation of the core at atMs, in ms of the loop's clock.
func (l *eventLoop) SetTimer(atMs float64) { l.timerAtMs = atMs }

// ReserveEpochs passes a reservation to the epoch writer. It does not block, because the core has at most one reservation
// pending.
func (l *eventLoop) ReserveEpochs(upTo uint64) { l.epochs <- upTo }

// Send queues a frame for a connection. Waiting for one slow proxy would delay all others, so Send closes a connection
// whose outbox is full.
func (l *eventLoop) Send(s *Stream, kind controlstream.FrameKind, m proto.Message) {
	c := connectionOf(s)
	select {
	case c.outbox <- outgoingFrame{kind: kind, message: m}:
	default:
		detail := fmt.Sprintf("outbox full with %d frames", outboxFrames)
		c.close(&controlstream.CloseError{Reason: controlstream.ReasonSlowReader, Detail: detail})
	}
}

// Close closes a stream's connection.
func (l *eventLoop) Close(s *Stream, why *controlstream.CloseError) { connectionOf(s).close(why) }
