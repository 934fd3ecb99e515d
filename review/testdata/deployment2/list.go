package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server in discovery's form.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

// document is a list, or the changes of one.
type document struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// change is one step of an agent's list.
type change struct {
	version int64
	entries []entry
}

// agent is the discovery agent on a planner's machine. It answers at once with what it has been sent.
type agent struct {
	address string

	mu      sync.Mutex
	version int64
	servers map[string]entry
	order   []string
	changes []change
	told    map[string]time.Time // when a server was first written to the planner as draining or gone
	wake    chan struct{}

	period  time.Duration // how long changes wait to be published together; 0: each is published at once
	pending []entry       // changes that wait
}

func newAgent(servers []entry) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		address: listener.Addr().String(),
		version: 1,
		servers: map[string]entry{},
		told:    map[string]time.Time{},
		wake:    make(chan struct{}),
	}
	for _, e := range servers {
		a.servers[e.ID] = e
		a.order = append(a.order, e.ID)
	}
	go func() { _ = http.Serve(listener, a) }()
	return a, nil
}

// apply changes servers of the list; a server whose state is gone leaves it.
func (a *agent) apply(entries ...entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.period == 0 {
		a.publish(entries)
		return
	}
	a.pending = append(a.pending, entries...)
	if len(a.pending) > len(entries) {
		return // they are published with those that wait already
	}
	time.AfterFunc(a.period, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.publish(a.pending)
		a.pending = nil
	})
}

// publish changes the list and tells those that watch it. The caller holds the lock.
func (a *agent) publish(entries []entry) {
	a.version++
	for _, e := range entries {
		if _, known := a.servers[e.ID]; !known {
			a.order = append(a.order, e.ID)
		}
		a.servers[e.ID] = e
	}
	a.changes = append(a.changes, change{a.version, entries})
	close(a.wake)
	a.wake = make(chan struct{})
}

// whole returns the complete list. The caller holds the lock.
func (a *agent) whole() document {
	list := document{Version: a.version, Full: true, Servers: []entry{}}
	for _, id := range a.order {
		if e := a.servers[id]; e.State != "gone" {
			list.Servers = append(list.Servers, e)
		}
	}
	return list
}

func (a *agent) known() document {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

func (a *agent) entry(id string) entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servers[id]
}

// since returns what changed after a version, and the channel that is closed at the next change.
func (a *agent) since(version int64) (list document, changed bool, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version > a.version {
		return a.whole(), true, a.wake
	}
	list = document{Version: a.version}
	for _, c := range a.changes {
		if c.version > version {
			list.Servers = append(list.Servers, c.entries...)
		}
	}
	return list, len(list.Servers) > 0, a.wake
}

// noteTold records which servers the planner has been told to be draining or gone.
func (a *agent) noteTold(list document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range list.Servers {
		if e.State == "ready" {
			delete(a.told, e.ID)
		} else if _, known := a.told[e.ID]; !known {
			a.told[e.ID] = time.Now()
			say("the planner is told: %s %s", e.ID, e.State)
		}
	}
}

// toldAt returns when the planner was told that a server drains or is gone.
func (a *agent) toldAt(id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.told[id]
	return at, known
}

func (a *agent) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/catalog/members" {
		http.NotFound(response, request)
		return
	}
	flusher, _ := response.(http.Flusher)
	if request.URL.Query().Get("follow") != "1" {
		list := a.known()
		_ = json.NewEncoder(response).Encode(list)
		flusher.Flush()
		a.noteTold(list)
		return
	}
	version, _ := strconv.ParseInt(request.URL.Query().Get("since"), 10, 64)
	for {
		list, changed, wake := a.since(version)
		if changed {
			if json.NewEncoder(response).Encode(list) != nil {
				return
			}
			flusher.Flush()
			a.noteTold(list)
			version = list.Version
			continue
		}
		if _, err := fmt.Fprint(response, "\n"); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-request.Context().Done():
			return
		}
	}
}
