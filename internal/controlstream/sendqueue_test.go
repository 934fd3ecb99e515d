package controlstream

import (
	"fmt"
	"testing"
)

var testQueueLimits = SendQueueLimits{EntriesPerSecond: 1000, MessageOverhead: 4, MaxBacklog: 100, MaxMessages: 3, WindowMs: 10000}

// push queues a message and fails the test if the queue rejects it.
func push(t *testing.T, queue *SendQueue[int], nowMs float64, to *MessageWindow, entries float64, payload int) {
	t.Helper()
	if err := queue.Push(nowMs, to, entries, payload); err != nil {
		t.Fatalf("pushing message %d at %g ms: %v", payload, nowMs, err)
	}
}

func TestSendQueue(t *testing.T) {
	t.Run("messages leave one after the other at the configured rate", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		window := &MessageWindow{}
		push(t, queue, 0, window, 6, 1)
		push(t, queue, 0, window, 16, 2)
		var departures []float64 // alternately the time in ms and the payload of each message
		for nowMs := 0.0; nowMs < 100; nowMs++ {
			if message, ok := queue.Pop(nowMs); ok {
				departures = append(departures, nowMs, float64(message.Payload))
			}
		}
		if fmt.Sprint(departures) != "[10 1 30 2]" || queue.Backlog() != 0 {
			t.Errorf("departures are %v with a backlog of %g, want [10 1 30 2] and 0", departures, queue.Backlog())
		}
	})
	t.Run("limits of the backlog and of messages per window are enforced", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		first, second := &MessageWindow{}, &MessageWindow{}
		if queue.Push(0, first, 90, 1) != nil || queue.Push(0, second, 3, 1) == nil {
			t.Error("the queue rejected a message within the backlog limit or accepted one above it")
		}
		queue.Pop(1000)
		for index := range 3 {
			if err := queue.Push(1000, first, 1, index); (err == nil) != (index < 2) {
				t.Errorf("message %d to one proxy: error is %v, want one only for message 4", index+2, err)
			}
		}
		if queue.Push(10001, first, 1, 0) != nil {
			t.Error("a message is rejected although an earlier one has left the window")
		}
	})
	t.Run("messages to a removed proxy do not delay others", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		removed, staying := &MessageWindow{}, &MessageWindow{}
		push(t, queue, 0, removed, 86, 1)
		push(t, queue, 0, staying, 6, 2)
		queue.Remove(removed)
		if message, ok := queue.Pop(10); !ok || message.Payload != 2 || queue.Backlog() != 0 {
			t.Errorf("popped %v, ok %t, with a backlog of %g; want message 2 and 0", message, ok, queue.Backlog())
		}
	})
	t.Run("an idle queue accumulates no send capacity", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		push(t, queue, 5000, &MessageWindow{}, 6, 1)
		if _, ok := queue.Pop(5009); ok {
			t.Error("a message left before the time to send its entries had passed")
		}
	})
}
