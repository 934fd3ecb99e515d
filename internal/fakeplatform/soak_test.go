package fakeplatform_test

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"lichenpick/internal/fakeplatform"
)

const (
	// soakSeedsVariable is an environment variable with the number of days to play; it makes the soak longer by hand.
	soakSeedsVariable = "LICHENPICK_SOAK_SEEDS"
	soakSeeds         = 64
	soakProcessSeeds  = 2
	maxFaults         = 3
	faultsFromMs      = 4000.0
	faultsUntilMs     = 18000.0
	maxListDelayMs    = 5500.0 // of changes of the list; the platform tells them within 6 s
	zoneDrainLeadMs   = 3000.0 // from the drain of a zone to the first restart of a planner, at most
)

// soakConfig draws a deployment and its load.
func soakConfig(seed int64, random *rand.Rand) fakeplatform.Config {
	config := fakeplatform.Midlands(seed)
	config.Planners = 1 + random.Intn(3)
	config.Load = 0.25 + 0.4*random.Float64()
	config.ReportLinesPerS = []float64{120, 300, 600}[random.Intn(3)]
	config.Servers = 15 + random.Intn(20)
	config.Proxies = 60 + random.Intn(120)
	config.ClientRetries = random.Intn(4)
	config.PropagationMs = 100 + 350*random.Float64()
	if random.Intn(2) == 0 {
		config.Classes[random.Intn(len(config.Classes))].StaysLocal = true
	}
	if random.Intn(2) == 0 {
		config.MaxListDelayMs = maxListDelayMs
	}
	return config
}

// scheduleSoakDay draws faults of a day: releases, crashes, and planners that are restarted one after the other, sometimes while
// the servers of a zone drain.
func scheduleSoakDay(p *fakeplatform.Platform, config fakeplatform.Config, random *rand.Rand) {
	released := false
	for range 1 + random.Intn(maxFaults) {
		atMs := faultsFromMs + (faultsUntilMs-faultsFromMs)*random.Float64()
		switch kind := random.Intn(4); {
		case kind == 0 && !released:
			released = true
			p.ScheduleRelease(drawRelease(config, random))
		case kind == 1:
			p.ScheduleCrash(atMs, 500+4000*random.Float64(), 1+random.Intn(config.Servers/3))
		default:
			if random.Intn(2) == 0 {
				p.ScheduleZoneDrain(atMs-zoneDrainLeadMs*random.Float64(), random.Intn(len(config.Zones)))
			}
			for number := range config.Planners {
				downMs := 700 + 2000*random.Float64()
				p.ScheduleRestart(number, atMs, downMs)
				atMs += downMs + 500 + 3000*random.Float64()
			}
			return // one series of restarts a day, as a planner must run to be stopped
		}
	}
}

// drawRelease draws a release of a part of the servers, or all.
func drawRelease(config fakeplatform.Config, random *rand.Rand) fakeplatform.Release {
	batch := 1 + random.Intn(6)
	return fakeplatform.Release{
		AtMs:            faultsFromMs + 4000*random.Float64(),
		BatchIntervalMs: 800 + 2500*random.Float64(),
		Batches:         1 + random.Intn(config.Servers/batch),
		BatchSize:       batch,
		DrainMs:         config.DrainGraceMs + 4000*random.Float64(),
	}
}

// soakSize returns the number of days to play.
func soakSize(t *testing.T, otherwise int) int {
	t.Helper()
	text := os.Getenv(soakSeedsVariable)
	if text == "" {
		return otherwise
	}
	size, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", soakSeedsVariable, err)
	}
	return size
}

// TestSoak plays days with faults drawn by seed, and checks that no rule is broken. The days with processes are on the real clock.
func TestSoak(t *testing.T) {
	t.Run("simulated time", func(t *testing.T) {
		for seed := range int64(soakSize(t, soakSeeds)) {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewSource(seed))
				config := soakConfig(seed, random)
				p, planners, err := fakeplatform.NewSimulated(config)
				if err != nil {
					t.Fatal(err)
				}
				scheduleSoakDay(p, config, random)
				p.Begin()
				p.RunUntil(dayMs)
				checkSoak(t, p)
				for _, planner := range planners {
					for _, reason := range planner.Closed() {
						t.Logf("closed: %v", reason)
					}
				}
			})
		}
	})
	t.Run("processes", func(t *testing.T) {
		for seed := range int64(soakSize(t, soakProcessSeeds)) {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewSource(seed))
				config := soakConfig(seed, random)
				playProcesses(t, config, func(p *fakeplatform.Platform) { scheduleSoakDay(p, config, random) })
			})
		}
	})
}

// checkSoak checks that no rule was broken on a day that may be too bad for many answers in time.
func checkSoak(t *testing.T, p *fakeplatform.Platform) {
	t.Helper()
	t.Logf("%+v", p.Tally)
	for _, violation := range p.Violations {
		t.Error(violation)
	}
	if p.Tally.Attempts == 0 {
		t.Error("no request was sent")
	}
}
