package platform

import "errors"

// Errors of rejected reports and acknowledgements.
var (
	errUnknownServer = errors.New("unknown server")
	errUnknownClass  = errors.New("unknown traffic class")
	errOtherProxy    = errors.New("message names another proxy")
)

// recordLoadReport handles a collector's report on a server.
func (c *Core) recordLoadReport(m *message) error {
	report, err := m.loadReport()
	if err != nil {
		return err
	}
	zone, known := c.zones[report.Zone]
	if !known {
		return errUnknownZone
	}
	e := c.endpoints.byName[report.Server]
	if e == nil {
		return errUnknownServer
	}
	e.requests += float64(report.Requests)
	e.failed += float64(report.Failed)
	e.latencySumMs += report.MeanMs * float64(report.Requests-report.Failed)
	c.Counts.LoadReports++
	c.policy.RecordLoadReport(report.Server, zone, report.Requests, report.Failed, report.MeanMs, report.SpanMs)
	return nil
}

// recordDemand handles a proxy's report on the requests that it received. The report may also arrive through a collector.
func (c *Core) recordDemand(connection *Connection, m *message) error {
	report, err := m.demandReport()
	if err != nil {
		return err
	}
	class, known := c.classes[report.Class]
	if !known {
		return errUnknownClass
	}
	if report.ProxyID >= len(c.proxies.byID) {
		return errUnknownProxy
	}
	if connection.proxy != nil && connection.proxy.id != report.ProxyID {
		return errOtherProxy
	}
	c.Counts.DemandReports++
	c.policy.RecordDemandReport(report.ProxyID, class, report.Requests, report.Failed, report.SpanMs)
	return nil
}
