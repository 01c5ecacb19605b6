package faultschedule

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Event is one fault or one planned operation. Which fields apply, and what Magnitude measures, depends on the kind.
type Event struct {
	At        float64 `toml:"at"`
	Kind      Kind    `toml:"kind"`
	On        string  `toml:"on,omitempty"`
	Zone      string  `toml:"zone,omitempty"`
	ToZone    string  `toml:"to_zone,omitempty"`
	Service   string  `toml:"service,omitempty"`
	Class     string  `toml:"class,omitempty"`
	Count     int     `toml:"count,omitempty"`
	Share     float64 `toml:"share,omitempty"`
	Magnitude float64 `toml:"x,omitempty"`
	GapS      float64 `toml:"gap_s,omitempty"`
	DurationS float64 `toml:"for_s,omitempty"`
	How       string  `toml:"how,omitempty"`
}

// ClosingFault is the fault at the end of a schedule.
type ClosingFault struct {
	Kind  Kind    `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty"`
}

// Goal is the service below which a schedule fails the benchmark. Generated schedules leave it at 0.
type Goal struct {
	Floor float64 `toml:"floor"`
}

// Schedule is one `[[day]]` block of the benchmark: its traffic, planned operations and faults.
type Schedule struct {
	Name         string           `toml:"name"`
	Slot         string           `toml:"slot"`
	Seed         int64            `toml:"seed"`
	Closing      *ClosingFault    `toml:"closing,inline,omitempty"`
	Small        map[string]any   `toml:"small,inline,omitempty"`
	One          float64          `toml:"one"`
	Zero         float64          `toml:"zero"`
	Goal         Goal             `toml:"goal,inline"`
	FloorClasses []float64        `toml:"floor_classes"`
	FloorZones   []float64        `toml:"floor_zones"`
	Labels       []string         `toml:"labels"`
	Wall         float64          `toml:"wall"`
	Light        bool             `toml:"light"`
	Plan         []Event          `toml:"plan,inline,multiline"`
	Faults       []Event          `toml:"faults,inline,multiline"`
	Traffic      []map[string]any `toml:"traffic,inline,multiline"`
}

// Values of the keys slot, one and wall in every generated schedule. A generated schedule is run to check the benchmark's
// rules, not for a score.
const (
	generatedSlot = "trouble"
	generatedOne  = 0.5
	generatedWall = 5.0
)

// Encode returns the schedule as a `[[day]]` block in TOML.
func (d *Schedule) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := toml.NewEncoder(&out).SetIndentSymbol("") // the encoder would repeat an indent before each key of an inline table
	err := encoder.Encode(struct {
		Days []*Schedule `toml:"day"`
	}{[]*Schedule{d}})
	return out.Bytes(), err
}

// EventError reports an event or closing fault that the benchmark would not accept.
type EventError struct {
	Schedule string
	Kind     Kind
	Reason   string
}

// Error names the schedule, the kind and the reason.
func (e *EventError) Error() string {
	return fmt.Sprintf("day %s: %s %s", e.Schedule, e.Kind, e.Reason)
}

// Check compares every event and the closing fault with the tables of known kinds and returns the first EventError.
func (d *Schedule) Check() error {
	for _, event := range d.Plan {
		if err := d.checkEvent(event, true); err != nil {
			return err
		}
	}
	for _, event := range d.Faults {
		if err := d.checkEvent(event, false); err != nil {
			return err
		}
	}
	return d.checkClosing()
}

func (d *Schedule) checkEvent(event Event, planned bool) error {
	spec, ok := kindSpecs[event.Kind]
	switch {
	case !ok:
		return &EventError{d.Name, event.Kind, "is not a known kind of event"}
	case spec.planned != planned:
		return &EventError{d.Name, event.Kind, "is in the wrong list, plan or faults"}
	case event.At <= 0:
		return &EventError{d.Name, event.Kind, "has no time"}
	}
	for modifier := range strings.FieldsSeq(event.How) {
		if !spec.allowsModifier(modifier) {
			return &EventError{d.Name, event.Kind, fmt.Sprintf("does not accept %q in how", modifier)}
		}
	}
	return nil
}

func (d *Schedule) checkClosing() error {
	if d.Closing == nil {
		return nil
	}
	allowed, ok := closingModifiers[d.Closing.Kind]
	if !ok {
		return &EventError{d.Name, d.Closing.Kind, "is not a known closing fault"}
	}
	for modifier := range strings.FieldsSeq(d.Closing.How) {
		if !slices.Contains(allowed, modifier) {
			return &EventError{d.Name, d.Closing.Kind, fmt.Sprintf("does not accept %q in how", modifier)}
		}
	}
	return nil
}
