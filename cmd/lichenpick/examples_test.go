package main

import (
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	exampleTimeout   = 20 * time.Second // maximum duration of each wait
	examplePoll      = 20 * time.Millisecond
	burstClients     = 8
	burstRequests    = 50 // number of successful requests to wait for during a burst
	exampleProxyURL  = "http://127.0.0.1:7200/"
	exampleStatusURL = "http://127.0.0.1:7180/status"
	exampleMetrics   = "http://127.0.0.1:7180/metrics"
)

// TestExamples runs the files of deploy/examples as processes. It checks that a planner which is stopped during a burst of
// requests exits with code 0 while the proxy goes on serving. It also checks that the proxy joins the planner again after the
// planner is restarted, both after this stop and after a kill.
func TestExamples(t *testing.T) {
	startExample(t, "server")
	planner := startExample(t, "planner")
	startExample(t, "proxy")
	await(t, "a successful request", requestSucceeds)
	await(t, "the join of the proxy", proxyJoined)
	if !strings.Contains(get(exampleMetrics), "lichenpick_proxies 1") {
		t.Error("the metrics do not have lichenpick_proxies 1")
	}

	burst := startBurst(t)
	await(t, "successful requests of the burst", func() bool { return burst.succeeded.Load() > burstRequests })
	if err := planner.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	checkExitsCleanly(t, planner)
	before := burst.succeeded.Load()
	await(t, "successful requests without a planner", func() bool { return burst.succeeded.Load() > before+burstRequests })
	burst.stop()

	planner = startExample(t, "planner")
	await(t, "the join at the planner that was started again", proxyJoined)
	if err := planner.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := planner.Wait(); err == nil || errors.As(err, new(*os.PathError)) {
		t.Errorf("a killed planner ended with %v, want an exit error", err)
	}
	await(t, "a successful request after the kill", requestSucceeds)
	startExample(t, "planner")
	await(t, "the join after the kill", proxyJoined)
}

// startExample starts a sub-command with its example file. The process is killed at the end of the test.
func startExample(t *testing.T, kind string) *exec.Cmd {
	t.Helper()
	command, errorText := programCommand(kind, "-c", "deploy/examples/"+kind+".txtpb", "--log-level", "warn")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails only if the process has exited already
		_ = command.Wait()
		if t.Failed() {
			t.Log(command.Args, errorText)
		}
	})
	return command
}

// checkExitsCleanly checks that a process that received SIGTERM exits with code 0 within exampleTimeout.
func checkExitsCleanly(t *testing.T, command *exec.Cmd) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the planner ended with %v, want exit code 0", err)
		}
	case <-time.After(exampleTimeout):
		t.Error("the planner did not exit in time")
	}
}

// await polls a condition until the condition holds, and fails the test after exampleTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(exampleTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(examplePoll)
	}
}

// get requests a URL and returns the body of the response, or an empty string if the request fails.
func get(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return ""
	}
	body, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return ""
	}
	return string(body)
}

func requestSucceeds() bool { return get(exampleProxyURL) == "ok\n" }

func proxyJoined() bool { return strings.Contains(get(exampleStatusURL), `"Proxies":1`) }

// requestBurst is a set of concurrent clients. Each client sends one request at a time.
type requestBurst struct {
	succeeded atomic.Int32
	stopping  chan struct{}
	clients   sync.WaitGroup
}

// startBurst starts the clients, which run until stop is called.
func startBurst(t *testing.T) *requestBurst {
	t.Helper()
	burst := &requestBurst{stopping: make(chan struct{})}
	for range burstClients {
		burst.clients.Go(burst.sendRequests)
	}
	return burst
}

func (b *requestBurst) sendRequests() {
	for {
		select {
		case <-b.stopping:
			return
		default:
			if requestSucceeds() {
				b.succeeded.Add(1)
			}
		}
	}
}

// stop stops the clients and waits for them.
func (b *requestBurst) stop() {
	close(b.stopping)
	b.clients.Wait()
}
