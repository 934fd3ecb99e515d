package policy

import "math"

// The tuning constants of the policy. Shares, ratios and factors have no unit. docs/design.md explains the choices.
const (
	// The solver and its inputs.
	solveIntervalMs         = 2500.0 // ms between solves; two cohorts take turns, so that each proxy is sent an update every 5 s
	minSolveIntervalMs      = 400.0  // least ms between solves, also while servers change; one solve then covers several changes
	admmIterations          = 20     // iterations of the solver, as in the ADMM-20 of the paper
	capacityHeadroom        = 1.01   // total capacity over demand; costs are linear, so more would idle the costliest servers
	lowLatencyHeadroom      = 0.4    // added to capacityHeadroom at the lowest latencies, to keep requests in their zone
	costScale               = 0.3    // cost of the median latency, in average shares; ADMM converges with rho 1 at this scale
	maxLambda               = 4.0    // limit of a price, in average shares; a higher one outlasts the overload that caused it
	minDemand               = 0.02   // least demand of a client (mean: 1) or table (requests/s); idle ones need weights, too
	maxDemandShiftShare     = 0.3    // share of all demand that moved between clients; beyond it, prices and shares are reset
	minWarmCapacity         = 0.5    // least share of the demand given to warm servers, however much capacity is on a ramp
	minSpeedAttempts        = 4      // attempts of a server in the window before its latency and failures reduce its capacity
	minCapacity             = 0.08   // least share of its capacity for a server; with less, its load reports hold too few requests
	minRelativeCapacity     = 1e-6   // least relative capacity of a server, and of the fleet; guards divisions by the sum
	overloadSlack           = 1.5    // multiple of a server's expected latency that is tolerated, as load reports are noisy
	minBaselineSamples      = 3      // load reports after which a baseline latency counts half
	minBaselineRequests     = 2      // successes that a load report needs for its latency to count for the baseline latency
	baselineQuantileDivisor = 4      // a baseline latency is the lower quartile of reported latencies, as these are noisy

	// Table sizes and table changes.
	minCohorts               = 2      // least cohorts of a client; with two, a new split reaches half of the proxies first
	tableRefreshMs           = 1000.0 // ms in which the channel can send the tables of all proxies; leaves room for many joins
	connectionQuota          = 0.4    // usable share of the smallest server's connections; servers slow down when these run out
	minRequestsPerConnection = 5.0    // least requests on a connection per idle timeout; with fewer, it closes and is reopened
	minTableEntries          = 8      // least limit of a table's entries; most servers of a table remain when a fifth fails
	minEntries               = 3      // least number of servers of a client; two may be lost at once before its tables are empty
	essentialWeight          = 0.8    // share of a table's weight that a proxy is sent with the table's assignment in a takeover
	maxTableWaitMs           = 1000.0 // ms from the join of a proxy; a longer wait for a table with entries ends a takeover
	// minWeightChange is the least change of a weight that is sent, as a share of the weight; smaller changes are noise. It
	// is also the least share of a server, as a part of the average share.
	minWeightChange     = 0.25
	warmingShareDivisor = 4      // the least share of a server on a ramp is smaller than that of other servers by this factor
	balanceIterations   = 20     // rounds of scaling weights to shares; as many as there are iterations of ADMM
	weightSteps         = 1e4    // weights are multiples of 1/weightSteps
	urgentIntervalMs    = 1500.0 // least ms between urgent entries of a table, as the number of messages may be limited
	maxMissingShare     = 0.4    // unsent share of a table's weight above which additions to it are urgent
	weightTolerance     = 0.005  // weight by which an entry may exceed its target without an urgent reduction, for rounding
	overTargetFactor    = 1.5    // multiple of its target above which an entry is reduced urgently

	// Load reports and slow start.
	maxSamples          = 24     // load reports kept for each server and zone, and demand reports for each proxy and class
	maxSampleZones      = 2      // for one server, maxSamples is multiplied by the number of zones, but at most by this
	mergeGapShare       = 0.5    // share of the report interval; reports on a server that are closer together are of one period
	minWindowMs         = 3500.0 // least ms for which load reports count; enough for three; if longer, a fault shows too late
	windowRounds        = 1.5    // rounds of load reports that count; more than one, so that each server has a report among them
	slowStartDoublingMs = 5000.0 // time in which the capacity of a new server doubles
	slowStartMargin     = 0.8    // usable share of the cold capacity; picking the better of two servers may double its share
	idleClassRate       = 0.01   // requests per second added to each class as its least weight in the mean latency objective

	// Ejection and readmission of outliers.
	ejectionThreshold        = 6.0  // nats of evidence; reached by a dozen failures and no success, by chance in 1 of 400 cases
	maxReportEvidence        = 4.0  // nats that one load report may add, so that no single report ejects a server
	unverifiedEvidenceFactor = 2.0  // applied to the evidence on unverified servers, which may not belong to the fleet
	deadFailureShare         = 0.99 // failure share of a dead server; a server that succeeds more often is overloaded or slow
	// minOverloadFailureShare is the least limit of the failure share that an overload explains. An overload reduces the
	// capacity of servers instead of ejecting them.
	minOverloadFailureShare = 0.6
	maxOverloadFailureShare = 0.95 // highest limit of the failure share that an overload explains; reached at a median near half
	overloadFailureFactor   = 2    // multiple of the median server's failure share that an overload explains
	// maxEjectedShare is the largest share of the fleet that may be ejected by evidence; with more outliers, a fault of the
	// reports is likelier. It is also the failure share of the median server above which demand is uncertain.
	maxEjectedShare = 0.3
	// ejectionMs is how long the first ejection lasts; each further one lasts twice as long. A proxy counts as new for this long
	// after it joined. A server that was just started, readmitted or added to a table may also send no load reports for this long
	// without evidence against it.
	ejectionMs          = 5000.0
	maxEjectionMs       = 20000.0 // ms of the longest ejection, which is as long as the longest hangs of servers
	maxColdEjectedShare = 0.8     // share of the fleet above which no more cold servers are ejected; the rest are warm
	newProxyDivisor     = 3       // demand is uncertain when more than 1/newProxyDivisor of the proxies are new
	recoveryShare       = 0.2     // share of its capacity with which a readmitted server starts, at little risk
	recoveryDoublingMs  = 1500.0  // ms in which the share of a readmitted server doubles; full after some three report intervals
	forgetRemovedMs     = 600e3   // ms that a removed server in no table is kept, as its name may be used again

	// Admission.
	admissionIntervalMs   = 2000.0 // ms between admission steps; about the time until a new rate shows in the load reports
	admissionCutPauseMs   = 1000.0 // ms added to admissionIntervalMs after a cut of the admission rates
	overloadThreshold     = 0.5    // ratio of latency to its objective; above it, about a tenth of the requests is late
	recoveryThreshold     = 0.35   // latencyRatio above which many failures show an overload; waitRatio below which rates rise
	overloadFailureShare  = 0.12   // failure share above which an overload is likelier than chance
	admissionDecrease     = 0.6    // lowest factor for the admitted share in one step, as load reports may be late
	admissionWindowRounds = 1.2    // rounds of load reports that a step uses; older reports precede the last step
	capacityRetention     = 0.8    // lowest factor for the known capacity in one step of an overload; servers may have left
	admittedCapacityShare = 0.85   // of the known capacity that is admitted in an overload, so that it drains
	admissionIncrease     = 0.3    // largest relative increase in an admission step; 0 at a waitRatio of recoveryThreshold
	minClassDemand        = 1e-9   // requests per second; guards a division
	minAdmission          = 0.1    // least admission rate of a class; its admitted requests show whether the overload is over
	admissionSteps        = 20     // admission rates are multiples of 1/admissionSteps; finer steps would cost messages

	// The control channel and timers.
	lateAcknowledgementFactor = 2      // acknowledgements that take this many times the longest propagation show a slow channel
	lowBacklogShare           = 0.5    // part of an urgency's backlogShare; a backlog below this part counts as small
	maxDrainWaitShare         = 0.5    // share of the drain grace that an ejection may wait to share a message with other orders
	slowChannelFactor         = 6.0    // factor by which the channel drains more slowly while acknowledgements are late
	pollsUntilNotified        = 3      // least number of polls within Settings.AssumeNotifiedMs
	pollBackoffMs             = 1200.0 // first wait in ms after a failed poll of the endpoint list; doubled by each further one
	pollSpread                = 0.5    // random wait from 0.5 to 1.5 times the backoff, so that planners do not poll together
	maxPollBackoffShare       = 0.5    // limit of the backoff of polls, as a share of Settings.AssumeNotifiedMs
	acknowledgementNumbers    = 65536  // numbers of acknowledgement requests start again at 0 after this many
	evaluationIntervalMs      = 200.0  // ms between evaluations without input; well below every grace period
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
