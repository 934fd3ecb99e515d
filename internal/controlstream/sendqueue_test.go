package controlstream

import (
	"fmt"
	"testing"
)

var testQueueLimits = SendQueueLimits{EntriesPerSecond: 1000, MessageOverhead: 4, MaxBacklog: 100, MaxMessages: 3, WindowMs: 10000}

// push queues a message that must be within the limits.
func push(t *testing.T, queue *SendQueue[int], nowMs float64, to *MessageWindow, entries float64, payload int) {
	t.Helper()
	if err := queue.Push(nowMs, to, entries, payload); err != nil {
		t.Fatalf("message %d at %g ms: %v", payload, nowMs, err)
	}
}

func TestSendQueue(t *testing.T) {
	t.Run("messages leave one after the other, at the stated rate", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		window := &MessageWindow{}
		push(t, queue, 0, window, 6, 1)
		push(t, queue, 0, window, 16, 2)
		var departures []float64 // times and payloads in turn
		for nowMs := 0.0; nowMs < 100; nowMs++ {
			if message, ok := queue.Pop(nowMs); ok {
				departures = append(departures, nowMs, float64(message.Payload))
			}
		}
		if fmt.Sprint(departures) != "[10 1 30 2]" || queue.Backlog() != 0 {
			t.Errorf("%v, a backlog of %g", departures, queue.Backlog())
		}
	})
	t.Run("neither more entries nor more messages than allowed", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		first, second := &MessageWindow{}, &MessageWindow{}
		if queue.Push(0, first, 90, 1) != nil || queue.Push(0, second, 3, 1) == nil {
			t.Error("the limit of the backlog does not hold")
		}
		queue.Pop(1000)
		for index := range 3 {
			if err := queue.Push(1000, first, 1, index); (err == nil) != (index < 2) {
				t.Errorf("message %d: %v", index+2, err)
			}
		}
		if queue.Push(10001, first, 1, 0) != nil {
			t.Error("the window of messages does not move on")
		}
	})
	t.Run("messages to a removed proxy take no time", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		removed, staying := &MessageWindow{}, &MessageWindow{}
		push(t, queue, 0, removed, 86, 1)
		push(t, queue, 0, staying, 6, 2)
		queue.Remove(removed)
		if message, ok := queue.Pop(10); !ok || message.Payload != 2 || queue.Backlog() != 0 {
			t.Errorf("popped %v %v, a backlog of %g", message, ok, queue.Backlog())
		}
	})
	t.Run("an idle queue saves up nothing", func(t *testing.T) {
		queue := NewSendQueue[int](testQueueLimits)
		push(t, queue, 5000, &MessageWindow{}, 6, 1)
		if _, ok := queue.Pop(5009); ok {
			t.Error("a message left before its entries were sent")
		}
	})
}
