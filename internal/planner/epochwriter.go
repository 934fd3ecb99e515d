package planner

import (
	"context"
	"log/slog"

	"lichenpick/internal/store"
)

// epochWriter reserves epochs in the store. It does so outside the core's goroutine, because syncing to disk takes
// milliseconds, or seconds on a busy disk. The goroutine in run owns the epochWriter.
type epochWriter struct {
	store     *store.Store
	requests  chan uint64 // highest epoch to reserve; of capacity 1, as the core waits for the outcome of each reservation
	loop      *eventLoop
	log       *slog.Logger
	lastError string // error of the last write, so that a repeated failure is logged once; empty: the write succeeded
}

// newEpochWriter returns a writer to an open store, which the caller must close after run has returned.
func newEpochWriter(epochStore *store.Store, loop *eventLoop, log *slog.Logger) *epochWriter {
	return &epochWriter{store: epochStore, requests: make(chan uint64, 1), loop: loop, log: log}
}

// run serves requests until the context ends.
func (w *epochWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case upTo := <-w.requests:
			err := w.store.ReserveEpochs(upTo)
			w.logNewFailure(err)
			w.loop.submit(ctx, func(c *Core) { c.EpochsReserved(upTo, err) })
		}
	}
}

// logNewFailure logs a failed write unless the previous write failed with the same error.
func (w *epochWriter) logNewFailure(err error) {
	if err == nil {
		w.lastError = ""
		return
	}
	if err.Error() != w.lastError {
		w.log.Error("the store cannot be written; no new leases are requested", slog.Any(logKeyError, err))
		w.lastError = err.Error()
	}
}
