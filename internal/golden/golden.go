// Package golden compares the output of a test with a file that an earlier run recorded. Only tests may import it.
//
// To change a golden file, run the test with the flag -update, which this package registers, and commit the file with a
// message that says which behaviour changed and why.
package golden

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

var update = flag.Bool("update", false, "rewrite golden files with the output of this run")

// Check fails the test if got differs from the golden file at path, and reports the first line that differs. The path is
// relative to the directory of the test's package. With the flag -update, Check writes got to the file instead.
func Check(t *testing.T, path string, got []byte) {
	t.Helper()
	if *update {
		writeFile(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("golden file %s is missing; record it with: go test -run '^%s$' -update", path, t.Name())
	}
	if err != nil {
		t.Fatalf("reading a golden file: %v", err)
	}
	if difference := firstDifference(want, got); difference != "" {
		t.Errorf("%s: %s\nif the behaviour is meant to change, record it with: go test -run '^%s$' -update\n"+
			"and commit the file with a message that says which behaviour changed and why", path, difference, t.Name())
	}
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		t.Fatalf("creating the directory of a golden file: %v", err)
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatalf("writing a golden file: %v", err)
	}
}

// firstDifference describes the first line in which two texts differ, with line numbers that start at 1. It returns an empty
// string if the texts are equal.
func firstDifference(want, got []byte) string {
	if bytes.Equal(want, got) {
		return ""
	}
	wantLines := bytes.Split(want, []byte("\n"))
	gotLines := bytes.Split(got, []byte("\n"))
	for index := range max(len(wantLines), len(gotLines)) {
		wantLine := lineAt(wantLines, index)
		gotLine := lineAt(gotLines, index)
		if wantLine != gotLine {
			return fmt.Sprintf("line %d differs\nwant %s\n got %s", index+1, wantLine, gotLine)
		}
	}
	return "" // unreachable: texts whose lines are equal are equal
}

func lineAt(lines [][]byte, index int) string {
	if index >= len(lines) {
		return "(no such line)"
	}
	return fmt.Sprintf("%q", lines[index])
}
