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
	// recordedStore was written on 2026-12-02 by Init for planner-1, and by ReserveEpochs of 1001 and then of recordedMark. It
	// stands for the stores of planners in service: don't write it anew.
	recordedStore = "testdata/planner-1.store"
	recordedName  = "planner-1"
	recordedMark  = 123456789012
	ownerOnly     = 0o600
	lockTimeout   = time.Second
)

// copyStore gives the path of a copy, as opening a store may write to it.
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

// records prints all buckets, keys and values of a store file.
func records(t *testing.T, path string) []byte {
	t.Helper()
	database, err := bbolt.Open(path, ownerOnly, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer database.Close()
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

// TestRecordedStore opens a store that an earlier release wrote: an epoch that is used twice has two planners command one
// proxy, so the mark must be read as it was, and what it reserves next must be kept.
func TestRecordedStore(t *testing.T) {
	path := copyStore(t)
	if _, err := store.Open(path, "planner-2"); !errors.Is(err, store.ErrWrongController) {
		t.Errorf("as another planner: %v, want %v", err, store.ErrWrongController)
	}
	opened, err := store.Open(path, recordedName)
	if err != nil {
		t.Fatal(err)
	}
	if opened.ReservedEpoch() != recordedMark {
		t.Errorf("mark %d, want %d", opened.ReservedEpoch(), recordedMark)
	}
	const nextMark = recordedMark + 1000
	if err := opened.ReserveEpochs(nextMark); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err = store.Open(path, recordedName)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	if opened.ReservedEpoch() != nextMark {
		t.Errorf("mark %d after another was reserved, want %d", opened.ReservedEpoch(), nextMark)
	}
}

// TestGoldenRecords compares all records of the recorded store, and of one that is written now by the same calls.
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
	if err := opened.ReserveEpochs(recordedMark); err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, recordsFile, records(t, path))
}
