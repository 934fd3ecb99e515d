package simulator

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
)

const openMessage = `{"what":"OpenInstance","Who":"planner_0","RandomSeed":18446744073709551615,"Info":{"Azs":["a","b"],` +
	`"Classes":[{"AimMs":600,"Worth":1,"Repeat":"read_like"}],"Unknown":{"x":1},"FamilyInfo":{"Admit":"share",` +
	`"ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"DefaultRetry":1,"ReportEveryMs":1000},` +
	`"Rules":{"ColdShare":0.2,"WarmUpMs":16000}}},{"what":"Registry","Who":"planner_0","Number":1,"Form":"restored",` +
	`"NodesList":[{"Server":"10.0.0.1:5000","Hall":0,"Shape":0,"Cluster":0,"Availability":"SERVING","W":1}]}`

const killMessage = `{"what":"Kill","Who":"planner_0"}`

// batch returns one line of input.
func batch(timeMs, messages string) string {
	return `{"TMs":` + timeMs + `,"msgs":[` + messages + "]}\n"
}

// serve runs Serve on the input and returns the replies, the diagnostics and the error.
func serve(input string) (replies []string, diagnostics string, err error) {
	var output, diagnosticsBuffer bytes.Buffer
	err = Serve(strings.NewReader(input), &output, &diagnosticsBuffer)
	return strings.Split(strings.TrimSpace(output.String()), "\n"), diagnosticsBuffer.String(), err
}

func TestServe(t *testing.T) {
	t.Run("a connecting proxy is assigned its weight table", checkConnectingProxy)
	t.Run("an empty batch is answered, and the end of input is not an error", func(t *testing.T) {
		replies, _, err := serve(`{"TMs":8412.25,"msgs":[]}` + "\n")
		if err != nil || replies[0] != `{"output":[]}` {
			t.Errorf("replies %v, error %v; want one empty reply", replies, err)
		}
	})
	t.Run("a killed instance writes no actions, also after a batch that killed and reopened it", func(t *testing.T) {
		replies, _, err := serve(batch("1000", openMessage) + batch("2000", killMessage+","+openMessage) +
			batch("3000", killMessage) + batch("4000", `{"what":"Ring","Who":"planner_0","Nonce":1}`))
		if err != nil || replies[2] != `{"output":[]}` || replies[3] != `{"output":[]}` {
			t.Errorf("a killed instance writes actions: replies %v, error %v", replies, err)
		}
	})
	t.Run("an unknown message is reported once and skipped", func(t *testing.T) {
		unknown := `{"what":"Weather","Who":"planner_0"}`
		_, diagnostics, err := serve(batch("1", unknown+","+unknown))
		if err != nil || strings.Count(diagnostics, "Weather") != 1 {
			t.Errorf("diagnostics %q, error %v; want one report", diagnostics, err)
		}
	})
	for name, test := range badInputs() {
		t.Run("bad input: "+name, func(t *testing.T) {
			_, _, err := serve(test.input)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, test.want)
			}
		})
	}
	t.Run("a panic of the policy is reported as a crash of its instance", checkCrash)
	t.Run("weight tables are not assigned where tables are sharded by key range", func(t *testing.T) {
		sharded := strings.Replace(openMessage, `"DefaultRetry":1`, `"DefaultRetry":1,"Slices":64`, 1)
		replies, _, err := serve(batch("1", sharded) + batch("2", `{"what":"DialledIn","Who":"planner_0","Proxy":1,"Hall":0}`))
		if err != nil || strings.Contains(replies[1], "HandTable") {
			t.Errorf("replies %v, error %v; want no assignment", replies, err)
		}
	})
}

// badInput is an invalid input, and a part of the expected error.
type badInput struct{ input, want string }

func badInputs() map[string]badInput {
	return map[string]badInput{
		"not JSON":        {"hello\n", "not JSON"},
		"no message name": {batch("1", `{"Who":"planner_0"}`), "field what"},
		"no instance":     {batch("1", `{"what":"LostStream","Proxy":1}`), "LostStream has no instance"},
		"wrong type":      {batch("1", `{"what":"LostStream","Who":"planner_0","Proxy":"x"}`), "LostStream: field Proxy"},
		"unknown list":    {batch("1", `{"what":"Registry","Who":"planner_0","Form":"odd"}`), "Registry: field Form"},
		"unknown state":   {batch("1", `{"what":"Registry","Who":"planner_0","Form":"update","NodesList":[{"Server":"a","Availability":"ODD"}]}`), "NodesList.Availability"},
	}
}

func checkConnectingProxy(t *testing.T) {
	replies, _, err := serve(batch("1000", openMessage) +
		batch("1500", `{"what":"DialledIn","Who":"planner_0","Active":true,"Proxy":41,"W":6.5,"Hall":0}`))
	if err != nil || len(replies) != 2 || !strings.Contains(replies[1], `"what":"HandTable","Who":"planner_0","Proxy":41`) {
		t.Errorf("replies %v, error %v; want an assignment for proxy 41", replies, err)
	}
	for _, reply := range replies {
		if !json.Valid([]byte(reply)) {
			t.Errorf("not JSON: %s", reply)
		}
	}
}

func checkCrash(t *testing.T) {
	adapter := newAdapter(io.Discard)
	if err := adapter.handleBatch([]byte(batch("1000", openMessage))); err != nil {
		t.Fatal(err)
	}
	crashing := adapter.instances["planner_0"]
	crashing.runRecovered(func() { panic("odd") })
	actions := string(adapter.actions.buffer)
	if !strings.Contains(actions, `"what":"Crash","Who":"planner_0","Line":"odd"`) || crashing.policy != nil {
		t.Errorf("the instance did not crash: actions %s", actions)
	}
}
