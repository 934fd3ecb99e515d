package lease

// Durations of the lease protocol that other packages use as well.
const (
	// DurationMs is how long a lease lasts from its grant, in ms. After a lease holder crashes, its proxies have no
	// controller for at most this time, plus the round trip of the next lease request.
	DurationMs = 2000.0
	// UnreachableAfterMs is the time in ms, three heartbeat intervals, after which a proxy that has received nothing from a
	// controller no longer reports the controller as reachable.
	UnreachableAfterMs = 1200.0
	// HeartbeatIntervalMs is the longest time between two frames that a controller sends to a proxy, in ms.
	HeartbeatIntervalMs = 400.0
	// DrainRetentionMs is how long after a takeover, in ms, the new lease holder treats a server as draining that drained
	// under the previous holder, while the new holder's own endpoint list does not show the drain yet.
	DrainRetentionMs = 30000.0
)

// Limits on how long a holder considers its lease valid.
const (
	// clockRateBound is the largest relative difference between the rates of two clocks that leases tolerate. The rate of a
	// quartz clock stays within 0.0001 of true time; a clock that stops while its machine is suspended exceeds the bound.
	clockRateBound = 0.1
	// safetyMarginMs is the last part of a lease, in ms, that its holder does not use. The margin leaves time to send
	// orders that were decided just before the holder stops using the lease.
	safetyMarginMs = 20.0
)

// Timing of lease requests.
const (
	// renewIntervalMs is the time from one lease request to the next renewal, in ms. The holder considers its lease
	// expired once four renewals in a row are lost.
	renewIntervalMs = 400.0
	// answerTimeoutMs is the time after which an unanswered lease request is repeated, in ms.
	answerTimeoutMs = 600.0
	// rankDelayMs is how much longer each controller waits with its lease request than the controller ranked before it, in
	// ms. The delay is ten times what a request and its answer take.
	rankDelayMs = 150.0
	// connectGraceMs is how long a proxy whose stream has just come up may take to reach the other controllers, in ms:
	// about the time of a redial.
	connectGraceMs = 500.0
	// maxPendingRequests bounds how many unanswered lease requests are kept for one proxy. By the time the oldest request is
	// dropped, any lease granted for that request has expired.
	maxPendingRequests = 8
)

// Timing of transfers of proxies to another controller.
const (
	// transferDelayMs is how long a better ranked controller must have been reachable before a proxy is transferred to
	// it, in ms.
	transferDelayMs = 3000.0
	// maxTransferDelayDoublings bounds how often transferDelayMs is doubled for a proxy that came back after a transfer.
	// The longest delay is about a minute and a half.
	maxTransferDelayDoublings = 5
	// transfersPerSecond limits the rate of transfers, because the next holder sends the proxy a full weight table after
	// each transfer.
	transfersPerSecond = 20.0
	transferIntervalMs = 1000 / transfersPerSecond
)

// Reservation of epochs.
const (
	// epochsPerReservation is how many epochs one write to the store reserves: enough that a takeover of a thousand proxies
	// needs only one write.
	epochsPerReservation = 1000
	// reservationPollMs is the interval at which a proxy is evaluated again while a reservation is being written, in ms.
	reservationPollMs = rankDelayMs / 4
)
