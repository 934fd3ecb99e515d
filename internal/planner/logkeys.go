package planner

// Keys of the attributes in log records.
const (
	logKeyAddress = "address" // address on which the planner listens
	logKeyCause   = "cause"   // cause of a panic or of a failed endpoint update
	logKeyDetail  = "detail"  // detail of the reason for which a stream was closed
	logKeyError   = "error"
	logKeyFrom    = "from"    // address of a peer
	logKeyPath    = "path"    // path of a file
	logKeyPlanner = "planner" // name of the planner
	logKeyProxies = "proxies" // count of proxies
	logKeyProxy   = "proxy"   // name of a proxy
	logKeyReason  = "reason"  // controlstream.CloseReason of a closed stream
	logKeyServers = "servers" // count of servers
	logKeyStack   = "stack"   // stack trace of a panic
	logKeyStreams = "streams" // count of open streams
)
