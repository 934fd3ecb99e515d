package planner

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

// newTestStatusServer is the status server of a planner that shares nothing, with a status.
func newTestStatusServer(t *testing.T, status *Status) *httptest.Server {
	t.Helper()
	publisher := &statusPublisher{}
	publisher.publish(status)
	page := &statusServer{status: publisher, log: slog.New(slog.DiscardHandler)}
	server := httptest.NewServer(page.handler())
	t.Cleanup(server.Close)
	return server
}

// fetch returns the body of a page, which must be there.
func fetch(t *testing.T, address string) []byte {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, address, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(response.Body)
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s, %v", address, response.Status, err)
	}
	return body
}

// Operators' tools read the status page and the metrics: their keys and names must not change with the code's.
func TestStatusServer(t *testing.T) {
	t.Run("the status has the keys that operators know", func(t *testing.T) {
		server := newTestStatusServer(t, &Status{Planner: "p", Backlog: 3})
		fields := map[string]json.RawMessage{}
		if err := json.Unmarshal(fetch(t, server.URL+"/status"), &fields); err != nil {
			t.Fatal(err)
		}
		expected := strings.Fields(`AtUnixMs Behind Claimless Commanded Doubted Draining Endings Expired Gone Handed Joins LagMs Lines
			LinesMost LinesPeak LinesWaiting Lost Marks Merged Messages OrderMsP50 OrderMsP99 Planner Proxies Ready Refused
			RefusedDials Shed Streams Sums Takeovers Unheard`)
		for _, key := range expected {
			if _, known := fields[key]; !known {
				t.Errorf("no key %q", key)
			}
		}
		if len(fields) != len(expected) || string(fields["LinesWaiting"]) != "3" {
			t.Errorf("%d keys, expected %d: %s", len(fields), len(expected), fields)
		}
	})
	t.Run("metrics have the names that operators know, and a help text", func(t *testing.T) {
		server := newTestStatusServer(t, &Status{Proxies: 7})
		expected := strings.Fields(`commanded dials_refused lag_ms lines_sent lines_waiting messages_sent order_ms_p50 order_ms_p99
			proxies reports_merged servers_doubted servers_ready streams sums_shed takeovers`)
		var names []string
		for _, line := range strings.Split(string(fetch(t, server.URL+"/metrics")), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 3 && fields[1] == "HELP" {
				names = append(names, strings.TrimPrefix(fields[2], metricPrefix))
			}
		}
		if !slices.Equal(names, expected) {
			t.Errorf("%v, expected %v", names, expected)
		}
	})
	t.Run("a planner that shares nothing cannot be drained", func(t *testing.T) {
		server := newTestStatusServer(t, &Status{})
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/drain?on=true", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		closeQuietly(response.Body)
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("%s", response.Status)
		}
	})
}

func TestStatusPublisher(t *testing.T) {
	t.Run("a status is due after its interval, or when the date was set back", func(t *testing.T) {
		publisher := &statusPublisher{}
		published := time.UnixMilli(1000)
		if !publisher.due(published) {
			t.Error("the first status is not due")
		}
		publisher.publish(&Status{AtUnixMs: published.UnixMilli()})
		for _, age := range []time.Duration{-time.Hour, -time.Millisecond, statusInterval} {
			if !publisher.due(published.Add(age)) {
				t.Errorf("not due at %v", age)
			}
		}
		for _, age := range []time.Duration{0, statusInterval - time.Millisecond} {
			if publisher.due(published.Add(age)) {
				t.Errorf("due at %v", age)
			}
		}
	})
	t.Run("the greatest backlog is that since the start", func(t *testing.T) {
		publisher := &statusPublisher{}
		publisher.publish(&Status{PeakBacklog: 5})
		publisher.publish(&Status{PeakBacklog: 2})
		if last := publisher.load(); last.MaxBacklog != 5 || last.PeakBacklog != 2 {
			t.Errorf("%+v", last)
		}
	})
}
