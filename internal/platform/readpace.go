package platform

// Limits of how fast the messages of one connection are read. A peer that writes faster has to wait, so that it does not delay the
// answers to others; all that a zone reports is far less.
const (
	readBytesPerMs = 1024.0   // sustained rate, in bytes per ms
	readBurstBytes = 64 << 10 // bytes that are read without a pause after a quiet time
	minReadPauseMs = 2.0      // shorter pauses are added up
)

// readPace paces the reads of one connection. Its times are Unix ms, so that the zero value allows a burst.
type readPace struct {
	allowance float64 // bytes that may be read without a pause; negative while a pause is due
	updatedMs float64 // time of the last update of allowance
}

// pauseMs counts bytes that were read, and returns the time in ms to wait before the next read.
func (r *readPace) pauseMs(count int, nowMs float64) float64 {
	r.allowance = min(r.allowance+(nowMs-r.updatedMs)*readBytesPerMs, readBurstBytes) - float64(count)
	r.updatedMs = nowMs
	pauseMs := -r.allowance / readBytesPerMs
	if pauseMs < minReadPauseMs {
		return 0
	}
	return pauseMs
}
