package discovery

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

// replaceFile writes a temporary file and renames it, as the comment of FileSource recommends.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// TestFileSource checks that a truncated file results in one failed update that names the position of the fault, and that
// the complete file is delivered again afterwards, although its content is the same as before.
func TestFileSource(t *testing.T) {
	const complete = `servers { server: "127.0.0.1:1" zone: "a" }`
	const truncated = `servers { server: "127.0.0.1:1" zone: "a`
	path := filepath.Join(t.TempDir(), "list.txtpb")
	replaceFile(t, path, complete)
	updates := make(chan Update, 10)
	source := &FileSource{Path: path, PollIntervalMs: 5, Clock: clock.NewReal()}
	ended := make(chan error, 1)
	go func() { ended <- source.Run(t.Context(), func(update Update) { updates <- update }) }()
	t.Cleanup(func() { // the context of the test has ended by now
		if err := <-ended; err != nil {
			t.Errorf("the source ended with error %v", err)
		}
	})
	if update := <-updates; update.Kind != policy.FullUpdate || len(update.Endpoints) != 1 {
		t.Errorf("complete file: %v, want a full update with one endpoint", update)
	}
	replaceFile(t, path, truncated)
	if update := <-updates; update.Kind != policy.FailedUpdate || !strings.Contains(update.Fault, "list.txtpb:1:") {
		t.Errorf("truncated file: %v, want a failed update that names the position", update)
	}
	replaceFile(t, path, complete)
	if update := <-updates; update.Kind != policy.FullUpdate || update.Version != 2 {
		t.Errorf("complete file again: %v, want a full update with version 2", update)
	}
}
