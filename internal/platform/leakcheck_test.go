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

const leakTimeoutMs = 10000.0 // ms that goroutines of net/http may take to end

// leakCheck compares what the process holds before and after a planner: goroutines of this package, and descriptors.
type leakCheck struct {
	t           *testing.T
	nested      bool // another planner runs in this process; its own check is for both
	descriptors int
}

// runningChecks counts those that a test has started and not yet finished.
var runningChecks atomic.Int64

func startLeakCheck(t *testing.T) *leakCheck {
	t.Helper()
	_, descriptors := openResources(t)
	return &leakCheck{t, runningChecks.Add(1) > 1, descriptors}
}

// finish holds that no goroutine of the runtime runs at all once Run has returned; net/http's own may take a moment longer
// to close theirs.
func (l *leakCheck) finish() {
	runningChecks.Add(-1)
	if l.nested {
		return
	}
	goroutines, descriptors := openResources(l.t)
	if strings.Contains(goroutines, runtimeMethods) {
		l.t.Errorf("Run returned and left:\n%s", goroutines)
	}
	now := clock.NewReal()
	for (goroutines != "" || descriptors > l.descriptors) && now.Monotonic() < leakTimeoutMs {
		pause()
		goroutines, descriptors = openResources(l.t)
	}
	if goroutines != "" || descriptors > l.descriptors {
		l.t.Errorf("%d descriptors, %d before; left:\n%s", descriptors, l.descriptors, goroutines)
	}
}

// Texts that a stack trace has of the package's goroutines. They are taken from the types, as a check that looked for a name
// out of date would hold of itself.
var (
	runtimeMethods   = pointerMethods[serverRuntime]()
	discoveryMethods = pointerMethods[discoveryClient]()
	progressConnName = reflect.TypeFor[progressConn]().String()
)

func pointerMethods[T any]() string { return "platform.(*" + reflect.TypeFor[T]().Name() + ")." }

// openResources returns the stacks of this package's goroutines, and the number of descriptors of the process.
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
		t.Skip("no /proc here")
	}
	return goroutines, len(all)
}
