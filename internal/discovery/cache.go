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

// Save writes a list to a file for Restore. It writes a temporary file and renames it, so that after a crash the file
// contains either the old or the new list in full.
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
		_ = os.Remove(file.Name()) // the returned error already says why the list is not saved
		return fmt.Errorf("save the endpoint list: %w", err)
	}
	return nil
}

// writeAndClose writes the content of a file, syncs it to disk and closes the file. It returns the first error.
func writeAndClose(file *os.File, content string) error {
	_, writeErr := file.WriteString(content)
	syncErr := file.Sync()
	closeErr := file.Close()
	return cmp.Or(writeErr, syncErr, closeErr)
}

// Restore reads the list that Save wrote; found is false if there is no file. wallMs is the current Unix time. The ages of
// servers increase by the time since the list was saved. If the machine's clock was set back meanwhile, the ages stay as
// saved.
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
