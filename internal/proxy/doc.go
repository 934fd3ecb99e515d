// Package proxy implements an HTTP proxy that distributes requests as a planner directs. It applies the weight tables,
// ejections and admission rates that the planner sends, and keeps the last ones in force while no planner is connected.
//
// Core holds these orders and makes the decisions for each request: whether to admit it, which server to send it to, and
// whether to retry a failed attempt. It does no I/O and reads no clock; callers pass in times in milliseconds of a monotonic
// clock.
//
// ControlClient connects a Core to planners: it maintains the control streams, applies and acknowledges orders and sends load
// reports. Where several controllers share the fleet, it maintains a stream to each of them, and the Core's lease.Grantor
// decides which of them commands the proxy. A ControlClient forwards no requests, so that tests can run thousands of them.
//
// Proxy adds an HTTP server for clients and the connections to servers.
//
// # Locking
//
// The mutex of ControlClient guards the Core, the sessions and the transports to servers. It is never held during I/O. Frames
// for a planner go through a bounded outbox; if a planner reads so slowly that the outbox overflows, its stream is closed.
package proxy
