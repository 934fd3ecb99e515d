package controlstream

import (
	"fmt"
	"math"

	"lichenpick/proto/order"
)

// Bounds of what a message may hold. A frame's size bounds its memory; these guard the hosts against names that no settings
// file allows, and against loops that are far longer than any fleet needs.
const (
	maxNameBytes   = 256   // of a proxy's, server's, zone's or controller's name
	maxTables      = 256   // that one proxy holds
	maxControllers = 256   // that one proxy reaches
	maxEntries     = 65536 // entries, servers or traffic classes of one message
)

// Highest numbers of enumerations that are plain numbers on the wire.
const (
	maxRetryMode     = 3 // twice
	maxEndpointState = 2 // gone
)

// truncate bounds what is quoted of a peer's text, so that it cannot flood a log.
func truncate(text string) string { return text[:min(len(text), maxNameBytes)] }

// isName says whether a text may name a proxy, server or controller.
func isName(text string) bool { return text != "" && len(text) <= maxNameBytes }

// isFiniteNonNegative says whether a quantity is a number from 0 on. NaN is not: it would pass each comparison with a limit.
func isFiniteNonNegative(quantity float64) bool { return quantity >= 0 && !math.IsInf(quantity, 0) }

func checkJoin(join *order.Join) error {
	switch {
	case !isName(join.Proxy):
		return fmt.Errorf("a proxy's name of %d bytes", len(join.Proxy))
	case len(join.Zone) > maxNameBytes:
		return fmt.Errorf("a zone's name of %d bytes", len(join.Zone))
	case !isFiniteNonNegative(join.UsualPerS):
		return fmt.Errorf("a usual demand of %g requests/s", join.UsualPerS)
	case len(join.Holds) > maxTables:
		return fmt.Errorf("%d tables", len(join.Holds))
	}
	if join.Lease != nil {
		if err := checkLease(join.Lease); err != nil {
			return err
		}
	}
	for _, table := range join.Holds {
		if len(table.Lines) > maxEntries || len(table.Withdrawn) > maxEntries {
			return fmt.Errorf("a table of %d entries and %d ejected servers", len(table.Lines), len(table.Withdrawn))
		}
	}
	return nil
}

func checkLease(lease *order.Lease) error {
	switch {
	case !isFiniteNonNegative(lease.LeftMs):
		return fmt.Errorf("a lease of %g ms", lease.LeftMs)
	case len(lease.Reachable) > maxControllers:
		return fmt.Errorf("%d reachable controllers", len(lease.Reachable))
	case len(lease.MessagesAgoMs) > maxEntries:
		return fmt.Errorf("%d recent messages", len(lease.MessagesAgoMs))
	case len(lease.Going) > maxEntries:
		return fmt.Errorf("%d draining servers", len(lease.Going))
	case len(lease.Holds) > maxTables:
		return fmt.Errorf("%d tables", len(lease.Holds))
	}
	for _, agoMs := range lease.MessagesAgoMs {
		if !isFiniteNonNegative(agoMs) {
			return fmt.Errorf("a message %g ms ago", agoMs)
		}
	}
	return nil
}

func checkLeaseRequest(request *order.Claim) error {
	if !isName(request.Controller) || request.Epoch == 0 {
		return fmt.Errorf("epoch %d of controller %q", request.Epoch, truncate(request.Controller))
	}
	return nil
}

func checkLoadReport(report *order.Sums) error {
	if !isFiniteNonNegative(report.CoversMs) || len(report.Servers) > maxEntries || len(report.Groups) > maxEntries {
		return fmt.Errorf("%d servers, %d traffic classes over %g ms", len(report.Servers), len(report.Groups), report.CoversMs)
	}
	for _, server := range report.Servers {
		if !isName(server.Server) || server.Dropped > server.Tries || !isFiniteNonNegative(server.LatencyMs) {
			return fmt.Errorf("%d of %d attempts failed, %g ms", server.Dropped, server.Tries, server.LatencyMs)
		}
	}
	for _, class := range report.Groups {
		if class.Dropped > class.Came {
			return fmt.Errorf("%d of %d requests failed", class.Dropped, class.Came)
		}
	}
	return nil
}

// checkOrders rejects a message with any invalid order.
func checkOrders(message *order.Orders) error {
	for _, ord := range message.Orders {
		if !isValidOrder(ord) {
			return fmt.Errorf("an invalid order: %v", ord)
		}
	}
	return nil
}

// isValidOrder says whether an order is of a known kind, and its values are in range.
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
	default: // nil, or a kind of a later version, which a proxy cannot apply
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
			return fmt.Errorf("server %q in state %d, size %g", truncate(endpoint.Server), endpoint.State, endpoint.Size)
		}
	}
	return nil
}
