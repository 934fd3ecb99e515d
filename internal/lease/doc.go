// Package lease decides which controller commands which proxy when several controllers share one fleet of proxies. A
// controller is a planner in its role as lease holder, and orders are the messages by which it directs a proxy. The package
// has two state machines: Grantor, on the proxy, grants leases and checks orders; Manager, on the controller, requests,
// renews, transfers and releases leases. Neither does I/O, reads a clock or starts a goroutine, and neither is safe for
// concurrent use.
//
// # Protocol
//
// Each proxy has a stream to every controller, and alone decides which of them commands it. Timestamps are in ms of the
// local clock of the process that stores them; messages carry durations only, never timestamps.
//
//   - A controller requests a lease on a free proxy under an epoch that is higher than every epoch it has used itself and
//     than the last one that the proxy granted. The proxy grants the lease if no other controller holds one, and answers
//     with its view: epoch, holder, remaining time, and the controllers that it can reach. When the holder changes, the
//     proxy also sends this view to all other controllers.
//   - For each proxy, controllers rank themselves by rendezvous hashing over the controllers that the proxy can reach. The
//     lower a controller ranks, the longer it waits before it requests a lease, so that requests rarely compete.
//   - The holder renews its lease under the same epoch every renewIntervalMs. A lease lasts DurationMs from each grant.
//   - Orders carry the epoch under which they were decided. The proxy obeys only orders of its current holder and epoch.
//   - The holder releases its lease when it drains, or when a better ranked controller has been reachable for
//     transferDelayMs.
//
// # Epochs
//
// A proxy's epoch never decreases, and no two processes of the same name use the same epoch for one proxy: before a
// controller uses an epoch, its host records on disk that epochs up to some bound may be used (Host.ReserveEpochs), and a
// restarted controller starts above that bound. An incarnation, a random number that each process draws at its start,
// distinguishes a process from an earlier one of the same name, and from a second one that was given the same name by
// mistake.
//
// # Guarantees
//
// At most one controller considers itself the holder of a proxy's lease. The proxy measures a lease from the moment it
// grants the lease. The holder measures the lease from the moment it sent the request, and subtracts clockRateBound for
// clocks that run at different rates and safetyMarginMs for orders in transit. Hence the holder considers the lease expired
// before the proxy can grant the next one, as long as the rates of their clocks differ by at most clockRateBound.
//
// Independently of clocks, a proxy never obeys an order that was decided under an epoch other than the one it granted last:
// orders that a paused controller sends after its lease expired are rejected.
//
// Package model checks both guarantees by exhaustive search.
package lease
