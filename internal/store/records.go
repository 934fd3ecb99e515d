package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"go.etcd.io/bbolt"
)

// The file's bucket and its keys. They must not change, as the stores of deployed controllers contain them.
var (
	bucketName       = []byte("controller")
	nameKey          = []byte("name")
	reservedEpochKey = []byte("mark")
)

const (
	epochSize    = 8 // size of an encoded epoch, in bytes
	checksumSize = 4 // size of a CRC-32, in bytes
)

// writeNewRecords writes the records of a new controller.
func writeNewRecords(tx *bbolt.Tx, controller string) error {
	bucket, err := tx.CreateBucket(bucketName)
	if err != nil {
		return err
	}
	if err := bucket.Put(nameKey, appendChecksum([]byte(controller))); err != nil {
		return err
	}
	return putReservedEpoch(bucket, 0)
}

func putReservedEpoch(bucket *bbolt.Bucket, epoch uint64) error {
	value := binary.BigEndian.AppendUint64(nil, epoch)
	return bucket.Put(reservedEpochKey, appendChecksum(value))
}

// readRecords checks that all records are intact and belong to the controller, and returns the reserved epoch.
func readRecords(tx *bbolt.Tx, controller string) (reservedEpoch uint64, err error) {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return 0, fmt.Errorf("%w (its bucket of records is missing)", ErrCorrupt)
	}
	name, nameIntact := verifyChecksum(bucket.Get(nameKey))
	epoch, epochIntact := verifyChecksum(bucket.Get(reservedEpochKey))
	if !nameIntact || !epochIntact || len(epoch) != epochSize {
		return 0, fmt.Errorf("%w (a record does not match its checksum)", ErrCorrupt)
	}
	if string(name) != controller {
		return 0, fmt.Errorf("%w: %q, not %q", ErrWrongController, name, controller)
	}
	return binary.BigEndian.Uint64(epoch), nil
}

// appendChecksum returns a copy of a value, followed by its checksum.
func appendChecksum(value []byte) []byte {
	record := make([]byte, 0, len(value)+checksumSize)
	record = append(record, value...)
	return binary.BigEndian.AppendUint32(record, crc32.ChecksumIEEE(value))
}

// verifyChecksum splits a record into its value and checksum. It returns the value, which shares the record's memory, and
// whether the checksum matches.
func verifyChecksum(record []byte) (value []byte, intact bool) {
	if len(record) < checksumSize {
		return nil, false
	}
	size := len(record) - checksumSize
	value = record[:size]
	return value, crc32.ChecksumIEEE(value) == binary.BigEndian.Uint32(record[size:])
}
