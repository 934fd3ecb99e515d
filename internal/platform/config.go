package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"

	"lichenpick/internal/settings"
	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

const (
	maxConfigBytes = 16 << 20 // limit of the bytes of a configuration file
	maxProxies     = 1 << 16  // limit of the proxies in a configuration
)

// Config is the configuration that the platform gives a planner. It is read at the start; when it is reloaded, only a new
// Discovery address takes effect.
type Config struct {
	Name           string
	Listen         string // address and port at which the planner accepts connections
	Discovery      string // address and port of the discovery agent
	Seed           int64
	Cores          float64           // CPU limit of the process, in cores
	MemoryMB       int               // memory limit of the process in MiB; 0 if not limited
	MaxDescriptors int               // limit of file descriptors of the process; 0 if not limited
	KnownVersion   int64             // version of KnownEndpoints; 0 if there is no list
	KnownEndpoints []policy.Endpoint // last known endpoint list, perhaps outdated
	Settings       simulator.Settings
}

// configDocument is the JSON form of a configuration.
type configDocument struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string // 16 hex digits
	Limits    struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage // endpoint list, in the format that discovery serves
	Settings json.RawMessage // settings, in the JSON format of the simulator
}

// ReadConfig reads and validates a configuration file. Its errors are of type *settings.Error and have one line.
func ReadConfig(path string) (Config, error) {
	text, err := readConfigFile(path)
	if err != nil {
		return Config{}, &settings.Error{File: path, Problem: err.Error()}
	}
	config, err := parseConfig(text)
	if err != nil {
		return Config{}, &settings.Error{File: path, Problem: err.Error()}
	}
	return config, nil
}

func readConfigFile(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("no configuration file given; set EDGE_CONFIG or -c")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("file has %d bytes, and the limit is %d", info.Size(), maxConfigBytes)
	}
	return os.ReadFile(path)
}

func parseConfig(text []byte) (Config, error) {
	var document configDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(document.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", document.Seed)
	}
	if err := checkAddress("listen", document.Listen); err != nil {
		return Config{}, err
	}
	if err := checkAddress("discovery", document.Discovery); err != nil {
		return Config{}, err
	}
	site, err := parseSettings(document.Settings)
	if err != nil {
		return Config{}, err
	}
	known, err := parseKnownEndpoints(document.Known, site.Zones)
	if err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	return Config{
		Name:           document.Name,
		Listen:         document.Listen,
		Discovery:      document.Discovery,
		Seed:           int64(seed),
		Cores:          document.Limits.Cores,
		MemoryMB:       document.Limits.MemoryMB,
		MaxDescriptors: document.Limits.Sockets,
		KnownVersion:   known.version,
		KnownEndpoints: known.entries,
		Settings:       site,
	}, nil
}

func checkAddress(name, address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return fmt.Errorf("%s: %q is not an address with a port", name, address)
	}
	return nil
}

func parseSettings(text json.RawMessage) (simulator.Settings, error) {
	if len(text) == 0 {
		return simulator.Settings{}, errors.New("settings are missing")
	}
	site, err := simulator.ReadSettings(text)
	if err == nil {
		err = checkSettings(site)
	}
	if err != nil {
		return simulator.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return site, nil
}

// parseKnownEndpoints decodes the endpoint list of a configuration, which may be absent.
func parseKnownEndpoints(text json.RawMessage, zones []string) (endpointList, error) {
	if len(text) == 0 || string(text) == "null" {
		return endpointList{}, nil
	}
	return parseEndpointList(text, zones)
}

// checkSettings rejects settings that the policy or the protocol cannot work with.
func checkSettings(site simulator.Settings) error {
	limits := site.Policy
	switch {
	case len(site.Zones) == 0 || len(site.Classes) == 0:
		return fmt.Errorf("%d zones and %d traffic classes; at least one of each is required", len(site.Zones), len(site.Classes))
	case limits.Proxies < 1 || limits.Proxies > maxProxies:
		return fmt.Errorf("%d proxies; there must be 1 to %d", limits.Proxies, maxProxies)
	case !(limits.EntriesPerSecond > 0) || !(limits.MaxBacklog > 0):
		return fmt.Errorf("a channel of %g entries per second with a backlog of %g; both must be above 0",
			limits.EntriesPerSecond, limits.MaxBacklog)
	case limits.Sharded:
		return errors.New("sharded tables are not supported")
	}
	if err := checkNames(site.Zones); err != nil {
		return err
	}
	return checkNames(site.Classes)
}

func checkNames(names []string) error {
	for index, name := range names {
		if !isValidName(name) || slices.Contains(names[:index], name) {
			return fmt.Errorf("name %q is not valid in a message, or is used twice", name)
		}
	}
	return nil
}
