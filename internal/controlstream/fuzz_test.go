package controlstream

import (
	"encoding/binary"
	"errors"
	"testing"

	"lichenpick/proto/order"
)

// FuzzDecoder feeds arbitrary bytes in two pieces. The decoder must not panic, must hold no bytes after an error, and must
// return frames equal to the bytes that it was fed.
func FuzzDecoder(f *testing.F) {
	f.Add(encode(f, testFrame{FrameJoin, &order.Join{Proxy: "x"}}, testFrame{FrameHeartbeat, nil}), 7)
	f.Add([]byte("LP\x01\x01\xff\xff\xff\xff"), 3)
	f.Fuzz(func(t *testing.T, input []byte, cut int) {
		cut = max(0, min(cut, len(input)))
		decoder := NewDecoder(1 << 16)
		var decoded []byte
		for _, piece := range [][]byte{input[:cut], input[cut:]} {
			decoder.Feed(piece)
			decoded = appendDecoded(t, decoded, decoder, input)
		}
		if string(decoded) != string(input[:len(decoded)]) {
			t.Fatal("the decoded frames differ from the bytes fed")
		}
	})
}

// appendDecoded appends the encoding of each frame that a decoder returns. The header fields that a Frame does not contain
// (from the length to the checksum) are copied from the input.
func appendDecoded(t *testing.T, decoded []byte, decoder *Decoder, input []byte) []byte {
	t.Helper()
	for {
		frame, ok, err := decoder.Next()
		if err != nil {
			var closeErr *CloseError
			if !errors.As(err, &closeErr) || decoder.Buffered() != 0 {
				t.Fatalf("error %v with %d bytes buffered, want a CloseError and an empty buffer", err, decoder.Buffered())
			}
		}
		if !ok {
			return decoded
		}
		decoded = append(decoded, magic0, magic1, version, byte(frame.Kind))
		decoded = append(decoded, input[len(decoded):len(decoded)+FrameHeaderBytes-lengthOffset]...)
		decoded = append(decoded, frame.Body...)
	}
}

// FuzzSessions feeds a handshake and a valid frame with an arbitrary kind and body to both ends of a stream. Neither end may
// panic or loop forever.
func FuzzSessions(f *testing.F) {
	f.Add(uint8(FrameLoadReport), []byte{0x0a, 0x00})
	f.Add(uint8(FrameOrders), []byte{0x2a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		handshake := &order.Join{Proxy: "p"}
		second := rawFrame(t, FrameKind(kind), 2, body)
		planner := NewPlannerSession(testLimits, 0)
		planner.Feed(0, append(encode(t, testFrame{FrameJoin, handshake}), second...))
		drainPlanner(planner, &recorder{})
		proxy := NewProxySession(testLimits, 0)
		proxy.Feed(0, append(encode(t, testFrame{FrameWelcome, handshake}), second...))
		drainProxy(proxy, &recorder{})
	})
}

// rawFrame returns a frame with a valid header whose body need not be an encoded message.
func rawFrame(t *testing.T, kind FrameKind, sequence uint64, body []byte) []byte {
	t.Helper()
	frame, err := AppendFrame(nil, kind, sequence, nil)
	if err != nil {
		t.Fatal(err)
	}
	frame = append(frame, body...)
	binary.BigEndian.PutUint32(frame[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint32(frame[checksumOffset:], checksum(frame))
	return frame
}
