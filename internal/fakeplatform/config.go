package fakeplatform

import (
	"encoding/json"

	"lichenpick/policy"
)

const (
	millisecondsPerSecond = 1000.0
	firstVersion          = 40            // of the endpoint list
	unusedAddress         = "127.0.0.1:1" // of servers, which planners never dial
	joinSpreadMs          = 300.0
	clientDelayMs         = 500.0 // from the first proxies to the first clients
	notifySpreadMs        = 50.0  // spread of the notifications of planners
)

// Class is a traffic class: its share of the requests, and its terms.
type Class struct {
	Name        string
	Share       float64
	WorkMs      float64 // mean work of a request on a core of speed 1
	ObjectiveMs float64
	DeadlineMs  float64
	Worth       float64
	Repeat      string // as the settings name it
	StaysLocal  bool   // requests may go only to servers in the proxy's zone
}

// Kind is a kind of servers.
type Kind struct {
	Share         float64
	Cores         uint32
	Slowest       float64 // least speed of a core
	Fastest       float64
	WaitingByCore uint32 // requests that may wait for each core
}

// Config describes a deployment and a day of it.
type Config struct {
	Seed         int64
	OriginUnixMs float64 // Unix ms at the start of the model
	ReadyMs      float64 // time that planners are given to be ready before proxies connect
	Zones        []string
	Classes      []Class
	Kinds        []Kind
	Planners     int
	Proxies      int
	Servers      int
	Load         float64 // work that clients ask for, as a share of the fleet's capacity

	ChannelPerS      float64 // entries per second
	MessageOverhead  float64 // entries
	MaxBacklog       float64 // entries
	MaxMessages      int
	PropagationMs    float64 // mean time from the channel to a proxy
	MaxPropagationMs float64
	ReportLinesPerS  float64 // report lines that a planner is given
	DrainGraceMs     float64
	MaxUnservedMs    float64
	ColdShare        float64 // least share of its capacity with which a server starts, as the settings say
	WarmUpMs         float64 // longest warm-up, as the settings say
	ColdShareRange   [2]float64
	WarmUpRangeMs    [2]float64
	FallMultiple     float64
	FallWindowMs     float64
	HandshakeMs      float64 // work of a new connection
	ClientRetries    int
	MaxListDelayMs   float64 // each planner is notified of all changes of the list by a delay of its own, up to this
}

// Midlands returns a deployment of 150 proxies and 30 servers in three zones under two planners, with the figures of the
// operators' first site.
func Midlands(seed int64) Config {
	return Config{
		Seed:         seed,
		OriginUnixMs: 1.8e12,
		ReadyMs:      1000,
		Zones:        []string{"derby", "nottingham", "leicester"},
		Classes: []Class{
			{"session-check", 0.51, 103, 600, 1500, 3, "read_like", false},
			{"session-start", 0.34, 165, 1000, 2500, 3, "idempotency_key", false},
			{"card-charge", 0.15, 165, 800, 2500, 5, "non_idempotent", false},
		},
		Kinds: []Kind{
			{0.36, 2, 1.1, 1.5, 13},
			{0.32, 4, 0.85, 1.1, 11},
			{0.32, 2, 0.59, 0.8, 15},
		},
		Planners:         2,
		Proxies:          150,
		Servers:          30,
		Load:             0.59,
		ChannelPerS:      2300,
		MessageOverhead:  4,
		MaxBacklog:       3500,
		MaxMessages:      20,
		PropagationMs:    300,
		MaxPropagationMs: 1000,
		ReportLinesPerS:  300,
		DrainGraceMs:     3600,
		MaxUnservedMs:    5900,
		ColdShare:        0.21,
		WarmUpMs:         16000,
		ColdShareRange:   [2]float64{0.21, 0.4},
		WarmUpRangeMs:    [2]float64{7500, 16000},
		FallMultiple:     2.5,
		FallWindowMs:     3000,
		HandshakeMs:      7.5,
		ClientRetries:    2,
	}
}

// Settings returns the settings object that the platform gives to planners.
func (c *Config) Settings() json.RawMessage {
	var classes []map[string]any
	var stays []bool
	for _, class := range c.Classes {
		stays = append(stays, class.StaysLocal)
		classes = append(classes, map[string]any{
			"Name": class.Name, "AimMs": class.ObjectiveMs, "DeadlineMs": class.DeadlineMs, "Worth": class.Worth,
			"LateWorth": 0.2, "Repeat": class.Repeat, "DedupScope": "zone", "KeyTtlMs": 2500.0,
		})
	}
	return mustEncode(map[string]any{
		"Azs": c.Zones, "Balancers": c.Planners, "Classes": classes, "Discovery": "automatic", "Family": "control", "PeriodMs": 2.0,
		"FamilyInfo": map[string]any{
			"Admit": "share", "ChannelRate": c.ChannelPerS, "DataPlaneSize": c.Proxies, "DefaultRetry": policy.RetryUnprocessed,
			"MostWaiting": c.MaxBacklog, "PerMessage": c.MessageOverhead, "PushesAllowed": c.MaxMessages, "ReloadSpanMs": 10000.0,
			"ReportEveryMs": reportIntervalMs, "Slices": 0, "SmallestConnTable": 290.0, "StaysLocal": stays,
			"TransitMaxMs": c.MaxPropagationMs, "UnservedMaxMs": c.MaxUnservedMs,
		},
		"Limits": map[string]any{"ConnIdleMs": idleTimeoutMs},
		"Prices": map[string]any{"CrossZone": 0.01},
		"Rules": map[string]any{
			"AskWithinMs": 10000.0, "ColdShare": c.ColdShare, "FallMs": c.FallWindowMs, "TipMultiple": c.FallMultiple,
			"StopSendingWithinMs": c.DrainGraceMs, "WarmUpMs": c.WarmUpMs,
		},
	})
}

// PlannerConfig returns the configuration file of a planner.
func (c *Config) PlannerConfig(name, listen, discovery string, known List) []byte {
	return mustEncode(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "1f2e3d4c5b6a7988",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    known,
		"settings": c.Settings(),
	})
}

// List is an endpoint list in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is a server in an endpoint list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // Unix ms; 0: long ago
}

// JSON returns the list in one line.
func (l List) JSON() []byte { return mustEncode(l) }

var stateNames = map[policy.State]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// mustEncode encodes a value of which every part can be encoded.
func mustEncode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
