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
	exampleTimeout   = 20 * time.Second // for anything that a test of the examples awaits
	examplePoll      = 20 * time.Millisecond
	burstClients     = 8
	burstRequests    = 50 // that must succeed before the test goes on
	exampleProxyURL  = "http://127.0.0.1:7200/"
	exampleStatusURL = "http://127.0.0.1:7180/status"
	exampleMetrics   = "http://127.0.0.1:7180/metrics"
)

// The examples run as processes. A planner that is asked to stop amid a burst of requests ends well, and its proxy goes on
// serving; a planner that is killed and started again takes the proxy back.
func TestExamples(t *testing.T) {
	startExample(t, "server")
	planner := startExample(t, "planner")
	startExample(t, "proxy")
	await(t, "a request", requestSucceeds)
	await(t, "the join", proxyJoined)
	if !strings.Contains(get(exampleMetrics), "lichenpick_proxies 1") {
		t.Error("no metrics")
	}

	burst := startBurst(t)
	await(t, "the burst", func() bool { return burst.succeeded.Load() > burstRequests })
	if err := planner.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	checkExitsCleanly(t, planner)
	before := burst.succeeded.Load()
	await(t, "requests without a planner", func() bool { return burst.succeeded.Load() > before+burstRequests })
	burst.stop()

	planner = startExample(t, "planner")
	await(t, "the join of a new planner", proxyJoined)
	if err := planner.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := planner.Wait(); err == nil || errors.As(err, new(*os.PathError)) {
		t.Errorf("killed, and ended with %v", err)
	}
	await(t, "a request after the kill", requestSucceeds)
	startExample(t, "planner")
	await(t, "the join after a kill", proxyJoined)
}

// startExample starts the program with an example file, until the end of the test.
func startExample(t *testing.T, kind string) *exec.Cmd {
	t.Helper()
	command, errorText := programCommand(kind, "-c", "deploy/examples/"+kind+".txtpb", "--log-level", "warn")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill() // it may have ended already
		_ = command.Wait()
		if t.Failed() {
			t.Log(command.Args, errorText)
		}
	})
	return command
}

// checkExitsCleanly checks that a process which was signalled to stop ends in time, with exit code 0.
func checkExitsCleanly(t *testing.T, command *exec.Cmd) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the planner ended with %v", err)
		}
	case <-time.After(exampleTimeout):
		t.Error("the planner does not end")
	}
}

// await polls a condition until it holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(exampleTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(examplePoll)
	}
}

// get returns the body of a response, and nothing where there is none.
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

// requestBurst is some clients that send requests one after the other.
type requestBurst struct {
	succeeded atomic.Int32
	stopping  chan struct{}
	clients   sync.WaitGroup
}

// startBurst starts the clients, until stop is called.
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

// stop ends the clients and waits for them.
func (b *requestBurst) stop() {
	close(b.stopping)
	b.clients.Wait()
}
