package golden

import (
	"bytes"
	"testing"
)

func testDigest(second string) []byte {
	digest := NewDigest("test", 1000)
	digest.Add(100, "first %d", 1)
	digest.Add(1500, "%s", second)
	return digest.Finish(2500)
}

func TestDigest(t *testing.T) {
	base := bytes.Split(testDigest("second"), []byte("\n"))
	changed := bytes.Split(testDigest("secund"), []byte("\n"))
	if len(base) != 4 || !bytes.HasPrefix(base[0], []byte("test until=1s events=1 sha256=")) {
		t.Fatalf("%q", base)
	}
	if !bytes.Equal(base[0], changed[0]) {
		t.Error("the interval before the changed event has another hash")
	}
	if bytes.Equal(base[1], changed[1]) || bytes.Equal(base[2], changed[2]) {
		t.Error("the interval of the changed event, or the one after it, has the same hash")
	}
	if !bytes.Equal(testDigest("second"), testDigest("second")) {
		t.Error("equal events give different lines")
	}
}
