package policy

import "math"

// The tuning constants of the policy; shares, ratios and factors have no unit. docs/design.md explains the choices.
const (
	// The solver and its inputs.
	solveIntervalMs         = 2500.0 // two cohorts of a client take turns, so that each proxy is updated every 5 s
	minSolveIntervalMs      = 400.0  // also when servers come and go; changes within it are solved for together
	admmIterations          = 20     // as in the ADMM-20 of the paper
	capacityHeadroom        = 1.01   // total capacity over demand; costs are linear, so more would idle the costliest servers
	lowLatencyHeadroom      = 0.4    // added to it at the lowest latencies, so that requests stay in their zone
	costScale               = 0.3    // cost of the median latency, in average shares; ADMM converges with rho 1 at this scale
	maxLambda               = 4.0    // limit of a price, in average shares; a higher one outlasts the overload that caused it
	minDemand               = 0.02   // of a client (mean: 1), or requests per second of a table; idle ones need weights
	maxDemandShiftShare     = 0.3    // share of all demand that moved between clients; beyond it, prices and shares are reset
	minWarmCapacity         = 0.5    // share of demand that the warm servers are given, however much capacity is on a ramp
	minSpeedAttempts        = 4      // attempts within the window before its latency and failures reduce a capacity
	minCapacity             = 0.08   // share of the nominal one; with less, a server gets too few requests to report on
	minRelativeCapacity     = 1e-6   // of a server in the list; guards divisions by the sum of the fleet
	overloadSlack           = 1.5    // times the fleet's latency over baseline that is tolerated; load reports are noisy
	minBaselineSamples      = 3      // load reports after which a baseline counts half
	minBaselineRequests     = 2      // successes in a load report whose latency may set a baseline
	baselineQuantileDivisor = 4      // a baseline is the lower quartile of reported latencies, as these are noisy

	// Table sizes and table changes.
	minCohorts               = 2      // for each client, so that a new split reaches half of the proxies first
	tableRefreshMs           = 1000.0 // channel time of all entries of all proxies together; leaves room for many joins
	connectionQuota          = 0.4    // share of the smallest server's connections; servers slow down when these run out
	minRequestsPerConnection = 5.0    // to an entry within the idle timeout; with fewer, connections close and are reopened
	minTableEntries          = 8      // a table keeps most of its servers when a fifth of them fails
	minEntries               = 3      // servers of a client: two may be lost at once before its tables are empty
	essentialWeight          = 0.8    // share of a table's weight that a proxy is sent with its assignment in a takeover
	maxTableWaitMs           = 1000.0 // after a proxy joins, for its table to get entries; later, a takeover is given up
	minWeightChange          = 0.25   // of a weight, or of the average share; smaller changes are noise and are not sent
	warmingShareDivisor      = 4      // the least share of a server on a ramp is this many times smaller
	balanceIterations        = 20     // of scaling weights to shares; as many as of ADMM
	weightSteps              = 1e4    // weights are multiples of 1/weightSteps
	urgentIntervalMs         = 1500.0 // between urgent entries of a table, as messages may be scarce
	maxMissingShare          = 0.4    // of a table's weight that is yet to be sent; beyond it, additions are urgent
	weightTolerance          = 0.005  // weight by which an entry may exceed its target, for rounding
	overTargetFactor         = 1.5    // times its target that an entry may have; reducing a higher one is urgent

	// Load reports and slow start.
	maxSamples          = 24     // load reports kept of a server from one zone, demand reports of a proxy and class
	maxSampleZones      = 2      // times as many are kept of a server that reports from this many zones or more
	mergeGapShare       = 0.5    // of the report interval; reports closer than this, from several zones, are of one period
	minWindowMs         = 3500.0 // holds three load reports; a longer window shows a fault too late
	windowRounds        = 1.5    // rounds of load reports within a window, so that each server has reported in it
	slowStartDoublingMs = 5000.0 // time in which the capacity of a new server doubles
	slowStartMargin     = 0.8    // of the cold capacity; proxies pick the better of two servers, which may double its share
	idleClassRate       = 0.01   // requests per second; weight of an idle class in the mean latency objective

	// Ejection and readmission of outliers.
	ejectionThreshold        = 6.0     // nats; reached by a dozen failures without a success, and by chance in 1 of 400 cases
	maxReportEvidence        = 4.0     // nats that one load report may add, so that no single report ejects a server
	unverifiedEvidenceFactor = 2.0     // applied to the evidence on unverified servers, which may not belong to the fleet
	deadFailureShare         = 0.99    // of a dead server; one that succeeds more often is overloaded or slow, not dead
	minOverloadFailureShare  = 0.6     // least failure share explained by an overload, which reduces capacity instead
	maxOverloadFailureShare  = 0.95    // highest share explained so; reached where the median server fails half or more
	overloadFailureFactor    = 2       // times the median server's failure share that is explained so
	maxEjectedShare          = 0.3     // of the fleet, or of failed requests; with more, a fault of the reports is likelier
	ejectionMs               = 5000.0  // first ejection, doubled by each further one; a server or proxy is new for as long
	maxEjectionMs            = 20000.0 // longest ejection; as long as the longest hangs of servers
	maxColdEjectedShare      = 0.8     // of the fleet that may be ejected when cold servers are, too; the others are warm
	newProxyDivisor          = 3       // demand is uncertain when more than one in this many proxies is new
	recoveryShare            = 0.2     // of its capacity that a readmitted server starts with, at little risk
	recoveryDoublingMs       = 1500.0  // time in which that share doubles; it is full after some three report intervals
	forgetRemovedMs          = 600e3   // that a removed server in no table is kept, as its name may come back

	// Admission.
	admissionIntervalMs   = 2000.0 // between steps; about the time until a new rate shows in the load reports
	admissionCutPauseMs   = 1000.0 // added to it after a cut
	overloadThreshold     = 0.5    // latency over its objective; above it, about a tenth of the requests is late
	recoveryThreshold     = 0.35   // the same; below it, failures are no overload. Rates rise below this wait ratio
	overloadFailureShare  = 0.12   // of requests; more is overload rather than chance
	admissionDecrease     = 0.6    // least part of the admitted share that one step keeps, as load reports may be late
	admissionWindowRounds = 1.2    // rounds of load reports that a step goes by; older reports precede the last step
	capacityRetention     = 0.8    // least part of the known capacity that a step in an overload keeps; servers may be fewer
	admittedCapacityShare = 0.85   // of the known capacity that is admitted in an overload, so that it drains
	admissionIncrease     = 0.3    // largest relative increase of a step, while nothing waits; less near recoveryThreshold
	minClassDemand        = 1e-9   // requests per second; guards a division
	minAdmission          = 0.1    // of a traffic class; what is admitted shows whether the overload is over
	admissionSteps        = 20     // rates are multiples of 1/admissionSteps; finer ones would cost messages

	// The control channel and timers.
	lateAcknowledgementFactor = 2      // times the longest propagation; later acknowledgements show a slow channel
	lowBacklogShare           = 0.5    // of what an urgency may fill; with less, little waits in the channel
	maxDrainWaitShare         = 0.5    // of the drain grace that an ejection may wait to share a message
	slowChannelFactor         = 6.0    // times slower that the channel drains while acknowledgements are late
	pollsUntilNotified        = 3      // polls, at the least, within the time in which an update would arrive unrequested
	pollBackoffMs             = 1200.0 // wait after the first failed poll of the endpoint list; doubled by each further one
	pollSpread                = 0.5    // random wait from 0.5 to 1.5 times the backoff, so that planners do not poll together
	maxPollBackoffShare       = 0.5    // of the time in which an update would arrive unrequested
	acknowledgementNumbers    = 65536  // after which the numbers of requests start again at 0
	evaluationIntervalMs      = 200.0  // between evaluations without input; well below every grace period
)

// Urgencies of orders. A higher one may fill more of the channel, so that less urgent orders leave room for it.
const (
	prepaid = iota - 1 // the budget was spent together with an earlier order
	deferrable
	urgent
	required
	drainEjection // ejections of draining and removed servers, whose messages no other order may use up
)

var (
	// backlogShare is the share of Settings.MaxBacklog that may be filled when an order of an urgency is sent.
	backlogShare = [...]float64{deferrable: 0.15, urgent: 0.6, required: 0.65, drainEjection: 0.9}
	// messageShare is the share of Settings.MaxMessages that may be used when an order of an urgency is sent.
	messageShare = [...]float64{deferrable: 0.34, urgent: 0.5, required: 0.7, drainEjection: 0.92}
	// unset is the time of what has not happened yet.
	unset = math.Inf(-1)
)
