package daydraw

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Entry is one trouble or one piece of planned work.
type Entry struct {
	At      float64 `toml:"at"`
	Kind    Kind    `toml:"kind"`
	On      string  `toml:"on,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	ToZone  string  `toml:"to_zone,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
	Count   int     `toml:"count,omitempty"`
	Share   float64 `toml:"share,omitempty"`
	X       float64 `toml:"x,omitempty"`
	GapS    float64 `toml:"gap_s,omitempty"`
	ForS    float64 `toml:"for_s,omitempty"`
	How     string  `toml:"how,omitempty"`
}

// Closing is the fault at the end of a day.
type Closing struct {
	Kind  Kind    `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty"`
}

// Goal is the service below which a day fails the gate; a drawn day asks for none.
type Goal struct {
	Floor float64 `toml:"floor"`
}

// Day is one day of the bench.
type Day struct {
	Name         string           `toml:"name"`
	Slot         string           `toml:"slot"`
	Seed         int64            `toml:"seed"`
	Closing      *Closing         `toml:"closing,inline,omitempty"`
	Small        map[string]any   `toml:"small,inline,omitempty"`
	One          float64          `toml:"one"`
	Zero         float64          `toml:"zero"`
	Goal         Goal             `toml:"goal,inline"`
	FloorClasses []float64        `toml:"floor_classes"`
	FloorZones   []float64        `toml:"floor_zones"`
	Labels       []string         `toml:"labels"`
	Wall         float64          `toml:"wall"`
	Light        bool             `toml:"light"`
	Plan         []Entry          `toml:"plan,inline,multiline"`
	Faults       []Entry          `toml:"faults,inline,multiline"`
	Traffic      []map[string]any `toml:"traffic,inline,multiline"`
}

// What every drawn day says of itself: it is played for its rules, not for a score.
const (
	drawnSlot = "trouble"
	drawnOne  = 0.5
	drawnWall = 5.0
)

// Encode writes the day as a `[[day]]` block.
func (d *Day) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := toml.NewEncoder(&out).SetIndentSymbol("") // any other is repeated before each key of a line
	err := encoder.Encode(struct {
		Days []*Day `toml:"day"`
	}{[]*Day{d}})
	return out.Bytes(), err
}

// EntryError tells of an entry that the bench's page doesn't know.
type EntryError struct {
	Day    string
	Kind   Kind
	Reason string
}

// Error names the day and the kind.
func (e *EntryError) Error() string { return fmt.Sprintf("day %s: %s %s", e.Day, e.Kind, e.Reason) }

// Check compares every entry with the table of known kinds.
func (d *Day) Check() error {
	for _, entry := range d.Plan {
		if err := d.checkEntry(entry, true); err != nil {
			return err
		}
	}
	for _, entry := range d.Faults {
		if err := d.checkEntry(entry, false); err != nil {
			return err
		}
	}
	return d.checkClosing()
}

func (d *Day) checkEntry(entry Entry, planned bool) error {
	known, is := forms[entry.Kind]
	switch {
	case !is:
		return &EntryError{d.Name, entry.Kind, "is no known kind"}
	case known.planned != planned:
		return &EntryError{d.Name, entry.Kind, "stands on the wrong side of plan and faults"}
	case entry.At <= 0:
		return &EntryError{d.Name, entry.Kind, "has no time"}
	}
	for word := range strings.FieldsSeq(entry.How) {
		if !known.allows(word) {
			return &EntryError{d.Name, entry.Kind, fmt.Sprintf("can't be %q", word)}
		}
	}
	return nil
}

func (d *Day) checkClosing() error {
	if d.Closing == nil {
		return nil
	}
	words, is := closings[d.Closing.Kind]
	if !is {
		return &EntryError{d.Name, d.Closing.Kind, "is no known closing fault"}
	}
	for word := range strings.FieldsSeq(d.Closing.How) {
		if !slices.Contains(words, word) {
			return &EntryError{d.Name, d.Closing.Kind, fmt.Sprintf("can't be %q", word)}
		}
	}
	return nil
}
