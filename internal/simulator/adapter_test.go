package simulator

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

const open = `{"what":"OpenInstance","Who":"planner_0","RandomSeed":18446744073709551615,"Info":{"Azs":["a","b"],` +
	`"Classes":[{"AimMs":600,"Worth":1,"Repeat":"read_like"}],"Unknown":{"x":1},"FamilyInfo":{"Admit":"share",` +
	`"ChannelRate":2500,"PerMessage":4,"MostWaiting":3500,"DefaultRetry":1,"ReportEveryMs":1000},` +
	`"Rules":{"ColdShare":0.2,"WarmUpMs":16000}}},{"what":"Registry","Who":"planner_0","Number":1,"Form":"restored",` +
	`"NodesList":[{"Server":"10.0.0.1:5000","Hall":0,"Shape":0,"Cluster":0,"Availability":"SERVING","W":1}]}`

func batch(at, msgs string) string { return `{"TMs":` + at + `,"msgs":[` + msgs + "]}\n" }

// serve gives the replies, what was said on standard error, and the fault.
func serve(in string) (replies []string, said string, err error) {
	var out, errs bytes.Buffer
	err = Serve(strings.NewReader(in), &out, &errs)
	return strings.Split(strings.TrimSpace(out.String()), "\n"), errs.String(), err
}

func TestServe(t *testing.T) {
	t.Run("a proxy that dials in gets its table", func(t *testing.T) {
		got, _, err := serve(batch("1000", open) +
			batch("1500", `{"what":"DialledIn","Who":"planner_0","Active":true,"Proxy":41,"W":6.5,"Hall":0}`))
		if err != nil || len(got) != 2 || !strings.Contains(got[1], `"what":"HandTable","Who":"planner_0","Proxy":41`) {
			t.Errorf("%v %v", got, err)
		}
		for _, line := range got {
			if !json.Valid([]byte(line)) {
				t.Errorf("not JSON: %s", line)
			}
		}
	})
	t.Run("an empty batch, and the end", func(t *testing.T) {
		got, _, err := serve(`{"TMs":8412.25,"msgs":[]}` + "\n")
		if err != nil || got[0] != `{"output":[]}` {
			t.Errorf("%v %v", got, err)
		}
	})
	t.Run("killed and started again in one batch", func(t *testing.T) {
		got, _, err := serve(batch("1000", open) + batch("2000", `{"what":"Kill","Who":"planner_0"},`+open) +
			batch("3000", `{"what":"Kill","Who":"planner_0"}`) +
			batch("4000", `{"what":"Ring","Who":"planner_0","Nonce":1}`))
		if err != nil || got[2] != `{"output":[]}` || got[3] != `{"output":[]}` {
			t.Errorf("a stopped planner acts: %v %v", got, err)
		}
	})
	t.Run("an unknown message is told once and skipped", func(t *testing.T) {
		_, said, err := serve(batch("1", `{"what":"Weather","Who":"planner_0"},{"what":"Weather","Who":"planner_0"}`))
		if err != nil || strings.Count(said, "Weather") != 1 {
			t.Errorf("%q %v", said, err)
		}
	})
	for name, c := range map[string]struct{ in, want string }{
		"not JSON":        {"hello\n", "not JSON"},
		"no name":         {batch("1", `{"Who":"planner_0"}`), "field what"},
		"no instance":     {batch("1", `{"what":"LostStream","Proxy":1}`), "LostStream without its instance"},
		"wrong type":      {batch("1", `{"what":"LostStream","Who":"planner_0","Proxy":"x"}`), "LostStream: field Proxy"},
		"no kind of list": {batch("1", `{"what":"Registry","Who":"planner_0","Form":"odd"}`), "Registry: field Form"},
		"no state of a server": {batch("1", `{"what":"Registry","Who":"planner_0","Form":"update",`+
			`"NodesList":[{"Server":"a","Availability":"ODD"}]}`), "NodesList.Availability"},
	} {
		t.Run("bad input: "+name, func(t *testing.T) {
			_, _, err := serve(c.in)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, not one line with %q", err, c.want)
			}
		})
	}
	t.Run("a fault of the module becomes Crash", func(t *testing.T) {
		s := &server{instances: map[string]*instance{}, reported: map[string]bool{}}
		if err := s.batch([]byte(batch("1000", open))); err != nil {
			t.Fatal(err)
		}
		in := s.instances["planner_0"]
		in.protect(func() { panic("odd") })
		if !strings.Contains(string(s.out.buf), `"what":"Crash","Who":"planner_0","Line":"odd"`) || in.planner != nil {
			t.Errorf("%s", s.out.buf)
		}
	})
	t.Run("sites with slices get no table", func(t *testing.T) {
		got, _, err := serve(batch("1", strings.Replace(open, `"DefaultRetry":1`, `"DefaultRetry":1,"Slices":64`, 1)) +
			batch("2", `{"what":"DialledIn","Who":"planner_0","Proxy":1,"Hall":0}`))
		if err != nil || strings.Contains(got[1], "HandTable") {
			t.Errorf("%v %v", got, err)
		}
	})
}
