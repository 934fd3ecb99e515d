package fakeplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lichenpick/internal/clock"
)

const (
	keepAliveMs         = 2000.0
	headerTimeout       = 5 * time.Second
	watchBacklogChanges = 256 // changes that may wait for a watch; one that is further behind is ended
)

// discoveryAgent serves the endpoint list to one planner, and its changes on watches.
type discoveryAgent struct {
	clock    clock.Clock
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex // guards the fields below
	list    List
	watches map[chan []byte]bool
}

// startDiscovery starts an agent on a loopback address.
func startDiscovery(ctx context.Context, agentClock clock.Clock, network clock.Network) (*discoveryAgent, error) {
	listener, err := network.Listen(ctx, loopbackAddress)
	if err != nil {
		return nil, err
	}
	a := &discoveryAgent{clock: agentClock, listener: listener, watches: map[chan []byte]bool{}}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := a.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the listener is the agent's own, so that only a fault of this package ends it
		}
	}()
	return a, nil
}

func (a *discoveryAgent) address() string { return a.listener.Addr().String() }

// Close ends the agent and its watches.
func (a *discoveryAgent) Close() error { return a.server.Close() }

// reset replaces the list.
func (a *discoveryAgent) reset(list List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
}

// publish applies changes to the list and writes them to the watches.
func (a *discoveryAgent) publish(changes List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Version = changes.Version
	for _, changed := range changes.Servers {
		a.list.Servers = replaceEntry(a.list.Servers, changed)
	}
	text := append(changes.JSON(), '\n')
	for watch := range a.watches {
		select {
		case watch <- text:
		default:
			delete(a.watches, watch)
			close(watch)
		}
	}
}

// replaceEntry replaces the entry of a server in a list, or appends it. Entries of servers that are gone are left out.
func replaceEntry(entries []Entry, changed Entry) []Entry {
	var kept []Entry
	for _, entry := range entries {
		if entry.ID != changed.ID {
			kept = append(kept, entry)
		}
	}
	if changed.State == "gone" {
		return kept
	}
	return append(kept, changed)
}

// ServeHTTP answers with the whole list and, on a watch, with the changes after it.
func (a *discoveryAgent) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	watch := make(chan []byte, watchBacklogChanges)
	a.mu.Lock()
	text := append(a.list.JSON(), '\n')
	follows := request.URL.Query().Get("follow") != ""
	if follows {
		a.watches[watch] = true
	}
	a.mu.Unlock()
	open := true
	for open {
		if _, err := response.Write(text); err != nil || !follows {
			break
		}
		response.(http.Flusher).Flush()
		fired, stop := a.clock.NewTimer(keepAliveMs)
		select {
		case text, open = <-watch:
		case <-fired:
			text = []byte("\n")
		case <-request.Context().Done():
			open = false
		}
		stop()
	}
	a.mu.Lock()
	delete(a.watches, watch)
	a.mu.Unlock()
}
