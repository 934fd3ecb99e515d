package controlstream

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

// benchmarkOrders returns a message that sets 20 weights.
func benchmarkOrders() *order.Orders {
	message := &order.Orders{Planner: "p", Incarnation: 7, DecidedUnixUs: 1 << 50, Lines: 24}
	for number := range 20 {
		entry := &order.Line{Server: fmt.Sprintf("10.0.0.%d:8000", number), Weight: 0.05}
		message.Orders = append(message.Orders, &order.Order{What: &order.Order_Line{Line: &order.SetLine{Table: 1, Line: entry}}})
	}
	return message
}

// BenchmarkFrames measures three steps for one Orders message: encoding its frame ("write"), extracting the frame from a
// stream ("cut") and decoding its body ("read").
func BenchmarkFrames(b *testing.B) {
	message := benchmarkOrders()
	b.Run("write", func(b *testing.B) {
		buffer := make([]byte, 0, 4096)
		b.ReportAllocs()
		for sequence := range b.N {
			buffer, _ = AppendFrame(buffer[:0], FrameOrders, uint64(sequence), message)
		}
		b.SetBytes(int64(len(buffer)))
	})
	b.Run("cut", func(b *testing.B) { benchmarkDecoder(b, message) })
	b.Run("read", func(b *testing.B) {
		raw, err := AppendFrame(nil, FrameOrders, 1, message)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if err := proto.Unmarshal(raw[FrameHeaderBytes:], &order.Orders{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func benchmarkDecoder(b *testing.B, message proto.Message) {
	const frames = 256 // number of frames encoded in advance; after the last one, a new decoder reads the first one again
	var raw []byte
	ends := []int{0}
	for index := range frames {
		var err error
		raw, err = AppendFrame(raw, FrameOrders, uint64(index+1), message)
		if err != nil {
			b.Fatal(err)
		}
		ends = append(ends, len(raw))
	}
	b.ReportAllocs()
	decoder := NewDecoder(1 << 16)
	for index := 0; b.Loop(); index++ {
		index %= frames
		if index == 0 {
			decoder = NewDecoder(1 << 16)
		}
		decoder.Feed(raw[ends[index]:ends[index+1]])
		if _, ok, err := decoder.Next(); !ok {
			b.Fatal(err)
		}
	}
}
