package discovery

import (
	"os"
	"path/filepath"
	"testing"

	pb "lichenpick/proto/settings"
)

// TestSaveFailure checks that a failed Save does not replace the directory at its path and leaves no temporary file behind.
func TestSaveFailure(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "list")
	occupied := filepath.Join(path, "file") // a directory that is not empty cannot be replaced by a file
	if err := os.MkdirAll(occupied, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, &pb.List{}); err == nil {
		t.Error("Save replaced a directory that is not empty")
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 || !entries[0].IsDir() {
		t.Errorf("directory contains %v after a failed Save, want only the directory that was there", entries)
	}
}

// TestRestoreWithoutFile checks that a missing file, as at a planner's first start, is not an error.
func TestRestoreWithoutFile(t *testing.T) {
	_, found, err := Restore(filepath.Join(t.TempDir(), "list"), 0)
	if found || err != nil {
		t.Errorf("found %t, error %v, want false and no error", found, err)
	}
}
