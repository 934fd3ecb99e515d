// Package planner is the control-plane process that directs a fleet of proxies.
//
// Core owns the policy and everything that follows from its decisions: which proxies are joined, which load reports the
// policy has yet to record, which orders wait to be sent and which were not acknowledged. It does no I/O, starts no goroutine
// and reads no clock: its host tells it what happened by input methods and then pulls decisions by Next.
//
// Run is the server around a Core: it connects it to listeners, control streams, the endpoint source, the epoch store and
// the clock. One goroutine owns the Core; streams are decoded and encoded on goroutines of their own.
package planner
