package settings

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Errors of parsing a text with a unit. Callers of this package do not receive these errors, but an *Error that states the
// expected form.
var (
	errNoUnit      = errors.New("missing unit")
	errInvalidRate = errors.New("not a rate")
)

// Milliseconds converts a checked duration such as "250ms" to ms. An empty text is 0.
func Milliseconds(text string) float64 {
	ms, _ := parseMilliseconds(text)
	return ms
}

// Duration converts a checked duration such as "250ms". An empty text is 0.
func Duration(text string) time.Duration {
	duration, _ := time.ParseDuration(text)
	return duration
}

// PerSecond converts a checked rate such as "90/m" to a rate per second. An empty text is 0.
func PerSecond(text string) float64 {
	perSecond, _ := parsePerSecond(text)
	return perSecond
}

// parseMilliseconds parses a duration with a unit. It rejects a bare 0, which time.ParseDuration accepts without a unit.
func parseMilliseconds(text string) (float64, error) {
	if !strings.ContainsAny(text, "nuµmsh") {
		return 0, errNoUnit
	}
	duration, err := time.ParseDuration(text)
	return float64(duration) / float64(time.Millisecond), err
}

// secondsByRateUnit maps each unit that may follow the slash of a rate to its length in seconds.
var secondsByRateUnit = map[string]float64{"s": 1, "m": 60, "h": 3600}

// parsePerSecond parses a rate such as "90/m" and returns the rate per second.
func parsePerSecond(text string) (float64, error) {
	number, unit, hasUnit := strings.Cut(text, "/")
	seconds := secondsByRateUnit[unit]
	count, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !hasUnit || err != nil || seconds == 0 || math.IsNaN(count) {
		return 0, errInvalidRate
	}
	return count / seconds, nil
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', 10, 64) }

func formatMilliseconds(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).String()
}

func formatPerSecond(perSecond float64) string { return formatNumber(perSecond) + "/s" }
