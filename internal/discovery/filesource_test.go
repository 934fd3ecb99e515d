package discovery

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

// replaceFile writes a file as the doc of FileSource asks for.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// TestFileSource states that a truncated file is one failed update that names the place, and that the complete file is
// delivered again afterwards, though it is the same as before.
func TestFileSource(t *testing.T) {
	const complete = `servers { server: "127.0.0.1:1" zone: "a" }`
	const truncated = `servers { server: "127.0.0.1:1" zone: "a`
	path := filepath.Join(t.TempDir(), "list.txtpb")
	replaceFile(t, path, complete)
	updates := make(chan Update, 10)
	source := &FileSource{Path: path, PollIntervalMs: 5, Clock: clock.NewReal()}
	ended := make(chan error, 1)
	go func() { ended <- source.Run(t.Context(), func(update Update) { updates <- update }) }()
	t.Cleanup(func() { // the context has ended by now
		if err := <-ended; err != nil {
			t.Errorf("the source ended by %v", err)
		}
	})
	if update := <-updates; update.Kind != policy.FullUpdate || len(update.Endpoints) != 1 {
		t.Errorf("the complete file: %v", update)
	}
	replaceFile(t, path, truncated)
	if update := <-updates; update.Kind != policy.FailedUpdate || !strings.Contains(update.Fault, "list.txtpb:1:") {
		t.Errorf("the truncated file: %v", update)
	}
	replaceFile(t, path, complete)
	if update := <-updates; update.Kind != policy.FullUpdate || update.Version != 2 {
		t.Errorf("the complete file again: %v", update)
	}
}
