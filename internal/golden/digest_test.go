package golden

import (
	"bytes"
	"testing"
)

func digestOf(second string) []byte {
	digest := NewDigest("story", 1000)
	digest.Add(100, "first %d", 1)
	digest.Add(1500, "%s", second)
	return digest.Finish(2500)
}

func TestDigest(t *testing.T) {
	one := bytes.Split(digestOf("second"), []byte("\n"))
	other := bytes.Split(digestOf("secund"), []byte("\n"))
	if len(one) != 4 || !bytes.HasPrefix(one[0], []byte("story until=1s events=1 sha256=")) {
		t.Fatalf("%q", one)
	}
	if !bytes.Equal(one[0], other[0]) {
		t.Error("the interval before the difference has another hash")
	}
	if bytes.Equal(one[1], other[1]) || bytes.Equal(one[2], other[2]) {
		t.Error("the interval of the difference, or one after it, has the same hash")
	}
	if !bytes.Equal(digestOf("second"), digestOf("second")) {
		t.Error("equal events give other lines")
	}
}
