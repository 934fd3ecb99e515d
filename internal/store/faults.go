package store

import (
	"fmt"
	"runtime/debug"
)

// recoverFaults runs operation, and turns a panic or a fault of the memory map into ErrCorrupt. bbolt panics on inconsistent
// pages, and follows offsets of damaged ones beyond the end of its map; without this a damaged file would end the process
// with a stack trace in place of a message.
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
