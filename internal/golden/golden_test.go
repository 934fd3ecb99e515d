package golden

import (
	"os"
	"path/filepath"
	"testing"
)

func TestFirstDifference(t *testing.T) {
	cases := []struct{ name, want, got, difference string }{
		{"equal", "a\nb\n", "a\nb\n", ""},
		{"both empty", "", "", ""},
		{"one byte", "a\nb\n", "a\nc\n", "line 2 differs\nwant \"b\"\n got \"c\""},
		{"shorter", "a\nb", "a", "line 2 differs\nwant \"b\"\n got (no such line)"},
		{"longer", "a", "a\nb", "line 2 differs\nwant (no such line)\n got \"b\""},
		{"last line end", "a\n", "a", "line 2 differs\nwant \"\"\n got (no such line)"},
		{"carriage return", "a\r\n", "a\n", "line 1 differs\nwant \"a\\r\"\n got \"a\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if difference := firstDifference([]byte(c.want), []byte(c.got)); difference != c.difference {
				t.Errorf("got %q, want %q", difference, c.difference)
			}
		})
	}
}

// TestUpdateWritesTheFile checks that a golden file written by Check with -update passes Check without -update.
func TestUpdateWritesTheFile(t *testing.T) {
	before := *update
	defer func() { *update = before }()
	path := filepath.Join(t.TempDir(), "testdata", "recorded.txt")
	*update = true
	Check(t, path, []byte("a\nb\n"))
	*update = false
	Check(t, path, []byte("a\nb\n"))
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != "a\nb\n" {
		t.Errorf("the written file has %q", content)
	}
}
