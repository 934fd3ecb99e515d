package policy

import "math"

// This file limits the numbers that inputs carry. Peers and files may send any number, also one that is positive and finite
// and still has no meaning. Rates, admission rates and prices are computed from these numbers, and the latter two from
// their own last values, so that a single infinity or NaN would stay in them.

// MinReportMs is the least length, in ms, of the period that a load or demand report may cover. A report that covers less
// is ignored: its rate says nothing of the demand, and the quotient may overflow.
const MinReportMs = 1.0

// MinLatencyMs is the least mean latency, in ms, that a load report may have, unless it has none and says 0. A report with a
// lower latency is ignored: no server answers in less time, and the speed of the server, which is computed relative to its
// latency, may overflow.
const MinLatencyMs = 1e-3

const (
	maxReportMs         = 86400e3 // ms; largest period of a report, and largest latency in it: a day
	maxReportedCount    = 1e9     // largest number of attempts or requests in a report
	maxRequestRate      = 1e9     // requests per second; largest rate that a proxy can expect
	maxRelativeCapacity = 1e6     // largest relative capacity of a server
)

// isUsableLoad reports whether the numbers of a load report are within their limits.
func isUsableLoad(count, failed int, latencyMs, coversMs float64) bool {
	return count > 0 && count <= maxReportedCount && failed >= 0 && failed <= count &&
		(latencyMs == 0 || isWithin(latencyMs, MinLatencyMs, maxReportMs)) && isWithin(coversMs, MinReportMs, maxReportMs)
}

// isUsableDemand reports whether the numbers of a demand report are within their limits. More requests may have failed than
// were received, as a request may fail after the period in which it was received.
func isUsableDemand(count, failed int, coversMs float64) bool {
	return count >= 0 && count <= maxReportedCount && failed >= 0 && failed <= maxReportedCount &&
		isWithin(coversMs, MinReportMs, maxReportMs)
}

// isWithin reports whether a number is from a lowest to a highest value. It is false for NaN.
func isWithin(number, lowest, highest float64) bool { return number >= lowest && number <= highest }

// limit returns the number from a lowest to a highest value that is nearest to a number, and the lowest for NaN.
func limit(number, lowest, highest float64) float64 {
	if math.IsNaN(number) {
		return lowest
	}
	return math.Min(math.Max(number, lowest), highest)
}
