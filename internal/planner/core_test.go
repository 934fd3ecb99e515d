package planner

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestBacklog(t *testing.T) {
	t.Run("200 proxies that join at once are all assigned a table with a bounded backlog", func(t *testing.T) {
		const maxBacklog = 3500
		host := newRecordingHost(t, "proxies: 200", 10)
		var streams []*Stream
		for number := range 200 {
			streams = append(streams, host.join(fmt.Sprint("x", number), 1, 1))
		}
		host.run(0, 15000)
		for _, stream := range streams {
			if !host.received(stream, isAssignment) || host.closed[stream] != "" {
				t.Fatalf("proxy %s: table assigned %v, close reason %q", stream.Name(), host.received(stream, isAssignment), host.closed[stream])
			}
		}
		if peak := host.publisher.queue.PeakBacklog(); peak > maxBacklog {
			t.Errorf("peak backlog of %g entries", peak)
		}
	})
}

func TestInputLog(t *testing.T) {
	t.Run("a dump has one line for each of the last inputs", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		for range recentInputCount {
			host.HandleLoadReport(stream, &order.Sums{CoversMs: 7})
		}
		var dump bytes.Buffer
		if err := host.DumpInputs(&dump); err != nil {
			t.Fatal(err)
		}
		if strings.Count(dump.String(), "\n") != recentInputCount || !strings.Contains(dump.String(), "load report x covers_ms:7") {
			t.Errorf("wrong dump: %.300s", dump.String())
		}
	})
}

// Decisions must not depend on the number of CPU cores: one goroutine makes all of them.
func TestSameInputsGiveSameOrdersOnAnyNumberOfCores(t *testing.T) {
	expected := digestOfScriptedRun(t, 1)
	for _, cores := range []int{1, 2, 4} {
		digest := digestOfScriptedRun(t, cores)
		if digest != expected {
			t.Errorf("digest on %d cores is %s, expected %s", cores, digest, expected)
		}
	}
}

// digestOfScriptedRun runs a core and its proxies through 30 s of a fixed script on some CPU cores. It returns a digest
// of all messages to the proxies that are joined at the end.
func digestOfScriptedRun(t *testing.T, cores int) string {
	t.Helper()
	const proxies, joinsPerSecond, seconds = 40, 4, 30
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
	host := newRecordingHost(t, `proxies: 40`, 24)
	for second := range seconds {
		for number := range proxies {
			if second == number/joinsPerSecond {
				host.join(fmt.Sprint("x", number), 1, 1)
			}
		}
		switch second {
		case 8:
			host.UpdateEndpoints(stateChange("s2", policy.Draining))
		case 15:
			host.HandleDisconnect(host.proxies.byName["x7"].stream, &controlstream.CloseError{Reason: controlstream.ReasonConnectionLost})
		}
		for number := range proxies {
			sendScriptedReport(host, number, second)
		}
		host.run(float64(second)*1000, float64(second)*1000+950)
	}
	return digestOfOrders(t, host)
}

// sendScriptedReport passes a proxy's load report for one second to the core, if the proxy is joined.
func sendScriptedReport(host *recordingHost, proxyNumber, second int) {
	p := host.proxies.byName[fmt.Sprint("x", proxyNumber)]
	if p == nil {
		return
	}
	report := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 10}}}
	for sample := range 6 {
		report.Servers = append(report.Servers, &order.ServerSum{
			Server:    fmt.Sprint("s", (proxyNumber+5*sample)%24),
			Tries:     2,
			LatencyMs: float64(20 + (proxyNumber*sample+second)%40),
		})
	}
	host.HandleLoadReport(p.stream, report)
}

// digestOfOrders returns a digest of all messages to the joined proxies, byte for byte, after the number of proxies.
func digestOfOrders(t *testing.T, host *recordingHost) string {
	t.Helper()
	digest := sha256.New()
	names := slices.Sorted(maps.Keys(host.proxies.byName))
	for _, name := range names {
		for _, message := range host.sent[host.proxies.byName[name].stream] {
			body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			digest.Write(body)
		}
	}
	return fmt.Sprintf("%d %x", len(names), digest.Sum(nil))
}
