package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// asProgramVariable names an environment variable. If the variable is set, the test binary runs main instead of the tests.
const asProgramVariable = "LICHENPICK_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program in the root directory of the repository, and a buffer that collects
// its standard error.
func programCommand(args ...string) (*exec.Cmd, *bytes.Buffer) {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), asProgramVariable+"=1")
	command.Dir = "../.."
	errorText := &bytes.Buffer{}
	command.Stderr = errorText
	return command, errorText
}

const (
	// shortScenario is a scenario in which all invariants hold.
	shortScenario = `name: "x" length: "2s" warm: "500ms" no_baselines: true groups { name: "g" latency_budget: "500ms" expiry: "1s" }
		places { name: "a" proxies: 1 servers: 2 } traffic { rate: "20/s" } `
	// brokenScenario violates an invariant: a restarted server has so little capacity that any request overloads it.
	brokenScenario = `name: "x" length: "6s" warm: "500ms" no_baselines: true groups { name: "g" latency_budget: "500ms" expiry: "1s" }
		places { name: "a" proxies: 1 servers: 2 } traffic { rate: "100/s" } servers { work: "1s" fall_multiple: 1 }
		limits { cold_share: 0.001 fall_window: "100ms" } troubles { at: "200ms" lasts: "300ms" crash { servers: 1 listed: true } }`
)

func TestExitCodes(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for name, test := range map[string]struct {
		args []string
		code int
		want string // text that standard error must contain
	}{
		"a good file":     {[]string{"settings", "check", "planner", "deploy/examples/planner.txtpb"}, 0, ""},
		"a bad file":      {[]string{"settings", "check", "planner", write("bad", "name: 3")}, 2, "bad:1:7"},
		"no file":         {[]string{"planner", "-c", filepath.Join(directory, "none")}, 2, "no such file"},
		"no flag":         {[]string{"planner"}, 2, "needs -c FILE"},
		"an unknown flag": {[]string{"proxy", "--odd"}, 2, "--odd"},
		"a bad script": {
			[]string{"scenario", write("script", shortScenario+`troubles { at: "1s" zone_loss { zone: "mars" } }`)},
			2, `is "mars", which is not the name of a place`,
		},
		"a scenario without a violation":        {[]string{"scenario", write("kept", shortScenario)}, 0, ""},
		"a scenario that violates an invariant": {[]string{"scenario", write("broken", brokenScenario)}, 1, "violated an invariant"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			command, errorText := programCommand(test.args...)
			_ = command.Run() // the exit code is checked instead of the error
			code := command.ProcessState.ExitCode()
			if code != test.code || !strings.Contains(errorText.String(), test.want) {
				t.Errorf("exit %d, want %d with %q: %s", code, test.code, test.want, errorText)
			}
			if test.code == exitBadInput && strings.Count(errorText.String(), "\n") != 1 {
				t.Errorf("want one line on standard error, got: %s", errorText)
			}
		})
	}
}
