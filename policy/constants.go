package policy

import "math"

// All tuned values, each with its unit and reason; parts and shares have no unit. See also docs/design.md.
const (
	// The solver and what it is given.
	solveIntervalMs         = 2500.0 // half the design's 5 s: two cohorts then give each proxy updates every 5 s
	minSolveIntervalMs      = 400.0  // also when servers come and go; changes within it are solved for together
	admmIterations          = 20     // the paper's ADMM-20
	capacityHeadroom        = 1.01   // capacities over demand; more idles the dearest servers of a linear cost
	recoveryHeadroom        = 0.4    // more of it while latencies are low; requests then stay in their zone
	costScale               = 0.3    // cost of an average entry in average shares; rho 1 converges with it
	maxLambda               = 4.0    // in the same unit; a price beyond it outlives the overload that made it
	minDemand               = 0.02   // part of a client's fair demand; an idle client still needs a sound table
	maxDemandShift          = 0.3    // part of all demand that moved; old prices and shares are forgotten then
	minWarmCapacity         = 0.5    // part of demand that warm servers get however much cold ones are given
	minSpeedAttempts        = 4      // attempts in the window before its latency and failures count for capacity
	minCapacity             = 0.08   // part of a nominal capacity; with less a server is silent
	minRelativeCapacity     = 1e-6   // of a server in the list; guards divisions by the sum of the fleet
	overloadSlack           = 1.5    // times the fleet's ratio of latency to baseline; load reports are noisy
	minBaselineSamples      = 3      // load reports after which a baseline counts half; fewer are chance
	minBaselineRequests     = 2      // successes in a load report that may set a baseline
	baselineQuantileDivisor = 4      // a baseline is the lower quartile of means, as these are noisy

	// Sizes of tables and changes to them.
	minCohorts               = 2      // of a client's table; half the proxies try a split first
	tableRefreshMs           = 1000.0 // channel time for all entries of all proxies; many joins fit then
	connectionQuota          = 0.4    // part of the smallest server's connections; full ones work slower
	minRequestsPerConnection = 5.0    // before an entry's connection idles out; fewer reopen it
	minTableEntries          = 8      // a table keeps most of its servers when a fifth fails
	minEntries               = 3      // of a client; two may be lost at once before a table is empty
	essentialWeight          = 0.8    // part of a table's weight that a proxy is sent at once in a takeover
	maxTableWaitMs           = 1000.0 // ms from its joining until a table that a takeover waits for has entries
	minWeightChange          = 0.25   // part of a weight, or of an average one; less is noise
	warmingShareDivisor      = 4      // times smaller that an entry of a warming server may be
	balanceIterations        = 20     // of scaling weights to shares, as many as of ADMM
	weightSteps              = 1e4    // steps of a weight, 1 at the most
	urgentIntervalMs         = 1500.0 // between urgent entries of a table; messages may be few
	maxMissingWeight         = 0.4    // part of a table's weight; with more missing, entries are urgent
	weightTolerance          = 0.005  // share of a table that an entry may exceed its target by; rounding
	overTargetFactor         = 1.5    // times its target that an entry may have; more is urgent

	// Load reports and slow start.
	maxSamples          = 24     // load reports kept of each server and proxy; a baseline is sought in all
	maxSampleZones      = 2      // times as many are kept of a server that has them from several zones
	maxPeriodGap        = 0.5    // part of the report interval; closer reports, of several zones, are one
	minWindowMs         = 3500.0 // three load reports or more; longer windows show a fault too late
	reportRounds        = 1.5    // rounds of load reports in a window at least; each server is in one of them
	slowStartDoublingMs = 5000.0 // the design's doubling time of a new server's capacity
	slowStartMargin     = 0.8    // part of the cold share to begin with; the pick of two may double it
	idleClassRate       = 0.01   // requests per second; weight of an idle class in the mean latency objective

	// Ejection of outliers and their return.
	ejectionThreshold        = 6.0     // nats; a dozen failures without success, 1 of 400 false
	maxSampleEvidence        = 4.0     // nats that one load report may add; one odd report is never enough
	unverifiedEvidenceFactor = 2.0     // times the evidence on unverified servers; not ours maybe
	deadFailureShare         = 0.99    // of a dead server; one that succeeds at all is full or slow, not dead
	minOverloadFailureShare  = 0.6     // of a full server, at least; its capacity shrinks, it is not ejected
	maxOverloadFailureShare  = 0.95    // at most, where the middle one fails half or more
	overloadFailureFactor    = 2       // times the middle server's failures that a full server may have
	maxEjected               = 0.3     // part of the fleet, or of requests; with more, evidence is distrusted
	ejectionMs               = 5000.0  // first ejection, doubled by each; also the age to be judged at
	maxEjectionMs            = 20000.0 // longest ejection, as the longest hangs
	maxEjectedForColdRest    = 0.8     // part of the fleet out while cold ones rest; others are warm
	newProxyDivisor          = 3       // one new proxy in this many makes demand uncertain
	recoveryShare            = 0.2     // of its capacity that a server returns with, at little risk
	recoveryDoublingMs       = 1500.0  // of that share; full again in some three report periods
	forgetRemovedMs          = 600e3   // a removed server in no table is remembered; its name may come back

	// Admission.
	admissionIntervalMs  = 2000.0 // a rate shows in the load reports after about this time
	admissionCutPauseMs  = 1000.0 // more until the step after a cut
	overloadThreshold    = 0.5    // latency over its objective; above it a tenth or so is late
	recoveryThreshold    = 0.35   // below it failures are no overload; also of the wait, when rates may rise
	overloadFailureShare = 0.12   // of requests; more is overload rather than chance
	admissionDecrease    = 0.6    // most that one step may cut admitted requests to; load reports may be late
	admissionRounds      = 1.2    // rounds of load reports that rates go by; older ones precede the last step
	capacityRetention    = 0.8    // part of past successes believed in an overload; servers may be fewer
	recoveryAdmission    = 0.85   // part of the succeeded rate admitted in an overload, so that it drains
	admissionIncrease    = 0.3    // more admitted a step while nothing waits, less near recoveryThreshold
	minClassDemand       = 1e-9   // requests per second; guards a division
	minAdmission         = 0.1    // of a traffic class; some of it shows whether the overload is over
	admissionSteps       = 20     // steps of an admission rate; finer ones cost messages

	// The control channel and timers.
	lateAcknowledgementFactor = 2      // times the longest way; the channel is slow then
	lowBacklogShare           = 0.5    // part of what an urgency may fill; with less, little waits
	maxDrainWaitShare         = 0.5    // part of the grace that a drain waits to share a message
	slowChannelFactor         = 6.0    // times slower that the channel is while answers are late
	pollsUntilNotified        = 3      // polls at least while an update that was not requested would arrive
	pollBackoffMs             = 1200.0 // first wait after a failed poll of the endpoint list, doubled each time
	pollSpread                = 0.5    // least part of a wait; up to one and a half, so that planners spread
	maxPollBackoffShare       = 0.5    // part of the time in which an update arrives by itself
	acknowledgementNumbers    = 65536  // numbers that the platform has
	evaluationIntervalMs      = 200.0  // between evaluations without input; well under every grace
)

// Urgency of an order: deferrable work leaves room for what cannot wait, and both for what the rules ask for.
const (
	prepaid = iota - 1 // with an order before
	deferrable
	urgent
	required
	drainEjection // ejections of draining and removed servers: nothing else may use up their messages
)

var (
	// backlogShare is the part of the longest backlog that orders of an urgency may fill.
	backlogShare = [...]float64{deferrable: 0.15, urgent: 0.6, required: 0.65, drainEjection: 0.9}
	// messageShare is the part of a proxy's messages in a span that orders of an urgency may use.
	messageShare = [...]float64{deferrable: 0.34, urgent: 0.5, required: 0.7, drainEjection: 0.92}
	// unset is a time before all others.
	unset = math.Inf(-1)
)
