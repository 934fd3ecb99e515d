package platform

import "log/slog"

// Counts counts events since the start. Reading it requires the core's lock.
type Counts struct {
	Joins            uint64 // proxy streams that joined
	LostStreams      uint64 // proxy streams that ended before the proxy opened a newer one
	SilentProxies    uint64 // deactivations of silent proxies
	Refusals         uint64 // connections that the planner refused before they joined
	Unreadable       uint64 // connections closed for unreadable bytes, a too long message, or too much incomplete data
	RejectedMessages uint64 // rejected messages of joined connections
	LoadReports      uint64
	DemandReports    uint64
	Acknowledgements uint64
	Updates          uint64 // messages sent to proxies, except pongs and refusals
	Entries          uint64 // channel entries in the messages that Updates counts
	Bytes            uint64 // bytes of the messages that Updates counts
	EndpointUpdates  uint64 // endpoint lists from discovery and from the configuration
	// MaxBacklog is the maximum number of entries that waited in the channel, assuming its stated rate. The policy has an
	// estimate of its own, which the trace shows.
	MaxBacklog float64
	// MaxUnsentDrains is the maximum of policy.UnsentDrains. It stays 0 while drains reach proxies in time.
	MaxUnsentDrains uint64
	Closed          [numCloseReasons]uint64 // connections that the planner closed, by reason
}

// LogValue returns a group of all counts. Close reasons that did not occur are left out.
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
		slog.Uint64(keyMaxUnsentDrains, n.MaxUnsentDrains),
		slog.Attr{Key: keyClosed, Value: slog.GroupValue(closed...)},
	)
}
