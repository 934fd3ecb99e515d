package discovery

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// module keeps what the module would hold.
type module struct {
	states map[string]policy.State
	born   map[string]float64
	forms  []policy.UpdateKind
}

func (m *module) UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint) {
	m.forms = append(m.forms, form)
	for _, e := range list {
		m.states[e.Server], m.born[e.Server] = e.State, e.StartedMs
	}
}

func (m *module) ready() (n int) {
	for _, s := range m.states {
		if s == policy.Ready {
			n++
		}
	}
	return n
}

func whole(n int) Update {
	u := Update{Kind: policy.FullUpdate, AsOfMs: 1e12}
	for i := range n {
		u.Endpoints = append(u.Endpoints, Endpoint{Server: fmt.Sprint("s", i), Zone: "a", RelativeCapacity: 1})
	}
	return u
}

func TestMemory(t *testing.T) {
	begin := func() (*Tracker, *module, func(now float64, u ...Update)) {
		m, h := NewTracker([]string{"a", "b"}, 100), &module{states: map[string]policy.State{}, born: map[string]float64{}}
		return m, h, func(now float64, all ...Update) {
			m.SetTime(now)
			for _, u := range all {
				m.RecordUpdate(u)
			}
			for m.Next(h) {
			}
		}
	}
	t.Run("an empty list is doubted for a while, and a full one ends the doubt", func(t *testing.T) {
		m, h, at := begin()
		at(1000, whole(10))
		at(1500, whole(0))
		at(2000, whole(0))
		if h.ready() != 10 || m.Unverified != 10 {
			t.Errorf("%d ready, %d doubted", h.ready(), m.Unverified)
		}
		at(2500, whole(10))
		at(30000)
		if h.ready() != 10 || m.Unverified != 0 {
			t.Errorf("%d ready, %d doubted", h.ready(), m.Unverified)
		}
	})
	t.Run("what is long gone is forgotten, and may come back", func(t *testing.T) {
		m, h, at := begin()
		at(1000, whole(10))
		at(2000, whole(9))
		at(2000+goneMs/2, whole(9))
		if m.servers["s9"] == nil {
			t.Error("forgotten at once")
		}
		at(3000+goneMs, whole(9))
		if len(m.servers) != 9 || len(m.order) != 9 {
			t.Errorf("%d known, %d in order", len(m.servers), len(m.order))
		}
		if at(4000+goneMs, whole(10)); h.ready() != 10 {
			t.Errorf("%d ready", h.ready())
		}
	})
	t.Run("but believed in the end", func(t *testing.T) {
		m, h, at := begin()
		at(1000, whole(10))
		at(2000, whole(0))
		if due := m.Deadline(); due != 2000+unverifiedMs {
			t.Errorf("due %g", due)
		}
		at(6000, whole(0))
		at(2000 + unverifiedMs)
		if h.ready() != 0 {
			t.Errorf("%d ready", h.ready())
		}
	})
	t.Run("a drain is believed at once, in the same list as a doubt", func(t *testing.T) {
		_, h, at := begin()
		at(1000, whole(10))
		u := whole(3)
		u.Endpoints[0].State = policy.Draining
		at(1500, u)
		if h.states["s0"] != policy.Draining || h.ready() != 9 {
			t.Errorf("%v", h.states)
		}
	})
	t.Run("one that is missing among many is gone at once", func(t *testing.T) {
		_, h, at := begin()
		at(1000, whole(10))
		at(1500, whole(9))
		if h.states["s9"] != policy.Removed {
			t.Errorf("%v", h.states)
		}
	})
	t.Run("births are by the source's clock, and steps of a clock are no restarts", func(t *testing.T) {
		_, h, at := begin()
		u := whole(1)
		u.Endpoints[0].StartedUnixMs = 1e12 - 4000
		at(1e9, u)
		at(1e9+500, u)
		u.AsOfMs += 3600e3 // the same birth, told by a clock that was set forward
		at(1e9+1000, u)
		if h.born["s0"] != 1e9-4000 || len(h.forms) != 1 {
			t.Errorf("born %g, told %v", h.born["s0"], h.forms)
		}
		u.Endpoints[0].StartedUnixMs = u.AsOfMs - 100
		at(1e9+2000, u)
		if h.born["s0"] != 1e9+1900 {
			t.Errorf("born %g", h.born["s0"])
		}
	})
	t.Run("a birth before the clock's origin is long past, not unknown, and never negative", func(t *testing.T) {
		_, h, at := begin()
		u := whole(1)
		u.Endpoints[0].StartedUnixMs = 5
		at(1000, u)
		if h.born["s0"] != longPast {
			t.Errorf("born %g", h.born["s0"])
		}
	})
	t.Run("what is over the limit is refused, and the dead make room", func(t *testing.T) {
		m, h, at := begin()
		at(1000, whole(120))
		if h.ready() != 100 || m.Rejected != 20 {
			t.Errorf("%d ready, %d refused", h.ready(), m.Rejected)
		}
		at(2000, Update{Kind: policy.DeltaUpdate, Endpoints: []Endpoint{{Server: "s0", Zone: "a", State: policy.Removed}}})
		at(2500, Update{Kind: policy.DeltaUpdate, Endpoints: []Endpoint{{Server: "new", Zone: "a"}, {Server: "odd", Zone: "nowhere"}}})
		if h.states["new"] != policy.Ready || m.Rejected != 21 {
			t.Errorf("%v, %d refused", h.states["new"], m.Rejected)
		}
	})
	t.Run("a failed call changes nothing", func(t *testing.T) {
		_, h, at := begin()
		at(1000, whole(4))
		at(2000, Update{Kind: policy.FailedUpdate})
		if h.ready() != 4 || fmt.Sprint(h.forms) != fmt.Sprint([]policy.UpdateKind{policy.FullUpdate, policy.FailedUpdate}) {
			t.Errorf("%v", h.forms)
		}
	})
}

func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.txtpb")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(`servers { server: "127.0.0.1:1" zone: "a" }`)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	got := make(chan Update, 10)
	go (&FileSource{Path: path, PollIntervalMs: 5, Clock: clock.NewReal()}).Run(ctx, func(u Update) { got <- u })
	if u := <-got; u.Kind != policy.FullUpdate || len(u.Endpoints) != 1 {
		t.Errorf("%v", u)
	}
	// A file cut short is one failed call, named with its place; the whole file is read again afterwards.
	write(`servers { server: "127.0.0.1:1" zone: "a`)
	if u := <-got; u.Kind != policy.FailedUpdate || !strings.Contains(u.Fault, "list.txtpb:1:") {
		t.Errorf("%v", u)
	}
	write(`servers { server: "127.0.0.1:1" zone: "a" }`)
	if u := <-got; u.Kind != policy.FullUpdate || u.Version != 2 {
		t.Errorf("%v", u)
	}
}

func TestFollower(t *testing.T) {
	var got []Update
	f := &follower{deliver: func(u Update) { got = append(got, u) }}
	f.OnEndpoints(&order.Listing{Form: order.Listing_WHOLE, Version: 4})
	f.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 5})
	f.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 7}) // 6 was lost: it may have been a drain
	f.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 8})
	if len(got) != 2 || !f.gap {
		t.Errorf("%v, gap %v", got, f.gap)
	}
}
