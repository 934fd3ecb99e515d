package platform

import (
	"bytes"
	"errors"
	"slices"
	"strings"
)

// Sizes of messages that come in. The protocol ends a message with CR LF, which is not counted.
const (
	lineEnd              = "\r\n"
	maxMessageBytes      = 1 << 20 // bytes of a message, by the protocol
	maxFirstMessageBytes = 512     // bytes of a first message: a peer that has not joined is not trusted with more
	maxKindBytes         = 16      // bytes that are compared with the kinds of messages; more than any kind has
)

// Errors of bytes that cannot be read as messages. Each ends the connection that they came on.
var (
	ErrMessageTooLong = errors.New("message longer than allowed")
	ErrUnreadable     = errors.New("bytes that are no message")
)

// messageReader cuts the bytes of one connection into messages, however they arrive. The zero value is ready for use. It
// holds the incomplete message at the end alone; its owner holds the lock of the core.
type messageReader struct{ partial []byte }

// feed hands each complete message, without its end, to handle until that returns false; the rest of the data is then
// discarded. The line is valid until handle returns. The limit, in bytes, is asked for at each message, as handling one
// may change it. The error is ErrMessageTooLong or ErrUnreadable: control bytes, a line end that is no CR LF, or a first
// word that is no kind of message.
func (r *messageReader) feed(data []byte, limit func() int, handle func(line []byte) bool) error {
	for len(data) > 0 {
		chunk := data
		lineFeed := bytes.IndexByte(data, '\n')
		if lineFeed >= 0 {
			chunk = data[:lineFeed+1]
		}
		data = data[len(chunk):]
		if len(r.partial)+len(chunk) > limit()+len(lineEnd) {
			return ErrMessageTooLong
		}
		checked := max(len(r.partial)-1, 0) // the last byte may be a CR that now proves to be inside a message
		line, complete := bytes.CutSuffix(r.appendChunk(chunk, lineFeed < 0), []byte(lineEnd))
		if complete != (lineFeed >= 0) || !beginsWithKind(line) {
			return ErrUnreadable
		}
		if !isPrintable(line[min(checked, len(line)):], complete) {
			return ErrUnreadable
		}
		if !complete {
			return nil
		}
		r.reset()
		if !handle(line) {
			return nil
		}
	}
	return nil
}

// appendChunk returns the message so far. A chunk that is a complete message is not copied.
func (r *messageReader) appendChunk(chunk []byte, unended bool) []byte {
	if len(r.partial) == 0 && !unended {
		return chunk
	}
	r.partial = append(r.partial, chunk...)
	return r.partial
}

// reset starts the next message. A large buffer is given up, so that a connection stays small after a long message; the
// bytes handed out last stay valid until the next feed.
func (r *messageReader) reset() {
	r.partial = r.partial[:0]
	if cap(r.partial) > maxFirstMessageBytes {
		r.partial = nil
	}
}

// beginsWithKind checks as much as has come of a message's first word.
func beginsWithKind(line []byte) bool {
	word := line[:min(len(line), maxKindBytes)]
	if end := bytes.IndexAny(word, " \r"); end >= 0 {
		word = word[:end]
	}
	incomplete := len(word) == len(line)
	return slices.ContainsFunc(messageKinds, func(known kindName) bool {
		return known.name == string(word) || incomplete && strings.HasPrefix(known.name, string(word))
	})
}

// isPrintable checks that there are no control bytes, except a CR at the end of an incomplete message.
func isPrintable(text []byte, complete bool) bool {
	position := bytes.IndexFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
	return position < 0 || !complete && position == len(text)-1 && text[position] == '\r'
}
