// Package store keeps what a controller must not forget over a crash: who it is, and up to which epoch it may have claimed.
// It stands on bbolt, whose writes are synced before they return. On any doubt it opens nothing: a controller without its
// store must not command, as it might use an epoch twice.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// What can be wrong with a store.
var (
	ErrNotFound        = errors.New("there is no store; 'lichenpick store init' makes one for a new controller")
	ErrExists          = errors.New("there is a store already")
	ErrCorrupt         = errors.New("the store is damaged; if this controller's other state is gone too, give it a new name and a new store")
	ErrWrongController = errors.New("the store belongs to another controller")
	ErrLocked          = errors.New("the store is in use by another process")
)

const lockWithin = 500 * time.Millisecond

var (
	bucket  = []byte("controller")
	nameKey = []byte("name")
	markKey = []byte("mark")
)

// Store is an open one.
type Store struct {
	db   *bbolt.DB
	name string
	mark uint64
}

// Init makes a store for a new controller.
func Init(path, name string) error {
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		if err == nil {
			err = ErrExists
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer db.Close()
	return db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(bucket)
		if err != nil {
			return err
		}
		if err := b.Put(nameKey, sealed([]byte(name))); err != nil {
			return err
		}
		return b.Put(markKey, sealed(number(0)))
	})
}

// Open opens the store of a controller.
func Open(path, name string) (s *Store, err error) {
	signal.Ignore(syscall.SIGXFSZ) // a limit on file sizes is to show as a failed write, not to end the process
	if _, err := os.Stat(path); err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			err = ErrNotFound
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = guarded(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin})
		if errors.Is(err, bbolterrors.ErrTimeout) {
			return ErrLocked
		}
		if err != nil {
			return fmt.Errorf("%w (%v)", ErrCorrupt, err)
		}
		s = &Store{db: db, name: name}
		if err = s.read(); err != nil {
			db.Close()
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// read checks all that is kept.
func (s *Store) read() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return fmt.Errorf("%w (it is empty)", ErrCorrupt)
		}
		name, ok := unsealed(b.Get(nameKey))
		mark, ok2 := unsealed(b.Get(markKey))
		if !ok || !ok2 || len(mark) != 8 {
			return fmt.Errorf("%w (a record does not match its checksum)", ErrCorrupt)
		}
		if string(name) != s.name {
			return fmt.Errorf("%w: %q, not %q", ErrWrongController, name, s.name)
		}
		s.mark = binary.BigEndian.Uint64(mark)
		return nil
	})
}

// ReservedEpoch is the highest epoch that may have been used.
func (s *Store) ReservedEpoch() uint64 { return s.mark }

// ReserveEpochs writes down that epochs up to a mark may be used. When it returns without an error that is on the disk, twice:
// the library falls back to the state before the last where the page that names the last is damaged, and that one must
// hold the mark as well.
func (s *Store) ReserveEpochs(upTo uint64) error {
	if upTo <= s.mark {
		return nil
	}
	err := guarded(func() error {
		for range 2 {
			if err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(markKey, sealed(number(upTo))) }); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		s.mark = upTo
	}
	return err
}

// Close lets another process have it.
func (s *Store) Close() error { return s.db.Close() }

// guarded turns a fault that the library or the memory map meets in a damaged file into an error.
func guarded(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w (%v)", ErrCorrupt, r)
		}
	}()
	return do()
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// sealed appends a checksum of its own, as the library's covers its first pages only.
func sealed(v []byte) []byte {
	return binary.BigEndian.AppendUint32(append([]byte(nil), v...), crc32.ChecksumIEEE(v))
}

func unsealed(v []byte) ([]byte, bool) {
	if len(v) < 4 {
		return nil, false
	}
	body := v[:len(v)-4]
	return body, crc32.ChecksumIEEE(body) == binary.BigEndian.Uint32(v[len(v)-4:])
}
