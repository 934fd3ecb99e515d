package scenario

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// faultHandler injects a fault and returns when the fault has ended, or early when the context ends.
type faultHandler func(ctx context.Context, f *fleet, fault *script.Trouble) error

// faultHandlers maps each kind of fault, named as its field in a script, to the handler.
var faultHandlers = map[protoreflect.Name]faultHandler{
	"burst":            newFaultHandler((*script.Trouble).GetBurst, (*fleet).injectBurst),
	"hang":             newFaultHandler((*script.Trouble).GetHang, (*fleet).injectHang),
	"slow":             newFaultHandler((*script.Trouble).GetSlow, (*fleet).injectSlow),
	"failing":          newFaultHandler((*script.Trouble).GetFailing, (*fleet).injectFailing),
	"crash":            newFaultHandler((*script.Trouble).GetCrash, (*fleet).injectCrash),
	"zone_loss":        newFaultHandler((*script.Trouble).GetZoneLoss, (*fleet).injectZoneLoss),
	"deploy":           newFaultHandler((*script.Trouble).GetDeploy, (*fleet).injectDeploy),
	"wrong_list":       newFaultHandler((*script.Trouble).GetWrongList, (*fleet).injectWrongList),
	"handshakes":       newFaultHandler((*script.Trouble).GetHandshakes, (*fleet).injectHandshakes),
	"zone_cut":         newFaultHandler((*script.Trouble).GetZoneCut, (*fleet).injectZoneCut),
	"one_sided":        newFaultHandler((*script.Trouble).GetOneSided, (*fleet).injectOneSided),
	"stream_break":     newFaultHandler((*script.Trouble).GetStreamBreak, (*fleet).injectStreamBreak),
	"stuck_proxy":      newFaultHandler((*script.Trouble).GetStuckProxy, (*fleet).injectStuckProxy),
	"slow_streams":     newFaultHandler((*script.Trouble).GetSlowStreams, (*fleet).injectSlowStreams),
	"planner_restart":  newFaultHandler((*script.Trouble).GetPlannerRestart, (*fleet).injectPlannerRestart),
	"controller_pause": newFaultHandler((*script.Trouble).GetControllerPause, (*fleet).injectPlannerPause),
	"controller_cut":   newFaultHandler((*script.Trouble).GetControllerCut, (*fleet).injectPlannerCut),
	"controller_drain": newFaultHandler((*script.Trouble).GetControllerDrain, (*fleet).injectPlannerDrain),
	"disk_full":        newFaultHandler((*script.Trouble).GetDiskFull, (*fleet).injectDiskFull),
}

// newFaultHandler returns the handler of one kind of fault. The function parameters returns the fault's parameters from a
// script, and the function inject injects the fault for a duration.
func newFaultHandler[F any](parameters func(*script.Trouble) F, inject func(*fleet, context.Context, F, time.Duration) error) faultHandler {
	return func(ctx context.Context, f *fleet, fault *script.Trouble) error {
		return inject(f, ctx, parameters(fault), settings.Duration(fault.Lasts))
	}
}

// faultKind returns the kind of a fault, which is the name of its field in a script. It returns an empty name for a fault
// without a kind.
func faultKind(fault *script.Trouble) protoreflect.Name {
	message := fault.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().ByName("what"))
	if field == nil {
		return ""
	}
	return field.Name()
}

// injectFault waits until a fault is due and injects it. It returns early, without an error, when the run ends.
func (f *fleet) injectFault(ctx context.Context, fault *script.Trouble) error {
	if f.sleep(ctx, settings.Duration(fault.At)) != nil {
		return nil
	}
	kind := faultKind(fault)
	inject, known := faultHandlers[kind]
	if !known {
		return nil
	}
	f.log.Info("fault begins", "kind", string(kind))
	defer f.log.Info("fault ends", "kind", string(kind))
	if err := inject(ctx, f, fault); err != nil {
		return fmt.Errorf("injecting the fault %s at %s: %w", kind, fault.At, err)
	}
	return nil
}

// waitFor waits for a duration or until the run ends. It returns no error, as the caller must end its fault in both cases.
func (f *fleet) waitFor(ctx context.Context, duration time.Duration) {
	_ = f.sleep(ctx, duration)
}

// injectLinkFault applies a link fault for a duration.
func (f *fleet) injectLinkFault(ctx context.Context, fault linkFaultFunc, lasts time.Duration) error {
	remove := f.addLinkFault(fault)
	f.waitFor(ctx, lasts)
	remove()
	return nil
}
