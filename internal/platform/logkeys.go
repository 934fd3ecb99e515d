package platform

// logMessageRejected is the log line for a rejected message of a joined connection.
const logMessageRejected = "message rejected"

// Keys of log attributes.
const (
	keyAddress          = "address"
	keyCores            = "cores"
	keyCounts           = "counts"
	keyDiscovery        = "discovery"
	keyEndpoints        = "endpoints"
	keyError            = "error"
	keyFull             = "full"
	keyJoined           = "joined"
	keyLine             = "line"
	keyMaxDescriptors   = "max_descriptors"
	keyMemoryMB         = "memory_mb"
	keyMessage          = "message"
	keyName             = "name"
	keyOpenConnections  = "open_connections"
	keyPanic            = "panic"
	keyProxies          = "proxies"
	keyReason           = "reason"
	keyRemainingRetries = "remaining_retries"
	keyStack            = "stack"
	keyVersion          = "version"
)

// Keys in the group of counts.
const (
	keyAcknowledgements = "acknowledgements"
	keyBytes            = "bytes"
	keyClosed           = "closed"
	keyDemandReports    = "demand_reports"
	keyEndpointUpdates  = "endpoint_updates"
	keyEntries          = "entries"
	keyJoins            = "joins"
	keyLoadReports      = "load_reports"
	keyLostStreams      = "lost_streams"
	keyMaxBacklog       = "max_backlog"
	keyMaxUnsentDrains  = "max_unsent_drains"
	keyRefusals         = "refusals"
	keyRejectedMessages = "rejected_messages"
	keySilentProxies    = "silent_proxies"
	keyUnreadable       = "unreadable"
	keyUpdates          = "updates"
)
