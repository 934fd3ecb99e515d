// Package store keeps on disk what a controller must know after a crash: its name, and the highest epoch under which it
// may have requested leases. If an epoch were used twice, two controllers could command one proxy. Therefore a store
// whose content is not certain cannot be opened, and a controller must not command proxies without its store.
//
// # File
//
// The file is a bbolt database with one bucket, "controller", that holds two records:
//
//	name   the controller's name, UTF-8
//	mark   the highest epoch that may have been used, 8 bytes, big endian
//
// Each value is followed by its CRC-32 (IEEE), 4 bytes, big endian, because bbolt's own checksums only cover its two meta
// pages.
//
// bbolt syncs the file before a write returns. If the meta page of the last write is damaged, bbolt falls back to the state
// before that write. Therefore each reservation is written by two transactions, so that both states contain it.
//
// The file is locked while it is open. Init creates the file once, for a new controller: a copy of another store, an older
// version of the same store, or a new file for a name that has been in use would allow epochs to be used again.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Errors that Init and Open wrap; callers test for them with errors.Is.
var (
	// ErrNotFound means that the file does not exist.
	ErrNotFound = errors.New("there is no store; create one for a new controller with 'lichenpick store init'")
	// ErrExists means that Init would overwrite a file.
	ErrExists = errors.New("a store already exists")
	// ErrCorrupt means that the file is not a store, or that a part of it is damaged.
	ErrCorrupt = errors.New("the store is damaged; give this controller a new name and create a new store; never copy another or an older one")
	// ErrWrongController means that the controller name in the store differs from the one passed to Open.
	ErrWrongController = errors.New("the store belongs to another controller")
	// ErrLocked means that the store is already open, in another process or in this one.
	ErrLocked = errors.New("the store is in use by another process")
)

const (
	lockTimeout             = 500 * time.Millisecond
	ownerOnly   fs.FileMode = 0o600
)

// Store is the open store of one controller. It is not safe for concurrent use.
type Store struct {
	database      *bbolt.DB
	reservedEpoch uint64
}

// Init creates the store of a new controller, without reserved epochs. It returns ErrExists if the file exists.
func Init(path, controller string) error {
	_, err := os.Stat(path)
	if err == nil {
		return fmt.Errorf("%s: %w", path, ErrExists)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", path, err)
	}
	database, err := openDatabase(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	writeErr := database.Update(func(tx *bbolt.Tx) error { return writeNewRecords(tx, controller) })
	closeErr := database.Close()
	if err := errors.Join(writeErr, closeErr); err != nil {
		return fmt.Errorf("%s: write the new store: %w", path, err)
	}
	return nil
}

// Open opens the store of a controller and locks it until Close. If it cannot, it returns ErrNotFound, ErrLocked,
// ErrCorrupt or ErrWrongController. After Open the process ignores SIGXFSZ, so that a write beyond a limit on file sizes
// fails instead of ending the process.
func Open(path, controller string) (*Store, error) {
	signal.Ignore(syscall.SIGXFSZ)
	_, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		err = ErrNotFound // bbolt would create an empty file
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var store *Store
	err = recoverFaults(func() error {
		opened, err := open(path, controller)
		store = opened
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return store, nil
}

// open opens an existing file and checks its content.
func open(path, controller string) (*Store, error) {
	database, err := openDatabase(path)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, ErrLocked
	}
	if err != nil {
		return nil, fmt.Errorf("%w (%w)", ErrCorrupt, err)
	}
	var reservedEpoch uint64
	err = database.View(func(tx *bbolt.Tx) error {
		epoch, err := readRecords(tx, controller)
		reservedEpoch = epoch
		return err
	})
	if err != nil {
		return nil, errors.Join(err, database.Close())
	}
	return &Store{database: database, reservedEpoch: reservedEpoch}, nil
}

// openDatabase opens a bbolt file, and creates it if it does not exist.
func openDatabase(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, ownerOnly, &bbolt.Options{Timeout: lockTimeout})
}

// ReservedEpoch returns the highest epoch that may have been used.
func (s *Store) ReservedEpoch() uint64 { return s.reservedEpoch }

// ReserveEpochs records that epochs up to upTo may be used. Once it returns nil, the record is on disk and survives
// damage to either meta page of the file. After an error, ReservedEpoch is unchanged and the call may be repeated. The
// call has no effect if upTo is not above ReservedEpoch.
func (s *Store) ReserveEpochs(upTo uint64) error {
	if upTo <= s.reservedEpoch {
		return nil
	}
	err := recoverFaults(func() error { return s.writeReservation(upTo) })
	if err != nil {
		return err
	}
	s.reservedEpoch = upTo
	return nil
}

// writeReservation writes the reserved epoch once for each of the two meta pages, so that both states that bbolt may open
// contain it.
func (s *Store) writeReservation(upTo uint64) error {
	const metaPages = 2
	for range metaPages {
		err := s.database.Update(func(tx *bbolt.Tx) error { return putReservedEpoch(tx.Bucket(bucketName), upTo) })
		if err != nil {
			return err
		}
	}
	return nil
}

// Close closes and unlocks the file. The store must not be used afterwards.
func (s *Store) Close() error { return s.database.Close() }
