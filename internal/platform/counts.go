package platform

import "log/slog"

// Counts are what happened since the start. The host may read them under the lock of the core.
type Counts struct {
	Joins            uint64 // streams of proxies that joined
	LostStreams      uint64 // that ended without being replaced
	SilentProxies    uint64 // times that a proxy was taken for gone because it answered nothing
	Refusals         uint64 // connections that were refused
	Unreadable       uint64 // connections closed for bytes that are no message, or for too many of them
	RejectedMessages uint64 // of joined connections
	LoadReports      uint64
	DemandReports    uint64
	Acknowledgements uint64
	Updates          uint64 // messages sent to proxies, without pongs and refusals
	Entries          uint64 // in these
	Bytes            uint64 // of these
	EndpointUpdates  uint64 // from discovery, and from the configuration
	// MaxBacklog is how many entries waited in the channel at most, were it as fast as stated. The policy's own estimate is
	// in the trace.
	MaxBacklog float64
	Closed     [numCloseReasons]uint64 // connections that the planner closed, by reason
}

// LogValue is a group of all counts. Of the reasons for closing connections it holds those that occurred.
func (n *Counts) LogValue() slog.Value {
	var closed []slog.Attr
	for reason, count := range n.Closed {
		if count > 0 {
			closed = append(closed, slog.Uint64(CloseReason(reason).String(), count))
		}
	}
	return slog.GroupValue(
		slog.Uint64(keyJoins, n.Joins),
		slog.Uint64(keyLostStreams, n.LostStreams),
		slog.Uint64(keySilentProxies, n.SilentProxies),
		slog.Uint64(keyRefusals, n.Refusals),
		slog.Uint64(keyUnreadable, n.Unreadable),
		slog.Uint64(keyRejectedMessages, n.RejectedMessages),
		slog.Uint64(keyLoadReports, n.LoadReports),
		slog.Uint64(keyDemandReports, n.DemandReports),
		slog.Uint64(keyAcknowledgements, n.Acknowledgements),
		slog.Uint64(keyUpdates, n.Updates),
		slog.Uint64(keyEntries, n.Entries),
		slog.Uint64(keyBytes, n.Bytes),
		slog.Uint64(keyEndpointUpdates, n.EndpointUpdates),
		slog.Float64(keyMaxBacklog, n.MaxBacklog),
		slog.Attr{Key: keyClosed, Value: slog.GroupValue(closed...)},
	)
}
