package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

const testController = "a"

// newStoreFile creates a store for testController and returns its path.
func newStoreFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "store")
	if err := Init(path, testController); err != nil {
		t.Fatal(err)
	}
	return path
}

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	store, err := Open(path, testController)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Error(err)
	}
}

func reserve(t *testing.T, store *Store, upTo uint64) {
	t.Helper()
	if err := store.ReserveEpochs(upTo); err != nil {
		t.Fatal(err)
	}
}

func expectReserved(t *testing.T, store *Store, want uint64) {
	t.Helper()
	if store.ReservedEpoch() != want {
		t.Errorf("epochs reserved up to %d, want %d", store.ReservedEpoch(), want)
	}
}

func TestStore(t *testing.T) {
	t.Run("the reserved epoch persists across restarts and never decreases", testReservationPersists)
	t.Run("a missing store, one of another controller and an existing one return distinct errors", testErrors)
	t.Run("a damaged file never opens with an older reserved epoch", testDamage)
}

func testReservationPersists(t *testing.T) {
	path := newStoreFile(t)
	for _, epoch := range []uint64{1000, 2000} {
		store := openStore(t, path)
		reserve(t, store, epoch)
		reserve(t, store, epoch-500)
		expectReserved(t, store, epoch)
		closeStore(t, store)
	}
	store := openStore(t, path)
	expectReserved(t, store, 2000)
	if _, err := Open(path, testController); !errors.Is(err, ErrLocked) {
		t.Errorf("the store was opened a second time: %v, want %v", err, ErrLocked)
	}
	closeStore(t, store)
}

func testErrors(t *testing.T) {
	path := newStoreFile(t)
	if _, err := Open(path+"x", testController); !errors.Is(err, ErrNotFound) {
		t.Errorf("opening a missing store: %v, want %v", err, ErrNotFound)
	}
	if _, err := Open(path, "b"); !errors.Is(err, ErrWrongController) {
		t.Errorf("opening the store of another controller: %v, want %v", err, ErrWrongController)
	}
	if err := Init(path, testController); !errors.Is(err, ErrExists) {
		t.Errorf("creating a store that exists: %v, want %v", err, ErrExists)
	}
}

// damageTrial opens damaged copies of a store, and counts how many of them open and how many are rejected.
type damageTrial struct {
	reservedEpoch    uint64 // a copy may only open with this reserved epoch
	opened, rejected int
}

// open checks that a store file with the given damaged content either opens with the last reserved epoch or is rejected.
func (d *damageTrial) open(t *testing.T, damage string, offset int, content []byte) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "damaged")
	if err := os.WriteFile(path, content, ownerOnly); err != nil {
		t.Fatal(err)
	}
	store, err := Open(path, testController)
	if removeErr := os.Remove(path); removeErr != nil {
		t.Fatal(removeErr)
	}
	if err != nil {
		d.rejected++
		return
	}
	d.opened++
	if store.ReservedEpoch() != d.reservedEpoch {
		t.Errorf("%s at byte %d: opened with reserved epoch %d", damage, offset, store.ReservedEpoch())
	}
	closeStore(t, store)
}

func testDamage(t *testing.T) {
	const (
		truncateStep  = 127 // step between the offsets at which the file is truncated, in bytes
		metaPageStep  = 16  // step between overwritten offsets, in bytes; small, as one meta page alone decides the latest state
		dataPageStep  = 251
		overwriteSize = 64
		reservations  = 5
	)
	path := newStoreFile(t)
	store := openStore(t, path)
	trial := damageTrial{}
	for number := uint64(1); number <= reservations; number++ {
		trial.reservedEpoch = number * 1000
		reserve(t, store, trial.reservedEpoch)
	}
	closeStore(t, store)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for offset := 0; offset < len(intact); offset += truncateStep {
		trial.open(t, "truncated", offset, intact[:offset])
	}
	step := metaPageStep
	for offset := 0; offset < len(intact); offset += step {
		if offset > 2*os.Getpagesize() {
			step = dataPageStep
		}
		trial.open(t, "overwritten", offset, overwrite(intact, offset, overwriteSize))
	}
	if trial.rejected == 0 || trial.opened == 0 {
		t.Errorf("%d damaged copies opened and %d were rejected, want some of each", trial.opened, trial.rejected)
	}
	t.Logf("%d damaged copies opened and %d were rejected", trial.opened, trial.rejected)
}

// overwrite returns a copy of content with some bits flipped in each of the size bytes from offset on.
func overwrite(content []byte, offset, size int) []byte {
	const flippedBits = 0x5a
	damaged := append([]byte(nil), content...)
	for at := offset; at < min(offset+size, len(damaged)); at++ {
		damaged[at] ^= flippedBits
	}
	return damaged
}

// withFailingWrites runs operation while the kernel refuses all file writes of this process, by a file size limit of 0.
func withFailingWrites(t *testing.T, operation func() error) error {
	t.Helper()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	operationErr := operation()
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	return operationErr
}

// TestFullDisk makes the kernel refuse writes, as on a full disk. A reservation must then fail without a change to the
// reserved epoch, and the store must work again once writes succeed.
func TestFullDisk(t *testing.T) {
	path := newStoreFile(t)
	store := openStore(t, path)
	reserve(t, store, 1000)
	err := withFailingWrites(t, func() error { return store.ReserveEpochs(2000) })
	if err == nil {
		t.Fatal("epochs were reserved although writes fail")
	}
	expectReserved(t, store, 1000)
	reserve(t, store, 3000)
	closeStore(t, store)
	store = openStore(t, path)
	expectReserved(t, store, 3000)
	closeStore(t, store)
}
