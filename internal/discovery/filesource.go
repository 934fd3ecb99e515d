package discovery

import (
	"context"
	"crypto/sha256"
	"os"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// FileSource polls a file that contains a list, and delivers the full list whenever the content has changed. If the file
// cannot be read or parsed, it delivers a failed update, and the previous list remains valid. Writers should write a
// temporary file and rename it. All fields must be set.
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

// filePoller is the state of a running FileSource.
type filePoller struct {
	path         string
	deliver      func(Update)
	faults       faultReporter
	lastChecksum [sha256.Size]byte
	version      uint64 // version of the last list delivered
}

func (p *filePoller) poll() {
	content, err := os.ReadFile(p.path)
	if err != nil {
		p.faults.reportFailure(err)
		return
	}
	checksum := sha256.Sum256(content)
	// After a fault the list is delivered even if its content has not changed, to show that the source works again.
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
