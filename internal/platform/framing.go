package platform

import (
	"bytes"
	"errors"
	"slices"
	"strings"
)

// Sizes of incoming messages. The protocol ends a message with CR LF, which is not counted.
const (
	lineEnd              = "\r\n"
	maxMessageBytes      = 1 << 20 // limit of the bytes of a message, set by the protocol
	maxFirstMessageBytes = 512     // limit of the bytes of a message before joining; an unknown peer gets little memory
	maxKindBytes         = 16      // first bytes of a message that are compared with the kinds; more than the longest kind has
)

// Errors of received bytes that cannot be split into messages. Each closes the connection.
var (
	ErrMessageTooLong = errors.New("message longer than allowed")
	ErrUnreadable     = errors.New("bytes are not a message")
)

// messageReader splits the bytes of one connection into messages, which may arrive in any number of pieces. The zero value
// is ready to use. It only keeps the incomplete message at the end of the bytes. It is guarded by the core's lock.
type messageReader struct{ partial []byte }

// feed passes each complete message, without its line end, to handle until handle returns false; the rest of the data is
// then discarded. The line is valid until handle returns. limit returns the maximum size of a message in bytes. It is called
// for each message, because handling a message may change the limit. The error is ErrMessageTooLong, or ErrUnreadable for
// control bytes, a line end other than CR LF, or a first word that is not a kind of message.
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
		checked := max(len(r.partial)-1, 0) // the last byte is checked again: a CR is only valid at the end of a message
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

// appendChunk returns the part of a message that has been received so far, up to the end of the chunk. A chunk that is a
// complete message is not copied.
func (r *messageReader) appendChunk(chunk []byte, incomplete bool) []byte {
	if len(r.partial) == 0 && !incomplete {
		return chunk
	}
	r.partial = append(r.partial, chunk...)
	return r.partial
}

// reset prepares the reader for the next message. It releases a large buffer, so that a connection stays small after a long
// message. The bytes that appendChunk returned last stay valid until the next feed.
func (r *messageReader) reset() {
	r.partial = r.partial[:0]
	if cap(r.partial) > maxFirstMessageBytes {
		r.partial = nil
	}
}

// beginsWithKind reports whether the first word of a message is a known kind, or may become one if it is incomplete.
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

// isPrintable reports whether a text has no control bytes, except a CR at the end of an incomplete message.
func isPrintable(text []byte, complete bool) bool {
	position := bytes.IndexFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
	return position < 0 || !complete && position == len(text)-1 && text[position] == '\r'
}
