package controlstream

import (
	"fmt"
	"math"
	"testing"

	"lichenpick/proto/order"
)

// TestProxySession checks that no part of an Orders message is delivered if any order in it is invalid or of an unknown kind.
func TestProxySession(t *testing.T) {
	welcome := testFrame{FrameWelcome, &order.Welcome{}}
	entry := &order.SetLine{Table: 1, Line: &order.Line{Server: "a", Weight: 0.5}}
	valid := &order.Order{What: &order.Order_Line{Line: entry}}
	t.Run("a message is delivered completely or not at all", func(t *testing.T) {
		infinite := &order.Order{What: &order.Order_Level{Level: &order.Level{Share: math.Inf(1)}}}
		session := NewProxySession(testLimits, 0)
		host := &recorder{}
		session.Feed(0, encode(
			t,
			welcome,
			testFrame{FrameOrders, &order.Orders{Number: 2, Orders: []*order.Order{valid}}},
			testFrame{FrameOrders, &order.Orders{Orders: []*order.Order{valid, infinite}}},
		))
		drainProxy(session, host)
		if got := fmt.Sprint(host.calls); got != "[welcome orders 2 1]" {
			t.Errorf("calls are %s, want only the welcome and the valid message", got)
		}
		checkClosed(t, session.CloseCause(), ReasonBadBody)
	})
	t.Run("an order of an unknown kind is rejected", func(t *testing.T) {
		session := NewProxySession(testLimits, 0)
		session.Feed(0, encode(t, welcome, testFrame{FrameOrders, &order.Orders{Orders: []*order.Order{{}}}}))
		drainProxy(session, &recorder{})
		checkClosed(t, session.CloseCause(), ReasonBadBody)
	})
}
