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
	pid  int // ID of the planner's current or last process; 0: no process yet
}

// attach sets the process to which the fault applies. If the disk is full, it applies the fault at once.
func (d *diskFault) attach(pid int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pid = pid
	if d.full {
		d.apply()
	}
}

// setFull sets whether the disk is full. While the disk is full, all writes to files fail, also those of processes started
// later.
func (d *diskFault) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
	if d.pid != 0 {
		d.apply()
	}
}

// apply limits the size of files that the process may write: to 0 while the disk is full; otherwise it removes the limit. The
// caller must hold mu.
func (d *diskFault) apply() {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if d.full {
		limit.Cur = 0
	}
	err := unix.Prlimit(d.pid, unix.RLIMIT_FSIZE, &limit, nil)
	if err != nil && !errors.Is(err, unix.ESRCH) { // ESRCH: the process has ended
		d.log.Error("setting the file size limit of a planner failed", "pid", d.pid, "error", err)
	}
}
