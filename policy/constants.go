package policy

import "math"

// The tuning constants of the policy. Shares, ratios and factors have no unit. docs/design.md explains the choices.
const (
	// The solver and its inputs.
	solveIntervalMs    = 2500.0 // ms between solves; two cohorts take turns, so that each proxy is sent an update every 5 s
	minSolveIntervalMs = 400.0  // least ms between solves, also while servers change; one solve then covers several changes
	admmIterations     = 20     // iterations of the solver, as in the ADMM-20 of the paper
	// capacityHeadroom is the total capacity that the solver is given, as a multiple of the demand. Costs are linear, so with
	// more capacity the costliest servers would get no requests.
	capacityHeadroom   = 1.01
	lowLatencyHeadroom = 0.4 // added to capacityHeadroom at the lowest latencies, to keep requests in their zone
	// costScale is the cost that the solver is given for the median baseline latency, as a multiple of the average share of a
	// server. ADMM converges with rho 1 at this scale of costs.
	costScale = 0.3
	// maxLambda is the largest absolute value of a price in the solver, as a multiple of the average share of a server. A
	// higher price would outlast the overload that caused it.
	maxLambda = 4.0
	// minDemand is the lower bound of the demand of a client, as a multiple of the mean over clients, and of a table, in
	// requests per second. Idle clients and tables need usable weights, too.
	minDemand = 0.02
	// maxDemandShiftShare is the share of the total demand that may move between clients from one solve to the next. After a
	// larger shift, the solver does not start from the prices and shares of the last solve.
	maxDemandShiftShare = 0.3
	// minWarmCapacity is the least total capacity of warm servers that the solver is given, as a share of the demand. It
	// applies however much capacity there is on servers on a ramp.
	minWarmCapacity = 0.5
	// minSpeedAttempts is the least number of attempts at a server, in the window in which load reports count, with which the
	// server's latency and failures reduce its capacity.
	minSpeedAttempts = 4
	// minCapacity is the least share of its capacity to which high latencies and failures reduce a server, and the largest
	// share that an unverified server is assigned. With less, the load reports of a server would hold too few requests.
	minCapacity = 0.08
	// minRelativeCapacity is the least relative capacity of a server, and of all verified servers together. It guards the
	// division by that total.
	minRelativeCapacity = 1e-6
	overloadSlack       = 1.5 // multiple of a server's expected latency that is tolerated, as load reports are noisy
	// minBaselineSamples is the number of load reports of a server with which its baseline latency counts half in its
	// capacity. With more reports, the baseline latency counts more.
	minBaselineSamples      = 3
	minBaselineRequests     = 2 // successes that a load report needs for its latency to count for the baseline latency
	baselineQuantileDivisor = 4 // a baseline latency is the lower quartile of reported latencies, as these are noisy

	// Table sizes and table changes.

	// minCohorts is the least number of cohorts of a client. With two, a new split reaches half of the proxies first.
	minCohorts = 2
	// tableRefreshMs is the time in ms in which the channel must be able to send the tables of all proxies of the planner; it
	// limits the size of tables. The limit leaves room for many joins.
	tableRefreshMs = 1000.0
	// connectionQuota is the share of the smallest server's connections that the proxies may use together; it limits the size
	// of tables. A server slows down when its connections run out.
	connectionQuota = 0.4
	// minRequestsPerConnection is the least mean number of requests that a proxy sends on a connection within the idle
	// timeout; it limits the size of tables. With fewer requests, connections are closed and reopened.
	minRequestsPerConnection = 5.0
	// minTableEntries is the number of entries that a table may hold whatever the other limits are. With this many entries,
	// most servers of a table remain when a fifth of the fleet fails.
	minTableEntries = 8
	// minEntries is the least number of servers of a client, and the number of entries of the largest weights that an
	// assignment never omits. A table is not empty yet after the loss of two of these servers at once.
	minEntries = 3
	// essentialWeight is the share of a table's weight, without that of ejected servers, that is sent with the table's
	// assignment in a takeover: the entries of the largest weights, until their sum reaches this share. The other entries are
	// omitted and sent later.
	essentialWeight = 0.8
	// maxTableWaitMs is the longest time in ms that a proxy may wait in a takeover, after it has joined, for a table with
	// entries. The takeover ends once a proxy has waited longer.
	maxTableWaitMs = 1000.0
	// minWeightChange is the least change of a weight that is sent, as a share of the weight; smaller changes are noise. It
	// is also the least share of a server, as a part of the average share.
	minWeightChange     = 0.25
	warmingShareDivisor = 4 // the least share of a server on a ramp is smaller than that of other servers by this factor
	// balanceIterations is the number of rounds in which the weights in a client's tables are scaled, in turn, to the shares
	// of its servers and to a sum of 1 in each table. There are as many rounds as iterations of ADMM, but nothing requires
	// the two numbers to be equal.
	balanceIterations = 20
	weightSteps       = 1e4    // weights are multiples of 1/weightSteps
	urgentIntervalMs  = 1500.0 // least ms between urgent entries of a table, as the number of messages may be limited
	// maxMissingShare is the unsent share of a table's total target weight above which additions to the table are urgent.
	maxMissingShare = 0.4
	// weightTolerance is the weight, in addition to overTargetFactor times the target, by which a sent weight may exceed its
	// target without an urgent reduction. It allows for rounding.
	weightTolerance = 0.005
	// overTargetFactor is the multiple of its target above which the sent weight of a server on a ramp is reduced urgently.
	// While a weight of a server is above it, the readmission of the server waits.
	overTargetFactor = 1.5

	// Load reports and slow start.
	maxSamples = 24 // number of load reports kept for each server and zone, and of demand reports for each proxy and class
	// maxSampleZones is the largest number of zones by which maxSamples is multiplied for one server. In a fleet with more
	// zones, the load reports from all zones share that limit.
	maxSampleZones = 2
	// mergeGapShare is the longest time between two load reports of a server that count as reports of one period and are
	// merged, as a share of the report interval.
	mergeGapShare = 0.5
	// minWindowMs is the least time in ms for which load and demand reports count. It is enough for three load reports of a
	// server; with a longer time, a fault would show too late.
	minWindowMs = 3500.0
	// windowRounds is the number of rounds of load reports for which reports count, if this is longer than minWindowMs. Each
	// server reports once in a round; with more than one round, each has a report among those that count.
	windowRounds        = 1.5
	slowStartDoublingMs = 5000.0 // ms in which the share of its capacity that a new server is assigned doubles
	// slowStartMargin is the share of its cold capacity that a starting server is assigned. Proxies pick the better of two
	// servers, which may double the share of the requests that a server gets.
	slowStartMargin = 0.8
	// idleClassRate is the rate, in requests per second, that is added to the rate of each class when their latency
	// objectives are averaged. It is the least weight of a class in the mean latency objective.
	idleClassRate = 0.01

	// Ejection and readmission of outliers.

	// ejectionThreshold is the evidence, in nats, at which a server is ejected. A dozen failures and no success reach it,
	// which happens to a healthy server by chance in 1 of 400 cases.
	ejectionThreshold        = 6.0
	maxReportEvidence        = 4.0  // nats that one load report may add, so that no single report ejects a server
	unverifiedEvidenceFactor = 2.0  // applied to the evidence against unverified servers, which may not belong to the fleet
	deadFailureShare         = 0.99 // assumed failure share of a dead server; one that succeeds more often is overloaded or slow
	// minOverloadFailureShare is the least limit of the failure share that an overload explains. An overload reduces the
	// capacity of servers instead of ejecting them.
	minOverloadFailureShare = 0.6
	// maxOverloadFailureShare is the highest limit of the failure share that an overload explains. The limit reaches this
	// value when the failure share of the median server is near half.
	maxOverloadFailureShare = 0.95
	overloadFailureFactor   = 2 // multiple of the median server's failure share that an overload explains
	// maxEjectedShare is the largest share of the fleet that may be ejected by evidence; with more outliers, a fault of the
	// reports is likelier. It is also the failure share of the median server above which demand is uncertain.
	maxEjectedShare = 0.3
	// ejectionMs is how long the first ejection lasts; each further one lasts twice as long. A proxy counts as new for this long
	// after it joined. A server that was just started, readmitted or added to a table may also send no load reports for this long
	// without evidence against it.
	ejectionMs    = 5000.0
	maxEjectionMs = 20000.0 // ms of the longest ejection, which is as long as the longest hangs of servers
	// minWarmShare is the least share of the capacity of ready servers that must be warm and usable for cold servers to be
	// ejected.
	minWarmShare = 0.33
	// coldLoadFactor is the multiple of its share of the highest rate that the fleet has served that a cold server may be sent.
	coldLoadFactor = 2.0
	// warmLoadFactor is the same for a warm server, while some of the fleet is in slow start.
	warmLoadFactor = 3.0
	// maxBearableShare is the share of the demand from which on servers bear all of it: ADMM leaves small excesses.
	maxBearableShare = 0.95
	servedPeriodMs   = 600e3 // ms for which the highest rate that the fleet has served is kept, at least
	// minJoinedFraction is the least part of all proxies that must have joined for their requests to show what the fleet serves.
	minJoinedFraction = 0.1
	newProxyDivisor   = 3   // demand is uncertain when more than 1/newProxyDivisor of the proxies are new
	recoveryShare     = 0.2 // share of its capacity with which a readmitted server starts, at little risk
	// recoveryDoublingMs is the time in ms in which the share of its capacity that a readmitted server is assigned doubles.
	// The server is assigned its full capacity after some three report intervals.
	recoveryDoublingMs = 1500.0
	forgetRemovedMs    = 600e3 // ms that a removed server in no table is kept, as its name may be used again

	// Admission.
	admissionIntervalMs = 2000.0 // ms between admission steps; about the time until a new rate shows in the load reports
	admissionCutPauseMs = 1000.0 // ms added to admissionIntervalMs after a cut of the admission rates
	// overloadThreshold is the ratio of the median server's latency to the latency objective above which the fleet is
	// overloaded. Above this ratio, about a tenth of the requests is late.
	overloadThreshold = 0.5
	// recoveryThreshold is the latencyRatio of fleetLoad above which many failures show an overload, and the waitRatio of
	// fleetLoad below which admission rates rise. It is also the ratio of the latency to its objective at which
	// lowLatencyHeadroom no longer adds anything.
	recoveryThreshold = 0.35
	// overloadFailureShare is the failure share of the median server above which an overload is likelier than chance.
	overloadFailureShare  = 0.12
	admissionDecrease     = 0.6 // lowest factor by which one step reduces the admitted share, as load reports may be late
	admissionWindowRounds = 1.2 // rounds of load reports that a step uses; older reports precede the last step
	// capacityRetention is the lowest factor by which one admission step in an overload reduces the known capacity of the
	// fleet. The known capacity is reduced at all because servers may have left.
	capacityRetention = 0.8
	// admittedCapacityShare is the share of the known capacity that is admitted in an overload, so that the overload drains.
	// After the overload, the admitted rate rises to this share at once.
	admittedCapacityShare = 0.85
	// admissionIncrease is the largest relative increase of the admitted share in one admission step, apart from the rise to
	// admittedCapacityShare. The increase is smaller at a higher waitRatio, and 0 at a waitRatio of recoveryThreshold.
	admissionIncrease = 0.3
	minClassDemand    = 1e-9 // requests per second; guards the division by the demand of a class
	minAdmission      = 0.1  // least admission rate of a class; its admitted requests show whether the overload is over
	admissionSteps    = 20   // admission rates are multiples of 1/admissionSteps; finer steps would cost messages

	// The control channel and timers.

	// lateAcknowledgementFactor is the multiple of the longest propagation above which the time of an acknowledgement shows a
	// slow channel.
	lateAcknowledgementFactor = 2
	// lowBacklogShare is the part of an urgency's backlogShare below which the unacknowledged entries count as a small
	// backlog.
	lowBacklogShare = 0.5
	// maxDrainWaitShare is the share of the drain grace within which the ejection of a draining server must reach proxies. As
	// long as that leaves time, the ejection may wait to share a message with other orders.
	maxDrainWaitShare = 0.5
	// lateDrainShare is the share of the drain grace after which an ejection that a proxy has not been sent is reported.
	lateDrainShare         = 0.75
	unsentReportIntervalMs = 1000.0 // least ms between two reports of late drains
	slowChannelFactor      = 6.0    // factor by which the channel drains more slowly while acknowledgements are late
	// pollsUntilNotified is the largest number of polls of the endpoint list within Settings.AssumeNotifiedMs while no answer
	// arrives.
	pollsUntilNotified = 3
	pollBackoffMs      = 1200.0 // first wait in ms after a failed poll of the endpoint list; doubled by each further one
	// pollSpread is the least multiple of the backoff that a planner waits after a failed poll. The wait is random, from 0.5
	// to 1.5 times the backoff, so that planners do not poll together.
	pollSpread             = 0.5
	maxPollBackoffShare    = 0.5   // limit of the backoff after failed polls, as a share of Settings.AssumeNotifiedMs
	acknowledgementNumbers = 65536 // numbers of acknowledgement requests start again at 0 after this many
	evaluationIntervalMs   = 200.0 // ms between evaluations without input; well below every grace period
)

// Urgencies of orders. A higher one may fill more of the channel, so that less urgent orders leave room for it.
const (
	prepaid = iota - 1 // for an order whose budget was spent together with an earlier order
	deferrable
	urgent
	required
	drainEjection // for ejections of draining and removed servers, for which a part of the budget is reserved
)

var (
	// backlogShare is the share of Settings.MaxBacklog that may be filled when an order of an urgency is sent.
	backlogShare = [...]float64{deferrable: 0.15, urgent: 0.6, required: 0.65, drainEjection: 0.9}
	// messageShare is the share of Settings.MaxMessages that may be used when an order of an urgency is sent.
	messageShare = [...]float64{deferrable: 0.34, urgent: 0.5, required: 0.7, drainEjection: 0.92}
	// unset is the time of an event that has not happened yet.
	unset = math.Inf(-1)
)
