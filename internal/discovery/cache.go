package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Save writes a list to a file for Restore. It writes another file and renames it, so that a crash leaves the old list or the
// new one, never a part.
func Save(path string, list *pb.List) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("save the endpoint list: %w", err)
	}
	err = writeAndClose(file, settings.Format(list))
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name()) // the error before says why the list is not saved
		return fmt.Errorf("save the endpoint list: %w", err)
	}
	return nil
}

// writeAndClose writes a file through to the disk. It returns the first error.
func writeAndClose(file *os.File, content string) error {
	_, writeErr := file.WriteString(content)
	syncErr := file.Sync()
	closeErr := file.Close()
	return cmp.Or(writeErr, syncErr, closeErr)
}

// Restore reads the list that Save wrote; found is false if there is no file. Servers have aged by the time from then to
// wallMs (unix), as far as this machine's date can be trusted: a date that was set back counts as no time.
func Restore(path string, wallMs uint64) (update Update, found bool, err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return Update{}, false, nil
	}
	var list pb.List
	if err := settings.Load(path, &list); err != nil {
		return Update{}, false, fmt.Errorf("restore the endpoint list: %w", err)
	}
	update = newFullUpdate(&list, 0)
	update.Restored = true
	if wallMs > list.KeptUnixMs {
		update.AsOfMs += wallMs - list.KeptUnixMs
	}
	return update, true, nil
}
