package settings

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Errors of texts with a unit. They stay in this package: a problem says what is wanted instead.
var (
	errNoUnit      = errors.New("no unit")
	errInvalidRate = errors.New("no rate")
)

// Milliseconds gives a checked time in ms; empty is 0.
func Milliseconds(text string) float64 {
	ms, _ := parseMilliseconds(text)
	return ms
}

// Duration gives a checked time; empty is 0.
func Duration(text string) time.Duration {
	duration, _ := time.ParseDuration(text)
	return duration
}

// PerSecond gives a checked rate per second; empty is 0.
func PerSecond(text string) float64 {
	perSecond, _ := parsePerSecond(text)
	return perSecond
}

// parseMilliseconds reads a time with its unit. A bare 0, which time.ParseDuration takes, has none.
func parseMilliseconds(text string) (float64, error) {
	if !strings.ContainsAny(text, "nuµmsh") {
		return 0, errNoUnit
	}
	duration, err := time.ParseDuration(text)
	return float64(duration) / float64(time.Millisecond), err
}

// secondsByRateUnit are the units of a rate, as they stand after the slash.
var secondsByRateUnit = map[string]float64{"s": 1, "m": 60, "h": 3600}

// parsePerSecond reads a rate such as 90/m.
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
