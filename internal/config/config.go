package config

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
)

// Limits are those of the machine that a courier runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Config is all that a courier is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // the second address, "" for none
	State                   string // the folder that lasts
	Seed                    uint64
	Limits                  Limits
	Known                   []byte // the list as it was last held, in discovery's form
	Settings                raventrestle.Settings
	Names                   *Names
	Aside                   []string // what could not be used, and what is used in its place

	text []byte // of the file
}

// Load reads the file named by EDGE_CONFIG; the other EDGE_ variables go before it.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, true) }

func load(getenv func(string) string, first bool) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("EDGE_CONFIG names no file")
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
		text: text, Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Admin: raw.Admin, State: raw.State,
		Limits: raw.Limits, Known: raw.Known,
	}
	for name, field := range map[string]*string{
		"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery, "EDGE_ADMIN": &c.Admin, "EDGE_STATE": &c.State,
	} {
		if v := getenv(name); v != "" && (first || *field == "") {
			*field = v
		}
	}
	if c.Listen == "" || c.Discovery == "" || c.State == "" {
		return nil, fmt.Errorf("config: listen, discovery and state are needed")
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		c.Seed = rand.Uint64()
		c.Aside = append(c.Aside, fmt.Sprintf("seed %q is no number of 64 bits in hex: drawn instead", raw.Seed))
	}
	for _, x := range []struct {
		name  string
		value *float64
		least float64
	}{{"cores", &c.Limits.Cores, leastCores}, {"memory_mb", &c.Limits.MemoryMB, leastMemoryMB}, {"disk_mb", &c.Limits.DiskMB, leastDiskMB}} {
		if *x.value <= 0 {
			*x.value = x.least
			c.Aside = append(c.Aside, fmt.Sprintf("limits.%s is missing: %g taken instead", x.name, x.least))
		}
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = leastSockets
		c.Aside = append(c.Aside, fmt.Sprintf("limits.sockets is missing: %d taken instead", leastSockets))
	}
	if c.Settings, c.Names, err = Settings(raw.Settings); err != nil {
		return nil, err
	}
	c.Aside = append(c.Aside, c.Names.Aside...)
	for name, x := range map[string]*int{
		"balancers": &c.Settings.Forwarders, "limits.most_held": &c.Settings.MaxMessages,
		"specifics.call_slots": &c.Settings.CallSlots,
	} {
		if *x < 1 {
			*x = 1
			c.Aside = append(c.Aside, "settings."+name+" is missing: 1 taken instead")
		}
	}
	return c, nil
}

// The least that a deployment gives, where the file does not say.
const (
	leastCores    = 0.25
	leastMemoryMB = 32
	leastDiskMB   = 1
	leastSockets  = 256
)
