package lease

// Times of the protocol that a host or the other end goes by too.
const (
	// DurationMs is how long a lease lasts from its grant, in ms. It bounds the time that a proxy has no commander after one
	// died, apart from a request's way.
	DurationMs = 2000.0
	// UnreachableAfterMs is the time without a frame, in ms, after which a proxy no longer names a controller reachable. It takes
	// three lost heartbeats.
	UnreachableAfterMs = 1200.0
	// HeartbeatIntervalMs is the longest time between two frames of a controller to a proxy, in ms.
	HeartbeatIntervalMs = 400.0
	// DrainRetentionMs is how long a controller honours a drain that it knows from a proxy's earlier commander, in ms, while its
	// own endpoint list does not show it.
	DrainRetentionMs = 30000.0
)

// Validity of a lease at its holder.
const (
	// clockRateBound is the part by which two clocks may run apart. Quartz stays within 0.0001; a clock that stands still
	// while its machine is suspended is outside the bound.
	clockRateBound = 0.1
	// safetyMarginMs is the last part of a lease, in ms, that its holder doesn't use. An order that was decided before is sent
	// within that time.
	safetyMarginMs = 20.0
)

// Pace of requests.
const (
	// renewIntervalMs is the time from one request to the renewal, in ms. Four renewals may be lost before a lease expires.
	renewIntervalMs = 400.0
	// answerTimeoutMs is the time after which an unanswered request is repeated, in ms.
	answerTimeoutMs = 600.0
	// rankDelayMs is what each controller waits longer than the one ranked before it, in ms. A request and its answer take a
	// tenth of it.
	rankDelayMs = 150.0
	// connectGraceMs is how long a new stream's proxy may take to reach the other controllers, in ms. A redial takes as long.
	connectGraceMs = 500.0
	// maxPendingRequests bounds the unanswered requests for one proxy. Older ones can no longer be of use.
	maxPendingRequests = 8
)

// Pace of transfers.
const (
	// transferDelayMs is how long a better ranked controller must be reachable before proxies are transferred to it, in ms.
	transferDelayMs = 3000.0
	// maxTransferDelayDoublings bounds how often transferDelayMs is doubled for a proxy that came back after a transfer: a minute and a half.
	maxTransferDelayDoublings = 5
	// transfersPerSecond bounds the pace of transfers, as each has the next holder send the proxy a whole weight table.
	transfersPerSecond = 20.0
	transferIntervalMs = 1000 / transfersPerSecond
)

// Reservation of epochs.
const (
	// epochsPerReservation is how many epochs one write to the store covers: a takeover of a thousand proxies takes one.
	epochsPerReservation = 1000
	// reservationPollMs is how soon a proxy is evaluated again while a reservation is being written, in ms.
	reservationPollMs = rankDelayMs / 4
)
