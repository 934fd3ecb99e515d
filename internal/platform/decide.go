package platform

import (
	"context"
	"errors"
	"fmt"

	"lichenpick/internal/clock"
)

const (
	countsIntervalMs = 10000.0 // ms between two log lines with the counts
	traceIntervalMs  = 1000.0  // ms between traces
	panicBackoffMs   = 100.0   // pause in ms after a panic, so that a recurring panic does not use a CPU core
	maxPanics        = 10      // evaluations with a panic, within panicWindowMs, after which the planner ends
	panicWindowMs    = 60000.0 // ms for which a panic counts; far more than maxPanics solves take
)

// ErrRepeatedPanics is returned by Run if maxPanics evaluations panicked within panicWindowMs.
var ErrRepeatedPanics = errors.New("evaluations panicked within a minute; the planner ends")

// decisionSchedule is the state that decide keeps between evaluations. Times are Unix ms.
type decisionSchedule struct {
	countsMs float64   // time of the last log line with the counts
	traceMs  float64   // time of the last trace
	panicsMs []float64 // times of the last evaluations that panicked, oldest first; at most maxPanics
}

// addPanic records an evaluation that panicked, and reports whether that is the last of maxPanics within panicWindowMs.
// Evaluations that succeed between them do not count: most have no decision to make, so a planner whose every solve
// panics would otherwise go on, and order nothing.
func (d *decisionSchedule) addPanic(nowMs float64) bool {
	d.panicsMs = append(d.panicsMs, nowMs)
	d.panicsMs = d.panicsMs[max(len(d.panicsMs)-maxPanics, 0):]
	return len(d.panicsMs) == maxPanics && nowMs-d.panicsMs[0] < panicWindowMs
}

// decide evaluates the core after inputs and when its timer fires, until the context ends. Inputs that arrive within the
// evaluation interval of the settings are evaluated together. It returns ErrRepeatedPanics once maxPanics evaluations have
// panicked within panicWindowMs.
func (s *serverRuntime) decide(ctx context.Context) error {
	s.schedule.countsMs = s.nowMs()
	s.schedule.traceMs = s.nowMs()
	for ctx.Err() == nil {
		pauseMs := s.Config.Settings.EvaluationIntervalMs
		if !s.withCore(s.evaluate) {
			pauseMs = panicBackoffMs
			if s.schedule.addPanic(s.nowMs()) {
				return fmt.Errorf("%d %w", maxPanics, ErrRepeatedPanics)
			}
		}
		if clock.Sleep(ctx, s.Clock, pauseMs) != nil {
			return nil
		}
		s.awaitWork(ctx)
	}
	return nil
}

// evaluate carries out all decisions of the core, and writes the trace and the counts if they are due. The caller holds the
// lock.
func (s *serverRuntime) evaluate() {
	for s.core.Next(s) {
		continue
	}
	now := s.nowMs()
	if s.Trace != nil && now-s.schedule.traceMs >= traceIntervalMs {
		s.schedule.traceMs = now
		s.writeTrace(now)
	}
	if now-s.schedule.countsMs >= countsIntervalMs {
		s.schedule.countsMs = now
		s.Log.Info("counts",
			keyOpenConnections, s.core.OpenConnections(),
			keyJoined, len(s.core.proxies.joined),
			keyCounts, &s.core.Counts,
		)
	}
}

func (s *serverRuntime) writeTrace(nowMs float64) {
	_, err := fmt.Fprintf(s.Trace, "trace at=%.3f\n", nowMs/millisecondsPerSecond)
	if err == nil {
		err = s.core.WriteState(s.Trace)
	}
	if err != nil {
		s.Log.Debug("writing the trace failed", keyError, err)
	}
}

// awaitWork waits for an input, the core's timer or the end of the context.
func (s *serverRuntime) awaitWork(ctx context.Context) {
	s.mu.Lock()
	waitMs := s.timerMs - s.nowMs()
	s.mu.Unlock()
	fired, stop := s.Clock.NewTimer(waitMs)
	defer stop()
	select {
	case <-fired:
	case <-s.workReady:
	case <-ctx.Done():
	}
}
