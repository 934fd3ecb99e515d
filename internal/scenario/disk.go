package scenario

import (
	"errors"
	"log/slog"
	"sync"

	"golang.org/x/sys/unix"
)

// diskFault makes the file writes of a planner's process fail as on a full disk. It stays in effect when the process is
// restarted. Its methods may be called by any goroutine.
type diskFault struct {
	log *slog.Logger

	mu   sync.Mutex
	full bool
	pid  int // of the current or last process; 0: none yet
}

// attach applies the fault, if the disk is full, to a process that was started.
func (d *diskFault) attach(pid int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pid = pid
	if d.full {
		d.apply()
	}
}

// setFull sets whether the disk is full. While it is, all writes to files fail, also those of processes started later.
func (d *diskFault) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
	if d.pid != 0 {
		d.apply()
	}
}

// apply limits the size of files that the process may write: to 0 while the disk is full, and not at all otherwise. The
// caller holds the lock.
func (d *diskFault) apply() {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if d.full {
		limit.Cur = 0
	}
	err := unix.Prlimit(d.pid, unix.RLIMIT_FSIZE, &limit, nil)
	if err != nil && !errors.Is(err, unix.ESRCH) { // the process may have ended
		d.log.Error("setting the file size limit of a planner failed", "pid", d.pid, "error", err)
	}
}
