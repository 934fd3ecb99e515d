package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The test binary runs as the program itself where this is set.
const asProgram = "LICHENPICK_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program prepares a run of the program from the repository's root.
func program(args ...string) (*exec.Cmd, *bytes.Buffer) {
	c := exec.Command(os.Args[0], args...)
	c.Env, c.Dir = append(os.Environ(), asProgram+"=1"), "../.."
	var said bytes.Buffer
	c.Stderr = &said
	return c, &said
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	day := `name: "x" length: "2s" warm: "500ms" no_baselines: true groups { name: "g" latency_budget: "500ms" expiry: "1s" }
		places { name: "a" proxies: 1 servers: 2 } traffic { rate: "20/s" } `
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"a good file":        {[]string{"settings", "check", "planner", "deploy/examples/planner.txtpb"}, 0, ""},
		"a bad file":         {[]string{"settings", "check", "planner", write("bad", "name: 3")}, 2, "bad:1:7"},
		"no file":            {[]string{"planner", "-c", filepath.Join(dir, "none")}, 2, "no such file"},
		"no flag":            {[]string{"planner"}, 2, "needs -c FILE"},
		"an unknown flag":    {[]string{"proxy", "--odd"}, 2, "--odd"},
		"a bad script":       {[]string{"scenario", write("script", day+`troubles { at: "1s" zone_loss { zone: "mars" } }`)}, 2, `holds "mars", which is no place`},
		"a day that is kept": {[]string{"scenario", write("day", day)}, 0, ""},
		// A cold server that can do nothing: any flow pushes it over.
		"a day that breaks a rule": {[]string{"scenario", write("broken", strings.NewReplacer(`"2s"`, `"6s"`, "20/s", "100/s").Replace(day)+
			`servers { work: "1s" fall_multiple: 1 } limits { cold_share: 0.001 fall_window: "100ms" }
			troubles { at: "200ms" lasts: "300ms" crash { servers: 1 listed: true } }`)}, 1, "broke a rule"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd, said := program(c.args...)
			cmd.Run()
			if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(said.String(), c.want) || c.code == 2 && strings.Count(said.String(), "\n") != 1 {
				t.Errorf("exit %d, want %d: %s", cmd.ProcessState.ExitCode(), c.code, said)
			}
		})
	}
}

// The examples run as processes: a planner that is told to stop in the middle of a burst ends well, and its proxy
// serves on; a planner that is killed and started again takes the proxy back.
func TestExamples(t *testing.T) {
	begin := func(args ...string) *exec.Cmd {
		cmd, said := program(append(args, "--log-level", "warn")...)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			cmd.Process.Kill()
			cmd.Wait()
			if t.Failed() {
				t.Log(args, said)
			}
		})
		return cmd
	}
	get := func(url string) string {
		resp, err := http.Get(url)
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return string(b)
	}
	until := func(what string, is func() bool) {
		t.Helper()
		for begun := time.Now(); !is(); time.Sleep(20 * time.Millisecond) {
			if time.Since(begun) > 20*time.Second {
				t.Fatalf("not seen: %s", what)
			}
		}
	}
	begin("server", "-c", "deploy/examples/server.txtpb")
	planner := begin("planner", "-c", "deploy/examples/planner.txtpb")
	begin("proxy", "-c", "deploy/examples/proxy.txtpb")
	flow := func() bool { return get("http://127.0.0.1:7200/") == "ok\n" }
	joined := func() bool { return strings.Contains(get("http://127.0.0.1:7180/status"), `"Proxies":1`) }
	until("a flow", flow)
	until("the join", joined)
	if !strings.Contains(get("http://127.0.0.1:7180/metrics"), "lichenpick_proxies 1") {
		t.Error("no metrics")
	}
	stop := make(chan struct{})
	var burst sync.WaitGroup
	var served atomic.Int32
	for range 8 {
		burst.Add(1)
		go func() {
			defer burst.Done()
			for {
				select {
				case <-stop:
					return
				default:
					if flow() {
						served.Add(1)
					}
				}
			}
		}()
	}
	until("the burst", func() bool { return served.Load() > 50 })
	planner.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- planner.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the planner ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the planner does not end")
	}
	n := served.Load()
	until("flows without a planner", func() bool { return served.Load() > n+50 })
	close(stop)
	burst.Wait()
	planner = begin("planner", "-c", "deploy/examples/planner.txtpb")
	until("the join of a new planner", joined)
	planner.Process.Kill()
	if err := planner.Wait(); err == nil || errors.As(err, new(*os.PathError)) {
		t.Errorf("killed, and ended with %v", err)
	}
	until("a flow after the kill", flow)
	begin("planner", "-c", "deploy/examples/planner.txtpb")
	until("the join after a kill", joined)
}

// Three planners as processes share a swarm, and one is killed. Guards against a swarm that measures a fleet which nobody
// commands: every proxy must have been bound, and the killed planner's must have gone to others.
func TestSwarmShares(t *testing.T) {
	if testing.Short() {
		t.Skip("six seconds")
	}
	c, said := program("stress", "-c", "deploy/examples/planner-sharing.txtpb", "--spawn", "3", "--proxies", "30", "--servers", "12", "--length", "6s",
		"--kill-at-ms", "2000", "--back-after-ms", "30000")
	out, err := c.Output()
	if err != nil {
		t.Fatalf("%v\n%s", err, said)
	}
	rows := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(rows) != 6 {
		t.Fatalf("rows:\n%s", out)
	}
	if f := strings.Fields(rows[1]); f[0] != "30x12" || f[2] != "30" {
		t.Errorf("not all were bound:\n%s", out)
	}
	commands := 0
	for _, r := range rows[3:] {
		f := strings.Fields(r)
		if n, err := strconv.Atoi(f[3]); err == nil && f[0] != "planner-2" {
			commands += n
		}
	}
	if commands != 30 {
		t.Errorf("the two that live command %d of 30:\n%s", commands, out)
	}
}
