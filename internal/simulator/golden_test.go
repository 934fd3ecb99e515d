package simulator_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"lichenpick/internal/golden"
	"lichenpick/internal/simulator"
)

const (
	runMs       = 40_000
	batchMs     = 250    // time between batches
	digestMs    = 2000.0 // length of the interval that one digest line covers
	overloadMs  = 8000   // start of the overload; the overload ends at half of runMs
	serverCount = 12
	proxyCount  = 6
	classCount  = 2
	seed        = 20261202
)

const infoObject = `{"Azs":["a","b"],"Classes":[{"Name":"check","AimMs":600,"Worth":1,"Repeat":"read_like"},` +
	`{"Name":"charge","AimMs":800,"Worth":3,"Repeat":"idempotency_key"}],"Discovery":"subscribe","Balancers":2,` +
	`"FamilyInfo":{"Admit":"share","ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"PushesAllowed":20,"ReloadSpanMs":10000,` +
	`"DefaultRetry":1,"ReportEveryMs":1000,"TransitMaxMs":800,"DataPlaneSize":6,"SmallestConnTable":300,"StaysLocal":[false,true]},` +
	`"Limits":{"ConnIdleMs":15000},"PeriodMs":250,"Prices":{"CrossZone":0.01},` +
	`"Rules":{"AskWithinMs":2000,"ColdShare":0.2,"WarmUpMs":16000,"FallMs":3000,"StopSendingWithinMs":3000}}`

// simulatedFleet generates random messages of every kind that the adapter reads, from a fixed seed. Servers drain, fail and
// become ready again.
type simulatedFleet struct {
	random   *rand.Rand
	messages []string
}

func (f *simulatedFleet) add(what, planner, format string, args ...any) {
	f.messages = append(f.messages, fmt.Sprintf(`{"what":%q,"Who":%q`, what, planner)+fmt.Sprintf(format, args...)+"}")
}

func (f *simulatedFleet) server(number int) string { return fmt.Sprintf("10.0.0.%d:5000", number) }

func (f *simulatedFleet) open(planner string) {
	f.add("OpenInstance", planner, `,"RandomSeed":%d,"Info":%s`, f.random.Uint64(), infoObject)
}

func (f *simulatedFleet) endpoints(planner, form string, share float64) {
	var entries []string
	for number := range serverCount {
		if f.random.Float64() >= share {
			continue
		}
		state := "SERVING"
		switch f.random.Intn(12) {
		case 0:
			state = "DRAINING"
		case 1:
			state = "DELETED"
		}
		entries = append(entries, fmt.Sprintf(`{"Server":%q,"Hall":%d,"Shape":0,"Cluster":0,"Availability":%q,"W":%g,"BornMs":%d}`,
			f.server(number), number%2, state, 1+float64(number%3), f.random.Intn(runMs)))
	}
	f.add("Registry", planner, `,"Number":1,"Form":%q,"NodesList":[%s]`, form, strings.Join(entries, ","))
}

// reports adds a load report of each server and a demand report of each proxy. In an overload, servers are slow and fail.
func (f *simulatedFleet) reports(planner string, overload bool) {
	slowness := 1
	if overload {
		slowness = 30
	}
	for number := range serverCount {
		failed := 0
		if overload || f.random.Intn(8) == 0 {
			failed = f.random.Intn(20)
		}
		f.add("Stats", planner, `,"Server":%q,"Hall":%d,"Count":%d,"Failed":%d,"TookMs":%g,"CoversMs":1000,"Metrics":[1,2]`,
			f.server(number), f.random.Intn(2), slowness*(20+f.random.Intn(60)), failed, float64(slowness)*(30+70*f.random.Float64()))
	}
	for proxy := range proxyCount {
		f.add("Usage", planner, `,"Proxy":%d,"Service":%d,"Count":%d,"Failed":%d,"CoversMs":1000`,
			proxy, f.random.Intn(classCount), slowness*(100+f.random.Intn(400)), slowness*f.random.Intn(5))
	}
}

// batch adds the messages of one interval.
func (f *simulatedFleet) batch(planner string, nowMs int) {
	if nowMs%1000 == 0 {
		f.reports(planner, nowMs >= overloadMs && nowMs < runMs/2)
	}
	proxy := f.random.Intn(proxyCount)
	switch f.random.Intn(14) {
	case 0:
		f.endpoints(planner, "update", 0.3)
	case 1:
		f.endpoints(planner, "replace", 0.95)
	case 2:
		f.endpoints(planner, "unavailable", 0)
	case 3:
		f.add("LostStream", planner, `,"Proxy":%d`, proxy)
	case 4, 5, 6:
		f.add("DialledIn", planner, `,"Active":true,"Proxy":%d,"W":%g,"Hall":%d`, proxy, 20+10*f.random.Float64(), proxy%2)
	case 7, 8, 9:
		f.add("CaughtUp", planner, `,"Proxy":%d,"Number":%d,"TookMs":%g`, proxy, f.random.Intn(20), 100*f.random.Float64())
	case 10:
		f.add("Health", planner, `,"Server":%q`, f.server(0))
	case 11:
		f.add("Weather", planner, "")
	default:
		f.add("Ring", planner, `,"Nonce":1`)
	}
}

// generateInput returns all batches, one per line. One planner is killed and opened again; the other is killed and stays killed.
func generateInput() string {
	fleet := &simulatedFleet{random: rand.New(rand.NewSource(seed))}
	var lines strings.Builder
	planners := []string{"planner_0", "planner_1"}
	for nowMs := 0; nowMs < runMs; nowMs += batchMs {
		fleet.messages = nil
		for _, planner := range planners {
			if nowMs == 0 || nowMs == runMs/2 && planner == planners[0] {
				fleet.add("Kill", planner, "")
				fleet.open(planner)
				fleet.endpoints(planner, "restored", 1)
			}
			if nowMs == runMs*3/4 && planner == planners[1] {
				fleet.add("Kill", planner, "")
			}
			fleet.batch(planner, nowMs)
		}
		fmt.Fprintf(&lines, `{"TMs":%d,"msgs":[%s]}`+"\n", nowMs, strings.Join(fleet.messages, ","))
	}
	return lines.String()
}

// TestGoldenAdapter compares the digest of all replies, byte for byte, with the recorded digest. It also checks that the replies
// contain every kind of action, so that the golden file covers all kinds.
func TestGoldenAdapter(t *testing.T) {
	var output, diagnostics bytes.Buffer
	if err := simulator.Serve(strings.NewReader(generateInput()), &output, &diagnostics); err != nil {
		t.Fatal(err)
	}
	digest := golden.NewDigest("adapter", digestMs)
	replies := strings.Split(strings.TrimSuffix(output.String(), "\n"), "\n")
	if len(replies) != runMs/batchMs {
		t.Fatalf("got %d replies, want %d", len(replies), runMs/batchMs)
	}
	for index, reply := range replies {
		digest.Add(float64(index*batchMs), "%s", reply)
	}
	digest.Add(runMs, "%s", diagnostics.String())
	golden.Check(t, "testdata/adapter.golden.txt", digest.Finish(runMs))
	for _, action := range []string{"SetLine", "HandTable", "Mask", "Ration", "AskReceipt", "Follow", "SetTimer"} {
		if !strings.Contains(output.String(), `"what":"`+action+`"`) {
			t.Errorf("no reply has the action %s", action)
		}
	}
}
