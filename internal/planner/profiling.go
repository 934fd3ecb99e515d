package planner

import (
	"net/http"
	"net/http/pprof"
)

// handleProfiles adds the routes of the runtime profiles, which show where a running planner spends CPU time and memory.
func handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
