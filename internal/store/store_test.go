package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

func TestStore(t *testing.T) {
	fresh := func(t *testing.T) string {
		path := filepath.Join(t.TempDir(), "s")
		if err := Init(path, "a"); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Run("a mark outlives its process, and never falls", func(t *testing.T) {
		path := fresh(t)
		for _, mark := range []uint64{1000, 2000} {
			s, err := Open(path, "a")
			if err != nil {
				t.Fatal(err)
			}
			if err := s.ReserveEpochs(mark); err != nil {
				t.Fatal(err)
			}
			if err := s.ReserveEpochs(mark - 500); err != nil || s.ReservedEpoch() != mark {
				t.Errorf("%v, mark %d", err, s.ReservedEpoch())
			}
			s.Close()
		}
		s, err := Open(path, "a")
		if err != nil || s.ReservedEpoch() != 2000 {
			t.Fatalf("%v", err)
		}
		if _, err := Open(path, "a"); !errors.Is(err, ErrLocked) {
			t.Errorf("a second process: %v", err)
		}
		s.Close()
	})
	t.Run("none, another's, and one made twice", func(t *testing.T) {
		path := fresh(t)
		if _, err := Open(path+"x", "a"); !errors.Is(err, ErrNotFound) {
			t.Error(err)
		}
		if _, err := Open(path, "b"); !errors.Is(err, ErrWrongController) {
			t.Error(err)
		}
		if err := Init(path, "a"); !errors.Is(err, ErrExists) {
			t.Error(err)
		}
	})
	// A file cut or overwritten anywhere either opens with the mark that was acknowledged or does not open: never with
	// an older one.
	t.Run("damage never gives an older mark", func(t *testing.T) {
		path := fresh(t)
		s, err := Open(path, "a")
		if err != nil {
			t.Fatal(err)
		}
		for mark := uint64(1); mark <= 5; mark++ {
			if err := s.ReserveEpochs(mark * 1000); err != nil {
				t.Fatal(err)
			}
		}
		s.Close()
		sound, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		opened, refused := 0, 0
		try := func(what string, at int, b []byte) {
			p := filepath.Join(t.TempDir(), "d")
			if err := os.WriteFile(p, b, 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Open(p, "a")
			os.Remove(p)
			if err != nil {
				refused++
				return
			}
			opened++
			if s.ReservedEpoch() != 5000 {
				t.Errorf("%s at %d: opened with mark %d", what, at, s.ReservedEpoch())
			}
			s.Close()
		}
		for at := 0; at < len(sound); at += 127 {
			try("cut", at, sound[:at])
		}
		step := 16 // densely over the library's two first pages, each of which alone says which state is the last
		for at := 0; at < len(sound); at += step {
			if at > 2*os.Getpagesize() {
				step = 251
			}
			b := append([]byte(nil), sound...)
			for k := at; k < min(at+64, len(b)); k++ {
				b[k] ^= 0x5a
			}
			try("overwritten", at, b)
		}
		if refused == 0 || opened == 0 {
			t.Errorf("%d opened, %d refused", opened, refused)
		}
		t.Logf("%d opened with the right mark, %d refused", opened, refused)
	})
}

// The kernel refuses writes, as on a full disk: nothing is reserved, what was stays, and it goes on once there is room.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	if err := Init(path, "a"); err != nil {
		t.Fatal(err)
	}
	s, err := Open(path, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.ReserveEpochs(1000); err != nil {
		t.Fatal(err)
	}
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	err = s.ReserveEpochs(2000)
	if err2 := unix.Setrlimit(unix.RLIMIT_FSIZE, &old); err2 != nil {
		t.Fatal(err2)
	}
	if err == nil || s.ReservedEpoch() != 1000 {
		t.Fatalf("reserved up to %d on a full disk: %v", s.ReservedEpoch(), err)
	}
	if err := s.ReserveEpochs(3000); err != nil {
		t.Fatalf("with room again: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if s, err = Open(path, "a"); err != nil || s.ReservedEpoch() != 3000 {
		t.Fatalf("opened again: %v", err)
	}
	s.Close()
}
