package config

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
)

// Limits are the resource limits of the machine that a courier process runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Config is the configuration with which a courier process starts.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // address of the admin listener; "" for none
	StateDir                string // directory whose files survive a restart
	Seed                    uint64
	Limits                  Limits
	InitialEndpoints        []byte // last known endpoint list, as JSON in discovery's format
	Settings                raventrestle.Settings
	Names                   *Names
	Warnings                []string // values that could not be used, and what replaces each

	text []byte // content of the file
}

// Load reads the file named by EDGE_CONFIG. The other EDGE_ variables override the values in the file.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, true) }

// load reads the file. At startup, environment variables override the file; at a reload, they only fill in values that
// the file leaves out.
func load(getenv func(string) string, startup bool) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("EDGE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var raw struct {
		Name      string              `json:"name"`
		Listen    string              `json:"listen"`
		Discovery string              `json:"discovery"`
		Admin     string              `json:"admin"`
		State     string              `json:"state"`
		Seed      string              `json:"seed"`
		Limits    Limits              `json:"limits"`
		Known     jsoniter.RawMessage `json:"known"`
		Settings  jsoniter.RawMessage `json:"settings"`
	}
	if err := api.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{
		text: text, Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Admin: raw.Admin, StateDir: raw.State,
		Limits: raw.Limits, InitialEndpoints: raw.Known,
	}
	for name, field := range map[string]*string{
		"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery, "EDGE_ADMIN": &c.Admin, "EDGE_STATE": &c.StateDir,
	} {
		if v := getenv(name); v != "" && (startup || *field == "") {
			*field = v
		}
	}
	if c.Listen == "" || c.Discovery == "" || c.StateDir == "" {
		return nil, fmt.Errorf("config: listen, discovery and state are required")
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		c.Seed = rand.Uint64()
		c.Warnings = append(c.Warnings, fmt.Sprintf("seed %q is not a 64-bit hexadecimal number: using a random seed", raw.Seed))
	}
	for _, limit := range []struct {
		name     string
		value    *float64
		fallback float64
	}{{"cores", &c.Limits.Cores, defaultCores}, {"memory_mb", &c.Limits.MemoryMB, defaultMemoryMB}, {"disk_mb", &c.Limits.DiskMB, defaultDiskMB}} {
		if *limit.value <= 0 {
			*limit.value = limit.fallback
			c.Warnings = append(c.Warnings, fmt.Sprintf("limits.%s is missing: using %g", limit.name, limit.fallback))
		}
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
		c.Warnings = append(c.Warnings, fmt.Sprintf("limits.sockets is missing: using %d", defaultSockets))
	}
	if c.Settings, c.Names, err = ParseSettings(raw.Settings); err != nil {
		return nil, err
	}
	c.Warnings = append(c.Warnings, c.Names.Warnings...)
	for name, count := range map[string]*int{
		"balancers": &c.Settings.Forwarders, "limits.most_held": &c.Settings.MaxMessages,
		"specifics.call_slots": &c.Settings.CallSlots,
	} {
		if *count < 1 {
			*count = 1
			c.Warnings = append(c.Warnings, "settings."+name+" is missing: using 1")
		}
	}
	return c, nil
}

// Defaults for limits that the file leaves out: the smallest values that any deployment uses.
const (
	defaultCores    = 0.25
	defaultMemoryMB = 32
	defaultDiskMB   = 1
	defaultSockets  = 256
)
