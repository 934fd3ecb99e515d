package platform_test

import (
	"fmt"
	"strings"
	"testing"

	"lichenpick/internal/golden"
)

const (
	digestOriginMs        = 1.8e12 // Unix ms at the start of a simulation
	digestStepMs          = 100.0  // ms between two steps of a simulation
	simulationMs          = 150e3
	digestIntervalMs      = 10e3 // ms that an entry of the digest covers
	lineEnd               = "\r\n"
	digestServers         = 10
	digestProxies         = 8
	oversizedMessageBytes = 1<<20 + 100 // bytes of a message that exceeds maxMessageBytes
	partialLimitBytes     = 3000        // Core.MaxPartialBytes, in bytes, in simulations with an even seed
	partialMessageBytes   = 1200        // bytes of an incomplete message
)

// With one of the seeds, the channel to the proxies is so slow that it is often full.
const (
	slowChannelSeed    = 5
	slowChannelRate    = 60  // entries per second
	slowChannelBacklog = 120 // entries
)

// Events of a simulation, in ms from its start.
const (
	completeListMs  = 3e3
	failingFromMs   = 15e3 // server s-0 fails every request
	failingForMs    = 10e3
	silentFromMs    = 30e3 // proxies 0 and 1 send nothing
	silentForMs     = 16e3
	overloadFromMs  = 50e3 // all servers are slow and fail a third of the requests
	overloadForMs   = 12e3
	drainMs         = 75e3 // server s-2 drains, and is removed goneAfterMs later
	goneAfterMs     = 5e3
	shortenedListMs = 85e3  // a complete list without s-2 and s-3
	failedListMs    = 90e3  // a poll of the list fails
	coldServerMs    = 95e3  // a cold server joins
	serverReturnMs  = 110e3 // server s-2 starts again
)

const digestSettings = `{"Azs":["a","b"],"Balancers":2,"PeriodMs":2,"Classes":[
 {"Name":"lookup","AimMs":600,"Worth":1,"Repeat":"read_like"},{"Name":"order","AimMs":800,"Worth":2,"Repeat":"non_idempotent"}],
 "FamilyInfo":{"Admit":"share","ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"DefaultRetry":1,"PushesAllowed":20,
 "ReloadSpanMs":10000,"ReportEveryMs":1000,"TransitMaxMs":900,"DataPlaneSize":8,"SmallestConnTable":300},
 "Rules":{"ColdShare":0.3,"WarmUpMs":8000,"FallMs":3000,"StopSendingWithinMs":3000},"Limits":{"ConnIdleMs":15000}}`

// invalidFirstMessages are messages for which an unjoined connection is refused.
var invalidFirstMessages = []string{
	"GET / HTTP/1.1",
	"joined id=8 site=a rps=1 new=1",
	"joined id=4 site=c rps=1 new=1",
	"joined id=4 site=a rps=NaN new=1",
	"joined id=4 site=a rps=1",
	"collector site=zz",
	"usage id=3 lane=lookup count=1 fail=0 over=1000",
	"update for=lookup rows=s-0:1",
	"joined\x00 id=4",
	strings.Repeat("j", 2000),
	"joined " + strings.Repeat("x=1 ", 400),
}

// invalidMessages are messages that are rejected on a joined connection, which stays open.
var invalidMessages = []string{
	"heard site=a target=s-0 count=2 fail=3 mean=1 over=1000",
	"heard site=a target=s-0 count=2 fail=1 mean=inf over=1000",
	"heard site=a target=s-99 count=2 fail=1 mean=1 over=1000",
	"heard target=s-0 count=2 fail=0 mean=1 over=1000",
	"usage id=77 lane=lookup count=1 fail=0 over=1000",
	"usage id=3 lane=none count=1 fail=0 over=1000",
	"usage id=3 lane=lookup count=1 count=1 fail=0 over=1000",
	"usage id=3 lane",
	"usage id=3 lane=lookup count=1 fail=0 over=1000" + manyFields(),
	"applied id=3 seq=60000 ms=1",
	"applied id=99 seq=1 ms=1",
	"update rows=s-1:1",
	"joined id=3 site=a rps=1 new=1",
	"collector site=a",
}

// manyFields returns more fields than a message may have.
func manyFields() string {
	var fields strings.Builder
	for index := range 40 {
		fmt.Fprintf(&fields, " x%d=1", index)
	}
	return fields.String()
}

// TestDigest compares a digest of everything that a core sends, of the connections that it closes, and of the times of both,
// with the digest in testdata. Update it with go test ./internal/platform -run Digest -update, and only in a commit that
// says which behavior changed and why.
func TestDigest(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			c := newPeerSimulation(t, seed)
			lines := c.run()
			c.checkCoverage(t)
			golden.Check(t, fmt.Sprintf("testdata/digest-%d.txt", seed), lines)
		})
	}
}

// checkCoverage fails the test if an event that the digest should cover did not occur.
func (c *peerSimulation) checkCoverage(t *testing.T) {
	t.Helper()
	counts := c.core.Counts
	t.Logf("%+v ejections %d readmissions %d admission cuts %d replaced %d sheds %d", counts, c.ejections, c.readmissions, c.admissionCuts, c.replaced, c.sheds)
	occurrences := []struct {
		what  string
		count int
	}{
		{"joins after the first of each proxy", int(counts.Joins) - digestProxies},
		{"lost streams", int(counts.LostStreams)},
		{"silent proxies", int(counts.SilentProxies)},
		{"refusals", int(counts.Refusals)},
		{"unreadable bytes", int(counts.Unreadable)},
		{"rejected messages", int(counts.RejectedMessages)},
		{"load reports", int(counts.LoadReports)},
		{"demand reports", int(counts.DemandReports)},
		{"acknowledgements", int(counts.Acknowledgements)},
		{"ejections", c.ejections},
		{"readmissions", c.readmissions},
		{"admission rates below 1", c.admissionCuts},
		{"replaced streams", c.replaced},
		{"shed connections", c.sheds},
		{"connections closed at shutdown", len(c.closeEvents)},
	}
	for _, occurrence := range occurrences {
		if occurrence.count <= 0 {
			t.Errorf("there were no %s", occurrence.what)
		}
	}
	if c.rejected != int(counts.RejectedMessages) {
		t.Errorf("OnReject was called %d times, with %d rejected messages counted", c.rejected, counts.RejectedMessages)
	}
}
