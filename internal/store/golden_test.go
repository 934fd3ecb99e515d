package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"lichenpick/internal/golden"
	"lichenpick/internal/store"
)

const (
	// recordedStore was written on 2026-12-02 by Init for planner-1, then by ReserveEpochs with 1001 and with
	// recordedEpoch. It represents the stores of deployed planners, so it must not be regenerated.
	recordedStore = "testdata/planner-1.store"
	recordedName  = "planner-1"
	recordedEpoch = 123456789012
	ownerOnly     = 0o600
	lockTimeout   = time.Second
)

// copyStore returns the path of a copy of the recorded store. Tests use a copy, as opening a store may write to it.
func copyStore(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(recordedStore)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "store")
	if err := os.WriteFile(path, content, ownerOnly); err != nil {
		t.Fatal(err)
	}
	return path
}

// records returns all buckets, keys and values of a store file as text.
func records(t *testing.T, path string) []byte {
	t.Helper()
	database, err := bbolt.Open(path, ownerOnly, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := database.Close(); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	err = database.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucketName []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&text, "bucket %q, sequence %d\n", bucketName, bucket.Sequence())
			return bucket.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&text, "%q: %x\n", key, value)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return []byte(text.String())
}

// TestRecordedStore opens a store that an earlier release wrote. Its reserved epoch must be read as it was written, and the
// next reservation must be stored: if an epoch were used twice, two planners could command one proxy.
func TestRecordedStore(t *testing.T) {
	path := copyStore(t)
	if _, err := store.Open(path, "planner-2"); !errors.Is(err, store.ErrWrongController) {
		t.Errorf("opened as another planner: %v, want %v", err, store.ErrWrongController)
	}
	opened, err := store.Open(path, recordedName)
	if err != nil {
		t.Fatal(err)
	}
	if opened.ReservedEpoch() != recordedEpoch {
		t.Errorf("reserved epoch %d, want %d", opened.ReservedEpoch(), recordedEpoch)
	}
	const nextEpoch = recordedEpoch + 1000
	if err := opened.ReserveEpochs(nextEpoch); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err = store.Open(path, recordedName)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := opened.Close(); err != nil {
			t.Error(err)
		}
	})
	if opened.ReservedEpoch() != nextEpoch {
		t.Errorf("reserved epoch %d after the next reservation, want %d", opened.ReservedEpoch(), nextEpoch)
	}
}

// TestGoldenRecords compares all records of the recorded store, and those of a store newly written by the same calls,
// with the golden file.
func TestGoldenRecords(t *testing.T) {
	const recordsFile = "testdata/records.golden.txt"
	golden.Check(t, recordsFile, records(t, copyStore(t)))
	path := filepath.Join(t.TempDir(), "store")
	if err := store.Init(path, recordedName); err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(path, recordedName)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.ReserveEpochs(recordedEpoch); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, recordsFile, records(t, path))
}
