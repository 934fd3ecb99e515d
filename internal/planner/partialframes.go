package planner

import (
	"sync/atomic"

	"lichenpick/internal/controlstream"
)

const (
	maxPartialBytes   = 64 << 20 // of the incomplete frames of all connections together
	smallPartialBytes = 64 << 10 // an incomplete frame up to this size closes no connection
)

// partialFrames counts the bytes of the incomplete frames of all connections. A single connection may hold a frame of the largest
// size, but not all connections at once.
type partialFrames struct{ total atomic.Int64 }

// partialFrame is the share of one connection. It is owned by the connection's reader.
type partialFrame struct {
	frames *partialFrames
	held   int
}

// update sets the bytes that the connection holds. It returns an error with which the connection is to be closed, if all
// connections hold too much and this one holds more than a small part of it.
func (p *partialFrame) update(held int) *controlstream.CloseError {
	total := p.frames.total.Add(int64(held - p.held))
	p.held = held
	if total <= maxPartialBytes || held <= smallPartialBytes {
		return nil
	}
	return &controlstream.CloseError{
		Reason: controlstream.ReasonBadSize,
		Detail: "the incomplete frames of all connections exceed their memory limit",
	}
}

// release gives back what the connection holds.
func (p *partialFrame) release() {
	p.frames.total.Add(-int64(p.held))
	p.held = 0
}
