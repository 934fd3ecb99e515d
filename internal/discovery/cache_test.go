package discovery

import (
	"os"
	"path/filepath"
	"testing"

	pb "lichenpick/proto/settings"
)

// TestSaveFailure states that a list that cannot take its place leaves what was there, and no other file.
func TestSaveFailure(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "list")
	occupied := filepath.Join(path, "file") // a directory that is not empty cannot be replaced
	if err := os.MkdirAll(occupied, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, &pb.List{}); err == nil {
		t.Error("a list replaced a directory")
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 || !entries[0].IsDir() {
		t.Errorf("left %v", entries)
	}
}

// TestRestoreWithoutFile states that a first start, without a cached list, is no error.
func TestRestoreWithoutFile(t *testing.T) {
	_, found, err := Restore(filepath.Join(t.TempDir(), "list"), 0)
	if found || err != nil {
		t.Errorf("found %t, error %v", found, err)
	}
}
