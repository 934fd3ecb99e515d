package fakeplatform_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/internal/fakeplatform"
	"lichenpick/internal/platform"
)

// configVariable is an environment variable with the path of a planner's configuration. If the variable is set, the test binary
// runs as a planner.
const configVariable = "LICHENPICK_TEST_AS_SERVE"

func TestMain(m *testing.M) {
	path := os.Getenv(configVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := serve(path); err != nil {
		fmt.Fprintln(os.Stderr, "planner of a test:", err)
		os.Exit(1)
	}
}

// serve runs a planner until SIGTERM.
func serve(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	reload := func() (platform.Config, error) { return platform.ReadConfig(path) }
	config, err := reload()
	if err != nil {
		return err
	}
	return platform.Run(ctx, platform.Options{
		Config:  config,
		Reload:  reload,
		Hangup:  hangup,
		Clock:   clock.NewReal(),
		Network: clock.TCP{},
		Log:     slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
}

// The day of the report, in ms from the start of the model. Clients begin 1.5 s after it.
const (
	releaseAtMs = 5800.0
	crashAtMs   = 10700.0
	crashDownMs = 1400.0
	restartAtMs = 17600.0
	restartMs   = 800.0
	dayMs       = 34000.0
	loadedShare = 0.45 // of the fleet's capacity
)

// scheduleReleaseDay schedules a release of most servers, a crash of a few, and the restart of a planner.
func scheduleReleaseDay(p *fakeplatform.Platform) {
	p.ScheduleRelease(fakeplatform.Release{AtMs: releaseAtMs, BatchIntervalMs: 2420, Batches: 7, BatchSize: 4, DrainMs: 7240})
	p.ScheduleCrash(crashAtMs, crashDownMs, 5)
	p.ScheduleRestart(0, restartAtMs, restartMs)
}

// TestReleaseOverloadsNoColdServer guards against servers in slow start that get more than they can do while most of the fleet
// is released (incident 49e403).
func TestReleaseOverloadsNoColdServer(t *testing.T) {
	t.Run("simulated time", func(t *testing.T) {
		for seed := int64(1); seed <= 12; seed++ {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				config := fakeplatform.Midlands(seed)
				config.Load = loadedShare
				p, _, err := fakeplatform.NewSimulated(config)
				if err != nil {
					t.Fatal(err)
				}
				scheduleReleaseDay(p)
				p.Begin()
				p.RunUntil(dayMs)
				checkDay(t, p)
			})
		}
	})
	t.Run("processes", func(t *testing.T) {
		for seed := int64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				config := fakeplatform.Midlands(seed)
				config.Load = loadedShare
				playProcesses(t, config, scheduleReleaseDay)
			})
		}
	})
}

// playProcesses plays a day with planners that are processes, on the real clock.
func playProcesses(t *testing.T, config fakeplatform.Config, schedule func(*fakeplatform.Platform)) {
	t.Helper()
	folder := t.TempDir()
	processes := &fakeplatform.Processes{
		Clock:   clock.NewReal(),
		Network: clock.TCP{},
		Folder:  folder,
		Command: func(path string) *exec.Cmd {
			command := exec.Command(os.Args[0])
			command.Env = append(os.Environ(), configVariable+"="+path)
			return command
		},
	}
	p, err := fakeplatform.NewProcesses(t.Context(), config, processes)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := processes.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			logPlanners(t, folder)
		}
	}()
	schedule(p)
	p.Begin()
	if err := processes.Run(t.Context(), dayMs); err != nil {
		t.Fatal(err)
	}
	checkDay(t, p)
}

func logPlanners(t *testing.T, folder string) {
	t.Helper()
	paths, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		t.Logf("%s %v\n%s", filepath.Base(path), err, text)
	}
}

// checkDay checks that no rule was broken, and that the day was played under load.
func checkDay(t *testing.T, p *fakeplatform.Platform) {
	t.Helper()
	t.Logf("%+v", p.Tally)
	for _, violation := range p.Violations {
		t.Error(violation)
	}
	const leastInTime = 2000
	if p.Tally.InTime < leastInTime {
		t.Errorf("%d requests were answered in time, want at least %d", p.Tally.InTime, leastInTime)
	}
}
