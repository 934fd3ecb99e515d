package planner

// Keys of the attributes in log records.
const (
	logKeyAddress = "address" // on which the planner listens
	logKeyCause   = "cause"   // of a panic or a failed endpoint update
	logKeyDetail  = "detail"  // explains the reason of a closed stream
	logKeyError   = "error"
	logKeyFrom    = "from"    // address of a peer
	logKeyPath    = "path"    // of a file
	logKeyPlanner = "planner" // name of the planner
	logKeyProxies = "proxies" // number of proxies
	logKeyProxy   = "proxy"   // name of a proxy
	logKeyReason  = "reason"  // controlstream.CloseReason of a closed stream
	logKeyServers = "servers" // number of servers
	logKeyStack   = "stack"   // stack trace of a panic
	logKeyStreams = "streams" // number of open streams
)
