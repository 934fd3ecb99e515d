package discovery

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Save writes a list so that a crash leaves the old file or the new one, and none of a half.
func Save(path string, l *pb.List) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(settings.Format(l))
	if e := f.Sync(); err == nil {
		err = e
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// Restore reads what Save wrote; no file is no list. Servers have aged by the time since, as far as this machine's
// date can be trusted: one set back counts as none.
func Restore(path string, wallMs uint64) (u Update, found bool, err error) {
	var l pb.List
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return u, false, nil
	}
	if err := settings.Load(path, &l); err != nil {
		return u, false, err
	}
	u = fromFile(&l, 0)
	u.Kind, u.Restored = policy.FullUpdate, true
	if wallMs > l.KeptUnixMs {
		u.AsOfMs += wallMs - l.KeptUnixMs
	}
	return u, true, nil
}
