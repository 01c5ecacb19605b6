// Package experiment reads the lab's experiments and lays out what they play. It is pure.
package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue"

	"raventrestle/internal/cuefile"
	"raventrestle/internal/settings/schema"
)

// Text is the schema, with a comment on every field.
//
//go:embed schema.cue
var Text string

// Seeds are those of the days.
type Seeds struct {
	First uint64 `json:"first"`
	Count uint64 `json:"count"`
}

// Variant is one side.
type Variant struct {
	Virtual  bool            `json:"virtual"`
	Courier  string          `json:"courier,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Experiment is a whole one.
type Experiment struct {
	About      string             `json:"about"`
	Scenarios  []string           `json:"scenarios"`
	Seeds      Seeds              `json:"seeds"`
	Variants   map[string]Variant `json:"variants"`
	Against    string             `json:"against"`
	SideBySide int                `json:"side_by_side"`
}

// Play is one day of one side.
type Play struct {
	Variant  string
	Scenario string
	Seed     uint64
}

func kind() cuefile.Kind {
	return cuefile.Kind{Name: "experiment", Schema: Text, Definition: "#Experiment", Check: whole}
}

// Parse checks the text and returns the experiment, all defaults filled in.
func Parse(name string, text []byte) (*Experiment, error) {
	out, err := kind().Compile(name, text)
	if err != nil {
		return nil, err
	}
	e := &Experiment{}
	if err := json.Unmarshal(out, e); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", name, err)
	}
	return e, nil
}

// whole holds what single fields can't say.
func whole(name string, v cue.Value) error {
	text, err := v.MarshalJSON()
	if err != nil {
		return err
	}
	e := &Experiment{}
	if err := json.Unmarshal(text, e); err != nil {
		return err
	}
	if _, ok := e.Variants[e.Against]; !ok {
		return fmt.Errorf("%s: field against: no variant is called %q (there are: %s)", name, e.Against, strings.Join(e.Sides(), ", "))
	}
	for i, s := range e.Scenarios {
		if slices.Contains(e.Scenarios[:i], s) {
			return fmt.Errorf("%s: field scenarios.%d: %q is there twice", name, i, s)
		}
	}
	for _, side := range e.Sides() {
		x := e.Variants[side]
		if x.Virtual && (x.Courier != "" || len(x.Settings) > 0) {
			return fmt.Errorf("%s: field variants.%s: in virtual time there is no courier's program and no settings", name, side)
		}
		if len(x.Settings) > 0 { // JSON is CUE
			if _, err := schema.Compile(name+" (settings of "+side+")", x.Settings); err != nil {
				return err
			}
		}
	}
	return nil
}

// Sides are the variants' names, the one that others are held against first.
func (e *Experiment) Sides() []string {
	all := slices.Sorted(maps.Keys(e.Variants))
	if i := slices.Index(all, e.Against); i > 0 {
		all = slices.Insert(slices.Delete(all, i, i+1), 0, e.Against)
	}
	return all
}

// Plays are all days, those in virtual time first. Sides take turns at a day, so that what changes on
// the machine meanwhile strikes all of them alike.
func (e *Experiment) Plays() (virtual, real []Play) {
	for _, s := range e.Scenarios {
		for i := range e.Seeds.Count {
			for _, side := range e.Sides() {
				p := Play{side, s, e.Seeds.First + i}
				if e.Variants[side].Virtual {
					virtual = append(virtual, p)
				} else {
					real = append(real, p)
				}
			}
		}
	}
	return virtual, real
}

// Left says about how long the rest takes: so many days are done since the start and so many are
// missing. Before the first is done nothing is known, and it is 0.
func Left(done, missing int, since time.Duration) time.Duration {
	if done == 0 {
		return 0
	}
	return (since / time.Duration(done) * time.Duration(missing)).Round(time.Second)
}
