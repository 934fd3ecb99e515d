package scenario

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// faultHandler plays a fault from its beginning to its end. It returns early when the context ends.
type faultHandler func(ctx context.Context, f *fleet, fault *script.Trouble) error

// faultHandlers has the handler of each kind of fault, by the name of its field in a script.
var faultHandlers = map[protoreflect.Name]faultHandler{
	"burst":            handle((*script.Trouble).GetBurst, (*fleet).playBurst),
	"hang":             handle((*script.Trouble).GetHang, (*fleet).playHang),
	"slow":             handle((*script.Trouble).GetSlow, (*fleet).playSlow),
	"failing":          handle((*script.Trouble).GetFailing, (*fleet).playFailing),
	"crash":            handle((*script.Trouble).GetCrash, (*fleet).playCrash),
	"zone_loss":        handle((*script.Trouble).GetZoneLoss, (*fleet).playZoneLoss),
	"deploy":           handle((*script.Trouble).GetDeploy, (*fleet).playDeploy),
	"wrong_list":       handle((*script.Trouble).GetWrongList, (*fleet).playWrongList),
	"handshakes":       handle((*script.Trouble).GetHandshakes, (*fleet).playHandshakes),
	"zone_cut":         handle((*script.Trouble).GetZoneCut, (*fleet).playZoneCut),
	"one_sided":        handle((*script.Trouble).GetOneSided, (*fleet).playOneSided),
	"stream_break":     handle((*script.Trouble).GetStreamBreak, (*fleet).playStreamBreak),
	"stuck_proxy":      handle((*script.Trouble).GetStuckProxy, (*fleet).playStuckProxy),
	"slow_streams":     handle((*script.Trouble).GetSlowStreams, (*fleet).playSlowStreams),
	"planner_restart":  handle((*script.Trouble).GetPlannerRestart, (*fleet).playPlannerRestart),
	"controller_pause": handle((*script.Trouble).GetControllerPause, (*fleet).playPlannerPause),
	"controller_cut":   handle((*script.Trouble).GetControllerCut, (*fleet).playPlannerCut),
	"controller_drain": handle((*script.Trouble).GetControllerDrain, (*fleet).playPlannerDrain),
	"disk_full":        handle((*script.Trouble).GetDiskFull, (*fleet).playDiskFull),
}

// handle returns the handler of one kind of fault, from the function that gets its parameters and the one that plays it for
// a time.
func handle[F any](parameters func(*script.Trouble) F, play func(*fleet, context.Context, F, time.Duration) error) faultHandler {
	return func(ctx context.Context, f *fleet, fault *script.Trouble) error {
		return play(f, ctx, parameters(fault), settings.Duration(fault.Lasts))
	}
}

// faultKind returns the kind of a fault: the name of its field in a script, and empty for one that names none.
func faultKind(fault *script.Trouble) protoreflect.Name {
	message := fault.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().ByName("what"))
	if field == nil {
		return ""
	}
	return field.Name()
}

// playFault waits until a fault is due and plays it. It returns early, without an error, when the run ends.
func (f *fleet) playFault(ctx context.Context, fault *script.Trouble) error {
	if f.sleep(ctx, settings.Duration(fault.At)) != nil {
		return nil
	}
	kind := faultKind(fault)
	play, known := faultHandlers[kind]
	if !known {
		return nil
	}
	f.log.Info("fault begins", "kind", string(kind))
	defer f.log.Info("fault ends", "kind", string(kind))
	if err := play(ctx, f, fault); err != nil {
		return fmt.Errorf("playing the fault %s at %s: %w", kind, fault.At, err)
	}
	return nil
}

// waitFor waits for a time or until the run ends: what a fault changed is restored in either case.
func (f *fleet) waitFor(ctx context.Context, duration time.Duration) {
	_ = f.sleep(ctx, duration)
}

// playLinkFault puts a fault of links into effect for a time.
func (f *fleet) playLinkFault(ctx context.Context, fault linkFault, lasts time.Duration) error {
	remove := f.addLinkFault(fault)
	f.waitFor(ctx, lasts)
	remove()
	return nil
}
