package store

import (
	"fmt"
	"runtime/debug"
)

// recoverFaults runs operation, and turns a panic or a memory fault in it into ErrCorrupt. bbolt panics on inconsistent
// pages, and follows offsets in damaged pages beyond the end of its memory-mapped file. Without the recovery a damaged
// file would end the process with a stack trace instead of an error message.
func recoverFaults(operation func() error) (err error) {
	before := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(before)
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w (%v)", ErrCorrupt, fault)
		}
	}()
	return operation()
}
