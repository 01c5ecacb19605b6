package daydraw

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Site is what a day needs to know of a site file.
type Site struct {
	Name      string    `toml:"name"`
	Contracts []string  `toml:"contracts"`
	LengthS   float64   `toml:"length_s"`
	Zones     []Zone    `toml:"zones"`
	Services  []Service `toml:"services"`
	Classes   []Class   `toml:"classes"`
	Timing    Timing    `toml:"timing"`
	Tolerate  Tolerate  `toml:"tolerate"`
	Bounds    Bounds    `toml:"bounds"`
	Days      []Pattern `toml:"day"`
}

// Zone is a place of clients, machines and endpoints.
type Zone struct {
	Name string `toml:"name"`
}

// Service is a group of endpoints.
type Service struct {
	Name string `toml:"name"`
}

// Class is a kind of request.
type Class struct {
	Name  string  `toml:"name"`
	AimMS float64 `toml:"aim_ms"`
}

// Timing holds how long a returned machine still counts as lost.
type Timing struct {
	CatchUpS float64 `toml:"catch_up_s"`
}

// Tolerate is what may be lost at once while all rules hold.
type Tolerate struct {
	Machines int `toml:"machines"`
}

// Bounds are the figures of the rules that troubles are aimed at.
type Bounds struct {
	ConfigMS float64 `toml:"config_ms"`
	DrainMS  float64 `toml:"drain_ms"`
}

// Pattern is a standard day, of which a drawn one takes the traffic and the smaller twin.
type Pattern struct {
	Traffic []map[string]any `toml:"traffic"`
	Small   map[string]any   `toml:"small"`
}

// SiteError tells what a site file lacks.
type SiteError struct {
	File   string
	Item   string
	Reason string
}

// Error names the file and the item.
func (e *SiteError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Item, e.Reason) }

// ReadSite reads and checks a site file.
func ReadSite(path string) (*Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSite(path, text)
}

// ParseSite reads and checks the text of a site file; the path is for messages.
func ParseSite(path string, text []byte) (*Site, error) {
	site := new(Site)
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(site); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if item, reason := site.lacks(); item != "" {
		return nil, &SiteError{File: path, Item: item, Reason: reason}
	}
	return site, nil
}

// lacks names the first item without which no day can be drawn.
func (s *Site) lacks() (item, reason string) {
	switch {
	case len(s.Zones) == 0:
		return "zones", "there is none"
	case len(s.Services) == 0:
		return "services", "there is none"
	case len(s.Classes) == 0:
		return "classes", "there is none"
	case s.LengthS <= 0:
		return "length_s", "is missing or not above 0"
	case s.Tolerate.Machines < 1:
		return "tolerate.machines", "is missing or below 1"
	case s.Timing.CatchUpS <= 0:
		return "timing.catch_up_s", "is missing or not above 0"
	case s.Bounds.ConfigMS <= 0:
		return "bounds.config_ms", "is missing or not above 0"
	case s.Bounds.DrainMS <= 0:
		return "bounds.drain_ms", "is missing or not above 0"
	case len(s.Days) == 0:
		return "day", "there is none whose traffic could be taken"
	}
	for i, day := range s.Days {
		if len(day.Traffic) == 0 {
			return fmt.Sprintf("day %d", i+1), "has no traffic"
		}
	}
	return "", ""
}

// has tells whether a kind may come on this site.
func (s *Site) has(kind Kind) bool {
	contract := forms[kind].contract
	return contract == "" || slices.Contains(s.Contracts, contract)
}
