package platform

import (
	"os"
	"reflect"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
)

const leakTimeoutMs = 10000.0 // ms that the goroutines of net/http may take to end

// leakCheck compares the resources of the process before and after a planner has run: goroutines of this package, and file
// descriptors.
type leakCheck struct {
	t           *testing.T
	nested      bool // another planner was running already, and the check of that planner covers both
	descriptors int
}

// runningChecks counts the checks that are started and not yet finished.
var runningChecks atomic.Int64

func startLeakCheck(t *testing.T) *leakCheck {
	t.Helper()
	_, descriptors := openResources(t)
	return &leakCheck{t, runningChecks.Add(1) > 1, descriptors}
}

// finish checks that no resources of the planner are left. No goroutine of the runtime may exist once Run has returned;
// those of net/http may take a moment longer to end.
func (l *leakCheck) finish() {
	runningChecks.Add(-1)
	if l.nested {
		return
	}
	goroutines, descriptors := openResources(l.t)
	if strings.Contains(goroutines, runtimeMethods) {
		l.t.Errorf("goroutines left after Run has returned:\n%s", goroutines)
	}
	now := clock.NewReal()
	for (goroutines != "" || descriptors > l.descriptors) && now.Monotonic() < leakTimeoutMs {
		pause()
		goroutines, descriptors = openResources(l.t)
	}
	if goroutines != "" || descriptors > l.descriptors {
		l.t.Errorf("%d descriptors, %d before; goroutines left:\n%s", descriptors, l.descriptors, goroutines)
	}
}

// Texts that identify goroutines of this package in a stack trace. They are derived from the types, because a check for an
// outdated name would always pass.
var (
	runtimeMethods   = pointerMethods[serverRuntime]()
	discoveryMethods = pointerMethods[discoveryClient]()
	progressConnName = reflect.TypeFor[progressConn]().String()
)

func pointerMethods[T any]() string { return "platform.(*" + reflect.TypeFor[T]().Name() + ")." }

// openResources returns the stacks of this package's goroutines, and the number of file descriptors of the process.
func openResources(t *testing.T) (goroutines string, descriptors int) {
	t.Helper()
	buffer := make([]byte, 1<<20)
	for _, stack := range strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n") {
		for _, name := range []string{runtimeMethods, discoveryMethods, progressConnName} {
			if strings.Contains(stack, name) {
				goroutines += stack + "\n\n"
				break
			}
		}
	}
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("/proc is not available")
	}
	return goroutines, len(all)
}
