// Package proxy is a plain proxy of the control plane: it decides nothing itself, applies the weight tables, ejections and
// admission rates that a planner sends, and keeps them while no planner is connected.
//
// Core holds the orders that the proxy received and decides on each request without I/O: whether it is admitted, which server it goes
// to, and whether a failed attempt is retried. Times are handed to it, in milliseconds of a clock that never jumps.
//
// ControlClient connects a Core to planners: it keeps the control streams, applies orders, acknowledges them and reports
// load. Where controllers share the fleet it keeps a stream to each, and the Core's lease.Grantor decides which of them
// commands the proxy. It forwards nothing, so tests can run thousands of them.
//
// Proxy adds an HTTP server in front and connections to servers behind.
//
// # Locking
//
// One mutex, ControlClient's, guards the Core, the sessions and the transports to servers. It is never held during I/O: what
// is sent to a planner goes through a bounded outbox, and a planner that does not read loses its stream.
package proxy
