package planner

// Keys of the attributes in log records.
const (
	logKeyAddress = "address" // that the planner listens on
	logKeyCause   = "cause"   // of a panic, or of a failed endpoint update
	logKeyDetail  = "detail"  // of a closed stream, beside its reason
	logKeyError   = "error"
	logKeyFrom    = "from" // address of a peer
	logKeyPath    = "path" // of a file
	logKeyPlanner = "planner"
	logKeyProxies = "proxies" // number of them
	logKeyProxy   = "proxy"   // name
	logKeyReason  = "reason"  // of a closed stream; a controlstream.CloseReason
	logKeyServers = "servers" // number of them
	logKeyStack   = "stack"   // of a panic
	logKeyStreams = "streams" // number of them
)
