package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

const testController = "a"

// newStoreFile returns the path of a new store of testController.
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
	t.Run("the reserved epoch outlives its process and never falls", testReservationPersists)
	t.Run("a missing store, another controller's and an existing one have errors of their own", testErrors)
	t.Run("a damaged file never opens with an older epoch", testDamage)
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
		t.Errorf("opened twice: %v, want %v", err, ErrLocked)
	}
	closeStore(t, store)
}

func testErrors(t *testing.T) {
	path := newStoreFile(t)
	if _, err := Open(path+"x", testController); !errors.Is(err, ErrNotFound) {
		t.Errorf("a missing store: %v, want %v", err, ErrNotFound)
	}
	if _, err := Open(path, "b"); !errors.Is(err, ErrWrongController) {
		t.Errorf("another controller's: %v, want %v", err, ErrWrongController)
	}
	if err := Init(path, testController); !errors.Is(err, ErrExists) {
		t.Errorf("an existing one: %v, want %v", err, ErrExists)
	}
}

// damageTrial opens damaged copies of a store, and counts what became of them.
type damageTrial struct {
	reservedEpoch    uint64 // the only one that a copy may open with
	opened, rejected int
}

// open tries one damaged file. It opens with the acknowledged epoch, or it does not open.
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
		t.Errorf("%s at %d: opened with epoch %d", damage, offset, store.ReservedEpoch())
	}
	closeStore(t, store)
}

func testDamage(t *testing.T) {
	const (
		truncateStep  = 127 // bytes between the places that are tried
		metaPageStep  = 16  // densely over the two meta pages, each of which alone says which state is the last
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
		t.Errorf("%d opened, %d rejected", trial.opened, trial.rejected)
	}
	t.Logf("%d opened with the right epoch, %d rejected", trial.opened, trial.rejected)
}

// overwrite returns a copy with some bits flipped in each byte from offset on.
func overwrite(content []byte, offset, size int) []byte {
	const flippedBits = 0x5a
	damaged := append([]byte(nil), content...)
	for at := offset; at < min(offset+size, len(damaged)); at++ {
		damaged[at] ^= flippedBits
	}
	return damaged
}

// withFailingWrites runs operation while the kernel refuses each write to a file of this process.
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

// TestFullDisk has the kernel refuse writes, as on a full disk: nothing is reserved, what was reserved stays, and the store
// works again once there is room.
func TestFullDisk(t *testing.T) {
	path := newStoreFile(t)
	store := openStore(t, path)
	reserve(t, store, 1000)
	err := withFailingWrites(t, func() error { return store.ReserveEpochs(2000) })
	if err == nil {
		t.Fatal("epochs were reserved on a full disk")
	}
	expectReserved(t, store, 1000)
	reserve(t, store, 3000)
	closeStore(t, store)
	store = openStore(t, path)
	expectReserved(t, store, 3000)
	closeStore(t, store)
}
