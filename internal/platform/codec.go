package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// The platform's words, on the lines at the planner's address. They end at this file and update.go.
const (
	sayJoined    = "joined"
	sayApplied   = "applied"
	sayHeard     = "heard"
	sayUsage     = "usage"
	sayCollector = "collector"
	sayPing      = "ping"
	sayPong      = "pong"
	sayRefused   = "refused"
	sayUpdate    = "update"
)

const (
	maxLineBytes = 1 << 20 // bytes of a message, by the protocol
	firstLine    = 512     // bytes of a first message; whoever has not joined is not trusted with more
	maxWords     = 32      // words of a message; more are not the platform's
)

// kinds are all that may begin a line that comes in. Reports of other kinds of deployment are read and not needed.
var kinds = []string{
	sayJoined, sayApplied, sayHeard, sayUsage, sayCollector, sayPing, sayPong, sayRefused, sayUpdate,
	"left", "heat", "given", "held",
}

var (
	errLong       = errors.New("a message longer than allowed")
	errUnreadable = errors.New("bytes that are no message")
	errPartial    = errors.New("the longest of messages that do not end, which together fill their room")
)

// splitter cuts a connection's bytes into lines, however they come. It holds the part of a line alone.
type splitter struct{ part []byte }

// feed gives each whole line, without its end, to a function until that says stop. The error is of what can't be read:
// control bytes, a first word that is no kind, a line of more bytes than the most that holds when it comes.
func (s *splitter) feed(data []byte, most func() int, line func([]byte) bool) error {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		piece := data
		if end >= 0 {
			piece = data[:end+1]
		}
		data = data[len(piece):]
		if len(s.part)+len(piece) > most()+2 {
			return errLong
		}
		whole, seen := piece, len(s.part)
		if seen > 0 || end < 0 {
			s.part = append(s.part, piece...)
			whole = s.part
		}
		text, ended := bytes.CutSuffix(whole, []byte("\r\n"))
		if ended != (end >= 0) || !begins(text) || !printable(text[min(max(seen-1, 0), len(text)):], ended) {
			return errUnreadable
		}
		if !ended {
			return nil
		}
		if s.part = s.part[:0]; cap(s.part) > firstLine {
			s.part = nil // small connections, however long a message was; the line lives until it has been handled
		}
		if !line(text) {
			return nil
		}
	}
	return nil
}

// begins checks as much as has come of a line's first word.
func begins(text []byte) bool {
	word := text[:min(len(text), 16)]
	if n := bytes.IndexAny(word, " \r"); n >= 0 {
		word = word[:n]
	}
	return slices.ContainsFunc(kinds, func(k string) bool {
		return k == string(word) || len(word) == len(text) && strings.HasPrefix(k, string(word))
	})
}

// printable checks that there are no control bytes, but a CR at the end of what is not a whole line yet.
func printable(text []byte, whole bool) bool {
	n := bytes.IndexFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
	return n < 0 || !whole && n == len(text)-1 && text[n] == '\r'
}

// words is a line taken apart: its kind, and the fields of the form name=value. The first fault is kept, so that a
// message is read whole and then asked once.
type words struct {
	kind string
	name [maxWords][]byte
	text [maxWords][]byte
	n    int
	err  error
}

func take(line []byte) *words {
	w := &words{}
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	for _, k := range kinds {
		if string(kind) == k {
			w.kind = k
		}
	}
	for len(rest) > 0 {
		var field []byte
		field, rest, _ = bytes.Cut(rest, []byte(" "))
		if len(field) == 0 {
			continue
		}
		name, text, ok := bytes.Cut(field, []byte("="))
		switch {
		case !ok || len(name) == 0:
			w.fault("a word that is not name=value")
			return w
		case w.find(string(name)) != nil:
			w.fault("field %s comes twice", name)
			return w
		case w.n == maxWords:
			w.fault("over %d words", maxWords)
			return w
		}
		w.name[w.n], w.text[w.n], w.n = name, text, w.n+1
	}
	return w
}

func (w *words) fault(form string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(form, args...)
	}
}

func (w *words) find(name string) []byte {
	for n := range w.n {
		if string(w.name[n]) == name {
			return w.text[n]
		}
	}
	return nil
}

// word gives a field's text; it must not be empty.
func (w *words) word(name string) string {
	v := w.find(name)
	if len(v) == 0 {
		w.fault("field %s is missing", name)
	}
	return string(v)
}

// number gives a field's figure, from 0 up to a most.
func (w *words) number(name string, most float64) float64 {
	v, err := strconv.ParseFloat(w.word(name), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > most {
		w.fault("field %s holds no figure from 0 to %g", name, most)
	}
	return v
}

// whole gives a field's whole number, from 0 up to a most.
func (w *words) whole(name string, most int) int {
	v, err := strconv.Atoi(w.word(name))
	if err != nil || v < 0 || v > most {
		w.fault("field %s holds no whole number from 0 to %d", name, most)
	}
	return v
}

// pairs checks a list of name:figure. Loads are read and not used: the module goes by latencies and drops.
func (w *words) pairs(name string) {
	v := w.find(name)
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte(","))
		key, text, _ := bytes.Cut(pair, []byte(":"))
		f, err := strconv.ParseFloat(string(text), 64)
		if len(key) == 0 || err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			w.fault("field %s holds no pairs of name and figure", name)
			return
		}
	}
}
