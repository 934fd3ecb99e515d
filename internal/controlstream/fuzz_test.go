package controlstream

import (
	"encoding/binary"
	"errors"
	"testing"

	"lichenpick/proto/order"
)

// FuzzDecoder feeds bytes in two pieces: no panic, no more held than was fed, and frames that read back equal.
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
			t.Fatal("frames differ from what was fed")
		}
	})
}

// appendDecoded appends each frame that a decoder gives, as it stood in the input; what a Frame does not tell of its header,
// between the kind and the checksum's end, is taken from there.
func appendDecoded(t *testing.T, decoded []byte, decoder *Decoder, input []byte) []byte {
	t.Helper()
	for {
		frame, ok, err := decoder.Next()
		if err != nil {
			var closeErr *CloseError
			if !errors.As(err, &closeErr) || decoder.Buffered() != 0 {
				t.Fatalf("%v, %d bytes held", err, decoder.Buffered())
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

// FuzzSessions feeds complete frames with arbitrary bodies to both ends: no panic, and an end of each loop.
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

// rawFrame is a frame with bytes for its body that need not be a message.
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
