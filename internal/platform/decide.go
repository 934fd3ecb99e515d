package platform

import (
	"context"
	"errors"
	"fmt"

	"lichenpick/internal/clock"
)

const (
	countsIntervalMs = 10000.0 // ms between log lines of counts
	traceIntervalMs  = 1000.0  // ms between traces
	panicBackoffMs   = 100.0   // ms of backoff after a panic, so that one that repeats does not take a core
	maxPanics        = 10      // evaluations in a row that end in a panic, until the program does
)

// ErrRepeatedPanics ends a planner that can decide nothing any more.
var ErrRepeatedPanics = errors.New("evaluations in a row panicked, and nothing is ordered any more")

// decisionSchedule is what decide keeps between evaluations. Times are Unix ms.
type decisionSchedule struct {
	countsMs float64 // of the last log line of counts
	traceMs  float64 // of the last trace
	panics   int     // evaluations in a row that ended in one
}

// decide carries out what the core decides, after inputs and when the core asked for it. What comes within the evaluation
// interval of the settings is evaluated together.
func (s *serverRuntime) decide(ctx context.Context) error {
	s.schedule.countsMs = s.nowMs()
	s.schedule.traceMs = s.nowMs()
	for ctx.Err() == nil {
		pauseMs := s.Config.Settings.EvaluationIntervalMs
		if s.withCore(s.evaluate) {
			s.schedule.panics = 0
		} else {
			s.schedule.panics++
			pauseMs = panicBackoffMs
		}
		if s.schedule.panics >= maxPanics {
			return fmt.Errorf("%d %w", s.schedule.panics, ErrRepeatedPanics)
		}
		if clock.Sleep(ctx, s.Clock, pauseMs) != nil {
			return nil
		}
		s.awaitWork(ctx)
	}
	return nil
}

// evaluate carries out all decisions of the core, and writes trace and counts where they are due. The lock is held.
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

// awaitWork waits for an input, the core's timer or the context's end.
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
