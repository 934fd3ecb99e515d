package scenario

import (
	"context"
	"net"

	"lichenpick/internal/discovery"
	"lichenpick/internal/planner"
	pb "lichenpick/proto/settings"
)

// localPlanner is a planner that runs in this process.
type localPlanner struct {
	cancel context.CancelFunc
	ended  chan struct{} // closed when the planner has ended
}

// stop ends the planner gracefully and waits until it has ended. A planner in this process cannot be killed; to simulate a kill,
// the caller cuts the planner's streams first.
func (l *localPlanner) stop(bool) {
	l.cancel()
	<-l.ended
}

// startLocal runs the planner in this process, and returns when the planner listens or has failed.
func (p *plannerInstance) startLocal(ctx context.Context, set *pb.Planner) error {
	f := p.fleet
	plannerCtx, cancel := context.WithCancel(ctx)
	local := &localPlanner{cancel: cancel, ended: make(chan struct{})}
	p.runtime = local
	ready := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	options := planner.Options{
		Settings: set,
		Clock:    f.clock,
		Network:  f.network,
		Log:      f.log,
		Decider:  f.newDecider(set),
		Ready:    func(address net.Addr) { ready <- address },
		Status:   f.recordStatus,
		Source: &discovery.StreamSource{
			Address:            p.endpointRelay.Address(),
			ReconnectDelayMs:   milliseconds(reconnectDelay),
			HeartbeatTimeoutMs: milliseconds(heartbeatTimeout),
			MaxFrameBytes:      maxListFrameBytes,
			Clock:              f.clock,
			Network:            f.network,
		},
	}
	f.group.Go(func() error {
		defer close(local.ended)
		err := planner.Run(plannerCtx, options)
		if err != nil {
			failed <- err
		}
		return err
	})
	select {
	case address := <-ready:
		p.relay.SetTarget(address.String())
		return nil
	case err := <-failed:
		cancel()
		return err
	case <-ctx.Done():
		cancel()
		return ctx.Err()
	}
}

// newDecider returns the decider of a planner in this process: the policy or a baseline, wrapped by Hooks.Decider if set.
func (f *fleet) newDecider(set *pb.Planner) planner.Decider {
	var decider planner.Decider
	if f.hooks.Baseline == NoBaseline {
		decider = planner.NewPolicy(set)
	} else {
		decider = newBaseline(f.hooks.Baseline, len(set.Groups))
	}
	if f.hooks.Decider != nil {
		decider = f.hooks.Decider(decider)
	}
	return decider
}
