package discovery

import (
	"context"
	"crypto/sha256"
	"os"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// FileSource polls a file with a list, and delivers it in full when its content changed. A file that cannot be read or parsed
// is a failed update: the list before stands. Whoever writes the file should write another one and rename it. All fields
// must be set.
type FileSource struct {
	Path           string
	PollIntervalMs float64
	Clock          clock.Clock
}

// Run implements Source. It returns nil when the context ends.
func (f *FileSource) Run(ctx context.Context, deliver func(Update)) error {
	poller := filePoller{
		path:    f.Path,
		deliver: deliver,
		faults:  faultReporter{deliver: deliver},
	}
	for {
		poller.poll()
		if clock.Sleep(ctx, f.Clock, f.PollIntervalMs) != nil {
			return nil
		}
	}
}

// filePoller is what a FileSource knows of the last poll.
type filePoller struct {
	path         string
	deliver      func(Update)
	faults       faultReporter
	lastChecksum [sha256.Size]byte
	version      uint64 // of the last list
}

func (p *filePoller) poll() {
	content, err := os.ReadFile(p.path)
	if err != nil {
		p.faults.reportFailure(err)
		return
	}
	checksum := sha256.Sum256(content)
	// After a fault the list is delivered even if it is the same, to state that it is true again.
	if checksum == p.lastChecksum && p.faults.lastFault == "" {
		return
	}
	p.lastChecksum = checksum
	var list pb.List
	if err := settings.Parse(p.path, content, &list); err != nil {
		p.faults.reportFailure(err)
		return
	}
	p.faults.reportSuccess()
	p.version++
	p.deliver(newFullUpdate(&list, p.version))
}
