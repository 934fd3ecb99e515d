package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"syscall"
	"testing"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/discovery"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

const (
	// plannerFileVariable is an environment variable with the path of a settings file. If the variable is set, the test binary
	// runs as a planner with these settings.
	plannerFileVariable = "LICHENPICK_TEST_AS_PLANNER"
	// clockRateVariable is an environment variable with the rate of the monotonic clock of a planner that the test binary runs.
	// If the variable is not set, the rate is 1.
	clockRateVariable = "LICHENPICK_TEST_RATE"
)

func TestMain(m *testing.M) {
	file := os.Getenv(plannerFileVariable)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := runAsPlanner(file); err != nil {
		fmt.Fprintln(os.Stderr, "planner of a test:", err)
		os.Exit(1)
	}
}

// runAsPlanner runs a planner until SIGTERM.
func runAsPlanner(file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	set := &pb.Planner{}
	if err := settings.Load(file, set); err != nil {
		return err
	}
	plannerClock := skewedClock{Real: clock.NewReal(), rate: 1}
	if text := os.Getenv(clockRateVariable); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		plannerClock.rate = rate
	}
	return planner.Run(ctx, planner.Options{
		Settings: set,
		Clock:    plannerClock,
		Network:  clock.TCP{},
		Log:      discardLogger(),
		Source: &discovery.StreamSource{
			Address:            set.List.GetStream().Address,
			ReconnectDelayMs:   milliseconds(reconnectDelay),
			HeartbeatTimeoutMs: milliseconds(heartbeatTimeout),
			MaxFrameBytes:      maxListFrameBytes,
			Clock:              plannerClock,
			Network:            clock.TCP{},
		},
	})
}

// plannerCommand returns a command that runs the test binary as a planner.
func plannerCommand(file string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), plannerFileVariable+"="+file)
	command.Stderr = os.Stderr
	return command
}

// skewedClock is a clock whose monotonic time runs too fast or too slowly. Its wall time is correct.
type skewedClock struct {
	*clock.Real
	rate float64
}

func (c skewedClock) Monotonic() float64 { return c.Real.Monotonic() * c.rate }

func (c skewedClock) NewTimer(ms float64) (<-chan time.Time, func()) {
	return c.Real.NewTimer(ms / c.rate)
}

func (c skewedClock) Deadline(ms float64) time.Time { return c.Real.Deadline(ms / c.rate) }
