package platform

import (
	"context"
	"sync"
	"time"

	"lichenpick/policy"
)

const (
	reloadRetryMs    = 200.0 // ms until a rejected configuration file is read again, as it may have been written only in part
	maxReloadRetries = 5     // limit of the retries after a SIGHUP for which the configuration was rejected
)

// followDiscovery follows the discovery agent until the context ends, and moves to another address when a reloaded
// configuration has a new one.
func (s *serverRuntime) followDiscovery(ctx context.Context) {
	client := &discoveryClient{
		clock:   s.Clock,
		network: s.Network,
		log:     s.Log,
		deliver: s.deliverEndpoints,
		tracker: versionTracker{
			zones:         s.Config.Settings.Zones,
			version:       s.Config.KnownVersion,
			needsFullList: s.Config.KnownVersion == 0,
		},
	}
	address := s.Config.Discovery
	for ctx.Err() == nil {
		clientContext, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		followed := address
		done.Go(func() { client.run(clientContext, followed) })
		address = s.awaitNewAddress(ctx, address)
		stop()
		done.Wait()
	}
}

func (s *serverRuntime) deliverEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	s.withCore(func() { s.core.UpdateEndpoints(kind, list) })
	s.notifyWork()
}

// awaitNewAddress waits until a reloaded configuration has another address of the discovery agent, and returns that
// address, or the present one when the context ends. A configuration that is rejected is read again up to maxReloadRetries
// times.
func (s *serverRuntime) awaitNewAddress(ctx context.Context, present string) string {
	var retry <-chan time.Time // nil if no retry is due
	stopRetry := func() {}
	defer func() { stopRetry() }()
	retries := 0
	for {
		select {
		case <-s.Hangup:
			retries = maxReloadRetries
		case <-retry:
		case <-ctx.Done():
			return present
		}
		stopRetry()
		retry = nil
		config, err := s.Reload()
		if err != nil {
			s.Log.Error("configuration rejected, the old one stays", keyError, err, keyRemainingRetries, retries)
			retries--
			if retries >= 0 {
				retry, stopRetry = s.Clock.NewTimer(reloadRetryMs)
			}
			continue
		}
		s.Log.Info("configuration reloaded", keyDiscovery, config.Discovery)
		if config.Discovery != present {
			return config.Discovery
		}
	}
}
