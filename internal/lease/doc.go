// Package lease decides which controller commands which proxy where several controllers share one fleet. It is two state
// machines: Grantor, a proxy's side, which grants leases and checks orders, and Manager, a controller's side, which requests,
// renews, transfers and releases them. Neither does I/O, reads a clock or starts a goroutine, and neither may be used by two
// goroutines at once.
//
// # Protocol
//
// Each proxy alone decides who commands it, and has a stream to each controller. All times are in ms of the clock of
// whoever holds them; messages carry spans, never times.
//
//   - A controller requests a lease on a free proxy under an epoch that is above all that it used itself and above the last
//     that the proxy granted. The proxy grants it if nobody else holds a lease, and answers with its view: epoch, holder, time
//     left, and the controllers that it can reach. It sends this view to all others as well when the holder changes.
//   - Controllers rank themselves for each proxy by rendezvous hashing over those that the proxy can reach. Each waits longer
//     the lower it ranks, so that requests rarely compete.
//   - The holder renews under the same epoch every renewIntervalMs. A lease lasts DurationMs from each grant.
//   - Orders carry the epoch that they were decided under. The proxy obeys those of its current holder and epoch only.
//   - The holder releases the lease when it drains, or when a better ranked controller has been reachable for a while.
//
// # Epochs
//
// A proxy's epoch never falls, and no two processes use one epoch for the same proxy under one name: before a controller uses
// an epoch it has its host write down, on disk, that epochs up to some bound may be used (Host.ReserveEpochs), and a restarted
// controller starts above that bound. A process is told apart from an earlier one of the same name, or from a second one
// set up with that name by mistake, by an incarnation that is drawn at its start.
//
// # Guarantees
//
// At most one controller believes that it holds a proxy's lease. The proxy counts a lease from when it grants it; the holder
// counts it from before it asked, less clockRateBound for clocks that run at different rates and safetyMarginMs for orders
// on their way. So the holder has stopped believing before the proxy can grant the next lease. This holds while clocks run
// within clockRateBound of each other.
//
// Whatever the clocks do, a proxy never obeys an order that was decided under an epoch other than the one it granted last:
// what a paused controller sends after its lease expired is rejected.
//
// Package model checks both by exhaustive search.
package lease
