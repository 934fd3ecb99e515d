package planner

import "github.com/prometheus/client_golang/prometheus"

// metricPrefix is the common prefix of all metric names.
const metricPrefix = "lichenpick_"

// metric is one exported value of the status. Dashboards and alerts use the names, so they must not change.
type metric struct {
	name  string // metric name without metricPrefix
	help  string // help text, which names the unit
	value func(*Status) float64
}

// metrics lists all exported metrics. Totals are gauges like the other metrics, and must stay gauges, because the type is
// part of a metric's interface.
var metrics = []metric{
	{"proxies", "Number of proxies joined.", func(s *Status) float64 { return float64(s.Proxies) }},
	{"commanded", "Number of proxies commanded by this planner.", func(s *Status) float64 { return float64(s.LeasesHeld) }},
	{"takeovers", "Total proxies taken over from other planners.", func(s *Status) float64 { return float64(s.Takeovers) }},
	{"streams", "Number of open control streams.", func(s *Status) float64 { return float64(s.Streams) }},
	{"servers_ready", "Number of servers listed as ready.", func(s *Status) float64 { return float64(s.Ready) }},
	{"servers_doubted", "Number of servers missing from the endpoint list that are not taken for removed yet.", func(s *Status) float64 { return float64(s.Unverified) }},
	{"lines_waiting", "Entries that wait to be sent, message overhead included.", func(s *Status) float64 { return s.Backlog }},
	{"drains_unsent", "Number of pairs of a proxy and a draining or removed server whose ejection is sent late.", func(s *Status) float64 { return float64(s.UnsentDrains) }},
	{"messages_sent", "Total order messages sent.", func(s *Status) float64 { return float64(s.Messages) }},
	{"lines_sent", "Total entries sent in order messages, message overhead included.", func(s *Status) float64 { return float64(s.Entries) }},
	{"sums_shed", "Total load entries dropped as too many waited for the policy.", func(s *Status) float64 { return float64(s.Shed) }},
	{"reports_merged", "Total load reports added to an earlier one of their stream that still waited.", func(s *Status) float64 { return float64(s.Merged) }},
	{"lag_ms", "Time that the last load reports waited for the core, in milliseconds.", func(s *Status) float64 { return s.LagMs }},
	{"dials_refused", "Total connections rejected by address or by number.", func(s *Status) float64 { return float64(s.RejectedDials) }},
	{"order_ms_p50", "Time from a decision to its acknowledgement, median, in milliseconds.", func(s *Status) float64 { return s.OrderMsP50 }},
	{"order_ms_p99", "Time from a decision to its acknowledgement, 99th percentile, in milliseconds.", func(s *Status) float64 { return s.OrderMsP99 }},
}

// newMetricsRegistry returns a registry of all metrics. Each scrape reads the last status.
func newMetricsRegistry(status *statusPublisher) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	for _, m := range metrics {
		options := prometheus.GaugeOpts{Name: metricPrefix + m.name, Help: m.help}
		registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return m.value(status.load()) }))
	}
	return registry
}
