package platform

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func joinedLimit() int { return maxMessageBytes }

func TestMessageReader(t *testing.T) {
	text := "joined id=3 site=a rps=10 new=1\r\nping\r\nusage id=3 lane=lookup count=1 fail=0 over=1000.0\r\n"
	want := strings.Split(strings.TrimSuffix(text, lineEnd), lineEnd)
	for cut := range len(text) {
		got, err := readMessages(text[:cut], text[cut:])
		if err != nil {
			t.Fatalf("split at byte %d: %v", cut, err)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("split at byte %d: messages %q", cut, got)
		}
	}
	t.Run("a message of maximum length is accepted, one byte more is not", func(t *testing.T) {
		for _, extra := range []int{0, 1} {
			var reader messageReader
			line := "heard x=" + strings.Repeat("1", maxMessageBytes-len("heard x=")+extra) + lineEnd
			accept := func([]byte) bool { return true }
			err := reader.feed([]byte(line[:len(line)/2]), joinedLimit, accept)
			if err == nil {
				err = reader.feed([]byte(line[len(line)/2:]), joinedLimit, accept)
			}
			if errors.Is(err, ErrMessageTooLong) != (extra == 1) || len(reader.partial) > maxMessageBytes {
				t.Errorf("%d bytes over the limit: %v", extra, err)
			}
		}
	})
}

// readMessages feeds pieces to a reader, and returns the messages that it passes on.
func readMessages(pieces ...string) ([]string, error) {
	var reader messageReader
	var messages []string
	for _, piece := range pieces {
		err := reader.feed([]byte(piece), joinedLimit, func(line []byte) bool {
			messages = append(messages, string(line))
			return true
		})
		if err != nil {
			return messages, err
		}
	}
	return messages, nil
}
