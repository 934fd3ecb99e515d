// Package store holds on disk what a controller must not forget over a crash: who it is, and up to which epoch it may have
// requested leases. Two uses of one epoch could have two controllers command one proxy, so a store whose state is not
// certain is not opened: a controller without its store must not command.
//
// # File
//
// The file is a bbolt database with one bucket, "controller", of two records:
//
//	name   the controller's name, UTF-8
//	mark   the highest epoch that may have been used, 8 bytes, big endian
//
// Each value is followed by its CRC-32 (IEEE), 4 bytes, big endian, as bbolt's own checksum covers its two meta pages only.
//
// bbolt syncs the file before a write returns. Where the meta page of the last write is damaged it falls back to the state
// before that write; so each reservation is written by two transactions, and both states hold it.
//
// The file is locked while it is open. It is made once by Init, for a controller that is new: a copy, an older version, or
// a new file under a used name would allow epochs to be used again.
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

// Errors of Init and Open, to be tested by errors.Is.
var (
	// ErrNotFound is that the file is missing.
	ErrNotFound = errors.New("there is no store; 'lichenpick store init' makes one for a new controller")
	// ErrExists is that Init would overwrite a file.
	ErrExists = errors.New("there is a store already")
	// ErrCorrupt is that the file is no store, or that a part of it is damaged.
	ErrCorrupt = errors.New("the store is damaged; if this controller's other state is gone too, give it a new name and a new store")
	// ErrWrongController is that the store holds another name than it was opened with.
	ErrWrongController = errors.New("the store belongs to another controller")
	// ErrLocked is that another process, or this one, has the store open.
	ErrLocked = errors.New("the store is in use by another process")
)

const (
	lockTimeout             = 500 * time.Millisecond
	ownerOnly   fs.FileMode = 0o600
)

// Store is the open store of one controller. Its methods are to be called by one goroutine at a time.
type Store struct {
	database      *bbolt.DB
	reservedEpoch uint64
}

// Init makes the store of a new controller, without reserved epochs. The file must not exist: ErrExists.
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

// Open opens the store of a controller, and locks it until Close. It fails by ErrNotFound, ErrLocked, ErrCorrupt or
// ErrWrongController. From then on the process ignores SIGXFSZ, by which the kernel would end it at a limit on file sizes:
// the write is to fail instead.
func Open(path, controller string) (*Store, error) {
	signal.Ignore(syscall.SIGXFSZ)
	_, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		err = ErrNotFound // bbolt would make an empty file
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

// open opens a file that exists and checks all that it holds.
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

// openDatabase opens a bbolt file, or makes it.
func openDatabase(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, ownerOnly, &bbolt.Options{Timeout: lockTimeout})
}

// ReservedEpoch is the highest epoch that may have been used.
func (s *Store) ReservedEpoch() uint64 { return s.reservedEpoch }

// ReserveEpochs records that epochs up to upTo may be used. Once it returns nil that is on the disk, and outlives damage to
// either meta page of the file. After an error ReservedEpoch is as before, and it may be called again. A bound that is not
// above ReservedEpoch changes nothing.
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

// writeReservation writes a bound to both states that the file may be opened with.
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

// Close unlocks the file. The store is not to be used afterwards.
func (s *Store) Close() error { return s.database.Close() }
