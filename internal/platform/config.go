package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"

	"lichenpick/internal/settings"
	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

const maxConfigBytes = 16 << 20 // bytes of a configuration

// Config is what the platform tells a planner.
type Config struct {
	Name, Listen, Discovery string
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int
	KnownVersion            int64             // of KnownEndpoints
	KnownEndpoints          []policy.Endpoint // perhaps old
	Settings                simulator.Settings
}

// ReadConfig loads and checks a configuration. It is refused whole, with an error of the program's kind for bad input.
func ReadConfig(path string) (Config, error) {
	bad := func(form string, args ...any) (Config, error) {
		return Config{}, &settings.Error{File: path, Problem: fmt.Sprintf(form, args...)}
	}
	if path == "" {
		return bad("no configuration is named; EDGE_CONFIG or -c must name it")
	}
	info, err := os.Stat(path)
	if err != nil {
		return bad("%v", err)
	}
	if info.Size() > maxConfigBytes {
		return bad("%d bytes, where %d are the most", info.Size(), maxConfigBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return bad("%v", err)
	}
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return bad("%v", err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return bad("seed: %q is no number of 16 hex digits", f.Seed)
	}
	for _, a := range [][2]string{{"listen", f.Listen}, {"discovery", f.Discovery}} {
		if _, port, err := net.SplitHostPort(a[1]); err != nil || port == "" {
			return bad("%s: %q is no address with a port", a[0], a[1])
		}
	}
	if len(f.Settings) == 0 {
		return bad("settings are missing")
	}
	site, err := simulator.ReadSettings(f.Settings)
	if err != nil {
		return bad("settings: %v", err)
	}
	if err := check(site); err != nil {
		return bad("settings: %v", err)
	}
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Seed: int64(seed), Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Settings: site,
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		l, err := readListing(f.Known, site.Zones)
		if err != nil {
			return bad("known: %v", err)
		}
		c.KnownVersion, c.KnownEndpoints = l.version, l.entries
	}
	return c, nil
}

// check looks for what the module or the lines could not work with.
func check(s simulator.Settings) error {
	m := s.Policy
	switch {
	case len(s.Zones) == 0 || len(s.Classes) == 0:
		return fmt.Errorf("%d zones and %d traffic groups; there must be some", len(s.Zones), len(s.Classes))
	case m.Proxies < 1 || m.Proxies > 1<<16:
		return fmt.Errorf("%d proxies, where 1 to %d can be", m.Proxies, 1<<16)
	case !(m.EntriesPerSecond > 0) || !(m.MaxBacklog > 0):
		return fmt.Errorf("a channel of %g lines a second with %g waiting; both must be above 0", m.EntriesPerSecond, m.MaxBacklog)
	case m.Sharded:
		return fmt.Errorf("tables are slices, which this front does not serve")
	}
	for _, list := range [][]string{s.Zones, s.Classes} {
		for n, name := range list {
			if !fits(name) || slices.Contains(list[:n], name) {
				return fmt.Errorf("name %q cannot stand in a line, or comes twice", name)
			}
		}
	}
	return nil
}
