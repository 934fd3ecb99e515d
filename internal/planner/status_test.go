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

// newTestStatusServer starts the status server of a planner that does not share its fleet, with one published status.
func newTestStatusServer(t *testing.T, status *Status) *httptest.Server {
	t.Helper()
	publisher := &statusPublisher{}
	publisher.publish(status)
	page := &statusServer{status: publisher, log: slog.New(slog.DiscardHandler)}
	server := httptest.NewServer(page.handler())
	t.Cleanup(server.Close)
	return server
}

// fetch returns the body of a page, and fails the test unless the status code is 200.
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

// Operators' tools read the status page and the metrics, so a rename in the code must not change a key or a metric name.
func TestStatusServer(t *testing.T) {
	t.Run("the status has exactly the expected keys", func(t *testing.T) {
		server := newTestStatusServer(t, &Status{Planner: "p", Backlog: 3})
		fields := map[string]json.RawMessage{}
		if err := json.Unmarshal(fetch(t, server.URL+"/status"), &fields); err != nil {
			t.Fatal(err)
		}
		expected := strings.Fields(`AtUnixMs Behind Claimless Commanded Doubted Draining DrainsUnsent Endings Expired Gone Handed Joins LagMs Lines
			LinesMost LinesPeak LinesWaiting Lost Marks Merged Messages OrderMsP50 OrderMsP99 Planner Proxies Ready Refused
			RefusedDials Shed Streams Sums Takeovers Unheard`)
		for _, key := range expected {
			if _, known := fields[key]; !known {
				t.Errorf("the status has no key %q", key)
			}
		}
		if len(fields) != len(expected) || string(fields["LinesWaiting"]) != "3" {
			t.Errorf("%d keys, expected %d: %s", len(fields), len(expected), fields)
		}
	})
	t.Run("the metrics have exactly the expected names, each with a help text", func(t *testing.T) {
		server := newTestStatusServer(t, &Status{Proxies: 7})
		expected := strings.Fields(`commanded dials_refused drains_unsent lag_ms lines_sent lines_waiting messages_sent order_ms_p50 order_ms_p99
			proxies reports_merged servers_doubted servers_ready streams sums_shed takeovers`)
		var names []string
		for _, line := range strings.Split(string(fetch(t, server.URL+"/metrics")), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 3 && fields[1] == "HELP" {
				names = append(names, strings.TrimPrefix(fields[2], metricPrefix))
			}
		}
		if !slices.Equal(names, expected) {
			t.Errorf("metric names %v, expected %v", names, expected)
		}
	})
	t.Run("a planner that does not share its fleet cannot be drained", func(t *testing.T) {
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
			t.Errorf("response status %s, expected 400", response.Status)
		}
	})
}

func TestStatusPublisher(t *testing.T) {
	t.Run("a status is due after its interval, or if the wall clock was set back", func(t *testing.T) {
		publisher := &statusPublisher{}
		published := time.UnixMilli(1000)
		if !publisher.due(published) {
			t.Error("the first status is not due")
		}
		publisher.publish(&Status{AtUnixMs: published.UnixMilli()})
		for _, age := range []time.Duration{-time.Hour, -time.Millisecond, statusInterval} {
			if !publisher.due(published.Add(age)) {
				t.Errorf("not due at age %v", age)
			}
		}
		for _, age := range []time.Duration{0, statusInterval - time.Millisecond} {
			if publisher.due(published.Add(age)) {
				t.Errorf("due at age %v", age)
			}
		}
	})
	t.Run("the maximum backlog is the highest peak since the start", func(t *testing.T) {
		publisher := &statusPublisher{}
		publisher.publish(&Status{PeakBacklog: 5})
		publisher.publish(&Status{PeakBacklog: 2})
		if last := publisher.load(); last.MaxBacklog != 5 || last.PeakBacklog != 2 {
			t.Errorf("wrong maximum or peak backlog: %+v", last)
		}
	})
}
