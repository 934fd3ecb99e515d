// Package planner implements the control-plane process that directs a fleet of proxies.
//
// Core owns the policy and the state around it: the joined proxies, the load reports that the policy has not recorded yet,
// the orders that wait to be sent, and the messages that are not acknowledged yet. It does no I/O, starts no goroutine and
// reads no clock. Its host reports events by calling input methods and then calls Next until no decision is left.
//
// Run is the server around a Core. It connects the Core to the listeners, the control streams, the endpoint source, the
// epoch store and the clock. One goroutine owns the Core; each connection is decoded and encoded on goroutines of its own.
package planner
