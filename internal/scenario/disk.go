package scenario

import (
	"errors"
	"log/slog"
	"sync"

	"golang.org/x/sys/unix"
)

// diskFault makes the writes of a planner's process fail as on a full disk, over its restarts. Its methods may be called by any
// goroutine.
type diskFault struct {
	log *slog.Logger

	mu   sync.Mutex
	full bool
	pid  int // of the current or last process; 0: none yet
}

// attach puts the state of the disk into effect for a process that was started.
func (d *diskFault) attach(pid int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pid = pid
	if d.full {
		d.apply()
	}
}

// setFull makes all writes to files fail, also of processes that are started later, or ends that.
func (d *diskFault) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
	if d.pid != 0 {
		d.apply()
	}
}

// apply limits the size of files that the process may write, to nothing where the disk is full. The caller holds the lock.
func (d *diskFault) apply() {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if d.full {
		limit.Cur = 0
	}
	err := unix.Prlimit(d.pid, unix.RLIMIT_FSIZE, &limit, nil)
	if err != nil && !errors.Is(err, unix.ESRCH) { // a process that has ended needs none
		d.log.Error("cannot limit the files of a planner", "pid", d.pid, "error", err)
	}
}
