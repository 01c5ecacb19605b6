package faultschedule

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Site is the part of the benchmark's site file that the generator uses.
type Site struct {
	Name      string     `toml:"name"`
	Contracts []string   `toml:"contracts"`
	LengthS   float64    `toml:"length_s"`
	Zones     []Zone     `toml:"zones"`
	Services  []Service  `toml:"services"`
	Classes   []Class    `toml:"classes"`
	Timing    Timing     `toml:"timing"`
	Tolerance Tolerance  `toml:"tolerate"`
	Bounds    Bounds     `toml:"bounds"`
	Schedules []Template `toml:"day"`
}

// Zone is a zone in which clients, machines and endpoints run.
type Zone struct {
	Name string `toml:"name"`
}

// Service is a group of endpoints.
type Service struct {
	Name string `toml:"name"`
}

// Class is a class of requests with its latency target in milliseconds.
type Class struct {
	Name            string  `toml:"name"`
	LatencyTargetMS float64 `toml:"aim_ms"`
}

// Timing contains the time in seconds for which a returned machine still counts as lost.
type Timing struct {
	CatchUpS float64 `toml:"catch_up_s"`
}

// Tolerance is the number of core machines that may be lost at the same time without breaking a rule.
type Tolerance struct {
	Machines int `toml:"machines"`
}

// Bounds contains limits of the benchmark's rules in milliseconds. The generator places faults around them: ConfigMS is
// the time within which a configuration change must take effect, DrainMS the time for which a draining endpoint serves.
type Bounds struct {
	ConfigMS float64 `toml:"config_ms"`
	DrainMS  float64 `toml:"drain_ms"`
}

// Template is a schedule of the site file. A generated schedule takes over its traffic and its key small.
type Template struct {
	Traffic []map[string]any `toml:"traffic"`
	Small   map[string]any   `toml:"small"`
}

// SiteError reports an item of a site file that is missing or out of range.
type SiteError struct {
	File   string
	Item   string
	Reason string
}

// Error names the file, the item and the reason.
func (e *SiteError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Item, e.Reason) }

// ReadSite reads and checks a site file.
func ReadSite(path string) (*Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSite(path, text)
}

// ParseSite parses and checks the text of a site file. The path is used in error messages only.
func ParseSite(path string, text []byte) (*Site, error) {
	site := new(Site)
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(site); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if item, reason := site.invalidItem(); item != "" {
		return nil, &SiteError{File: path, Item: item, Reason: reason}
	}
	return site, nil
}

// invalidItem returns the first item that is missing or out of range, and why. Both are empty if the site is valid.
func (s *Site) invalidItem() (item, reason string) {
	switch {
	case len(s.Zones) == 0:
		return "zones", "there is none"
	case len(s.Services) == 0:
		return "services", "there is none"
	case len(s.Classes) == 0:
		return "classes", "there is none"
	case s.LengthS <= 0:
		return "length_s", "is missing or not above 0"
	case s.Tolerance.Machines < 1:
		return "tolerate.machines", "is missing or below 1"
	case s.Timing.CatchUpS <= 0:
		return "timing.catch_up_s", "is missing or not above 0"
	case s.Bounds.ConfigMS <= 0:
		return "bounds.config_ms", "is missing or not above 0"
	case s.Bounds.DrainMS <= 0:
		return "bounds.drain_ms", "is missing or not above 0"
	case len(s.Schedules) == 0:
		return "day", "there is none to take the traffic from"
	}
	for i, template := range s.Schedules {
		if len(template.Traffic) == 0 {
			return fmt.Sprintf("day %d", i+1), "has no traffic"
		}
	}
	return "", ""
}

// supports reports whether the site has the contract that events of the kind need.
func (s *Site) supports(kind Kind) bool {
	contract := kindSpecs[kind].contract
	return contract == "" || slices.Contains(s.Contracts, contract)
}
