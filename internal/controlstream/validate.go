package controlstream

import (
	"fmt"
	"math"

	"lichenpick/proto/order"
)

// Limits of the contents of a message. Limits.MaxFrameBytes already limits the memory of a message. The limits below protect
// the hosts from names that no settings file allows and from loops that are far longer than any fleet needs.
const (
	maxNameBytes   = 256   // longest name of a proxy, server, zone or controller, in bytes
	maxTables      = 256   // largest number of tables held by one proxy
	maxControllers = 256   // largest number of controllers reachable from one proxy
	maxEntries     = 65536 // largest length of a list of entries, servers, traffic classes or times in a message
)

// Largest values of quantities in messages. Sums of larger ones may overflow.
const (
	maxRequestRate = 1e7     // usual demand of a proxy in requests/s; the settings of a proxy have the same limit
	maxLatencyMs   = 86400e3 // mean latency of a server in ms: a day
)

// Largest values of enumerations that are plain integers on the wire.
const (
	maxRetryMode     = 3 // largest retry mode, which allows two retries
	maxEndpointState = 2 // largest endpoint state, which means that the endpoint was removed
)

// truncate shortens a text from a peer, so that an error that quotes the text cannot flood a log.
func truncate(text string) string { return text[:min(len(text), maxNameBytes)] }

// isName reports whether a text is a valid name of a proxy, server or controller.
func isName(text string) bool { return text != "" && len(text) <= maxNameBytes }

// isFiniteNonNegative reports whether a quantity is at least 0, finite and not NaN. A NaN would pass a check of the form
// "reject if above the limit", because every comparison with NaN is false.
func isFiniteNonNegative(quantity float64) bool { return quantity >= 0 && !math.IsInf(quantity, 0) }

// isWithin reports whether a quantity is from 0 to a largest value; NaN is not.
func isWithin(quantity, largest float64) bool { return quantity >= 0 && quantity <= largest }

// checkJoin returns an error if a value of the message is out of range. The other check functions do the same for other
// messages.
func checkJoin(join *order.Join) error {
	switch {
	case !isName(join.Proxy):
		return fmt.Errorf("invalid length of the proxy name: %d bytes", len(join.Proxy))
	case len(join.Zone) > maxNameBytes:
		return fmt.Errorf("invalid length of the zone name: %d bytes", len(join.Zone))
	case !isWithin(join.UsualPerS, maxRequestRate):
		return fmt.Errorf("invalid usual demand: %g requests/s", join.UsualPerS)
	case len(join.Holds) > maxTables:
		return fmt.Errorf("too many tables: %d", len(join.Holds))
	}
	if join.Lease != nil {
		if err := checkLease(join.Lease); err != nil {
			return err
		}
	}
	for _, table := range join.Holds {
		if len(table.Lines) > maxEntries || len(table.Withdrawn) > maxEntries {
			return fmt.Errorf("table too large: %d entries, %d ejected servers", len(table.Lines), len(table.Withdrawn))
		}
	}
	return nil
}

func checkLease(lease *order.Lease) error {
	switch {
	case !isFiniteNonNegative(lease.LeftMs):
		return fmt.Errorf("invalid remaining lease time: %g ms", lease.LeftMs)
	case len(lease.Reachable) > maxControllers:
		return fmt.Errorf("too many reachable controllers: %d", len(lease.Reachable))
	case len(lease.MessagesAgoMs) > maxEntries:
		return fmt.Errorf("too many recent messages: %d", len(lease.MessagesAgoMs))
	case len(lease.Going) > maxEntries:
		return fmt.Errorf("too many draining servers: %d", len(lease.Going))
	case len(lease.Holds) > maxTables:
		return fmt.Errorf("too many held tables: %d", len(lease.Holds))
	}
	for _, agoMs := range lease.MessagesAgoMs {
		if !isFiniteNonNegative(agoMs) {
			return fmt.Errorf("invalid age of a recent message: %g ms", agoMs)
		}
	}
	return nil
}

func checkLeaseRequest(request *order.Claim) error {
	if !isName(request.Controller) || request.Epoch == 0 {
		return fmt.Errorf("invalid lease request: epoch %d, controller %q", request.Epoch, truncate(request.Controller))
	}
	return nil
}

func checkLoadReport(report *order.Sums) error {
	if !isFiniteNonNegative(report.CoversMs) || len(report.Servers) > maxEntries || len(report.Groups) > maxEntries {
		return fmt.Errorf("invalid load report: %d servers, %d traffic classes, interval of %g ms",
			len(report.Servers), len(report.Groups), report.CoversMs)
	}
	for _, server := range report.Servers {
		if !isName(server.Server) || server.Dropped > server.Tries || !isWithin(server.LatencyMs, maxLatencyMs) {
			return fmt.Errorf("invalid load of a server: %d of %d attempts failed, latency %g ms",
				server.Dropped, server.Tries, server.LatencyMs)
		}
	}
	for _, class := range report.Groups {
		if class.Dropped > class.Came {
			return fmt.Errorf("invalid load of a traffic class: %d of %d requests failed", class.Dropped, class.Came)
		}
	}
	return nil
}

// checkOrders returns an error if any order of the message is invalid.
func checkOrders(message *order.Orders) error {
	for _, ord := range message.Orders {
		if !isValidOrder(ord) {
			return fmt.Errorf("invalid order: %v", ord)
		}
	}
	return nil
}

// isValidOrder reports whether an order is of a known kind and its values are in range.
func isValidOrder(ord *order.Order) bool {
	switch variant := ord.What.(type) {
	case *order.Order_Line:
		return isValidEntry(variant.Line.GetLine())
	case *order.Order_Bind:
		return isValidAssignment(variant.Bind)
	case *order.Order_Withdraw:
		return variant.Withdraw != nil && isName(variant.Withdraw.Server)
	case *order.Order_Level:
		return isValidAdmission(variant.Level)
	case *order.Order_Receipt:
		return true
	default: // nil, or an order kind of a later version, which this proxy cannot apply
		return false
	}
}

func isValidAssignment(assignment *order.Bind) bool {
	if assignment == nil {
		return false
	}
	for _, entry := range assignment.Lines {
		if !isValidEntry(entry) {
			return false
		}
	}
	for _, admission := range assignment.Levels {
		if !isValidAdmission(admission) {
			return false
		}
	}
	return true
}

func isValidEntry(entry *order.Line) bool {
	return entry != nil && isName(entry.Server) && isFiniteNonNegative(entry.Weight)
}

func isValidAdmission(admission *order.Level) bool {
	return admission != nil && isFiniteNonNegative(admission.Share) && admission.Retry <= maxRetryMode
}

func checkEndpoints(list *order.Listing) error {
	for _, endpoint := range list.Entries {
		valid := isName(endpoint.Server) && len(endpoint.Zone) <= maxNameBytes &&
			endpoint.State <= maxEndpointState && isFiniteNonNegative(endpoint.Size)
		if !valid {
			return fmt.Errorf("invalid endpoint: server %q, state %d, size %g",
				truncate(endpoint.Server), endpoint.State, endpoint.Size)
		}
	}
	return nil
}
