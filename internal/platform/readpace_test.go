package platform

import (
	"context"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
)

// Guards against answers that are late for all others while one client writes at full speed (issue 41, picture b): on one core, its
// messages were read as fast as the core allowed.
func TestReadsOfOneConnectionArePaced(t *testing.T) {
	const (
		floodMs = 1000.0
		slackMs = 200.0
	)
	var readBytes atomic.Int64
	network := hookedNetwork{accepted: func(conn *hookedConn) {
		conn.read = func(buffer []byte) (int, error) {
			count, err := conn.Conn.Read(buffer)
			readBytes.Add(int64(count))
			return count, err
		}
	}}
	config := crowdedConfig(newFakeDiscovery(t, listText(1, true, "s-1:ready")).address())
	planner := startPlannerWith(t, config, func(options *Options) { options.Network = network })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	flooding := make(chan bool)
	go func() {
		defer close(flooding)
		planner.floodMessages(ctx, joinAs(3), func(int) string { return "usage id=3 lane=lookup count=1 fail=0 over=1000\r\n" })
	}()
	monotonic := clock.NewReal()
	<-after(floodMs)
	count := float64(readBytes.Load())
	most := readBurstBytes + readBytesPerMs*(monotonic.Monotonic()+slackMs)
	cancel()
	<-flooding
	if count > most || count < readBurstBytes {
		t.Errorf("%.0f bytes of one connection were read, want %d to %.0f", count, readBurstBytes, most)
	}
}
