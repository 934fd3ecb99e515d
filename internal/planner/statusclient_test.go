package planner

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"lichenpick/internal/controlstream"
)

func TestFetchStatus(t *testing.T) {
	t.Run("the published status is returned", func(t *testing.T) {
		published := &Status{
			Proxies: 3,
			Closes:  map[controlstream.CloseReason]uint64{controlstream.ReasonConnectionLost: 2},
		}
		server := newTestStatusServer(t, published)
		status, err := FetchStatus(t.Context(), server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if status.Proxies != 3 || status.Closes[controlstream.ReasonConnectionLost] != 2 {
			t.Errorf("status %+v, want that of 3 proxies and 2 lost streams", status)
		}
	})
	t.Run("a response that is not a status is an error", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		t.Cleanup(server.Close)
		if _, err := FetchStatus(t.Context(), server.Listener.Addr().String()); err == nil {
			t.Error("no error for a response that is not a status")
		}
	})
	t.Run("an address on which nothing listens is an error", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		address := server.Listener.Addr().String()
		server.Close()
		if _, err := FetchStatus(t.Context(), address); err == nil {
			t.Error("no error for an address on which nothing listens")
		}
	})
}
