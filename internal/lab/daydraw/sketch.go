package daydraw

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
)

// drawnLength is the length of day, in seconds, that the themes' times are stated for; longer and shorter days are
// scaled.
const drawnLength = 34.0

// sketch is a day being drawn.
type sketch struct {
	random  *rand.Rand
	site    *Site
	plan    []Entry
	faults  []Entry
	closing *Closing
}

// newSketch starts a day; theme and seed alone decide the luck.
func newSketch(site *Site, theme string, seed uint64) *sketch {
	hash := fnv.New64a()
	hash.Write([]byte(theme)) // never fails
	return &sketch{random: rand.New(rand.NewPCG(seed, hash.Sum64())), site: site}
}

// Draw makes the day of a theme and seed.
func Draw(site *Site, name string, seed uint64) (*Day, error) {
	theme, err := find(name)
	if err != nil {
		return nil, err
	}
	s := newSketch(site, name, seed)
	theme.draw(s)
	s.add(Entry{At: 1, Kind: ModelShift, Count: 1, ForS: 6})
	day := s.day(fmt.Sprintf("%s-%d", name, seed))
	return day, day.Check()
}

// day finishes the sketch with the traffic of one of the site's days.
func (s *sketch) day(name string) *Day {
	pattern := s.site.Days[s.random.IntN(len(s.site.Days))]
	return &Day{
		Name:         name,
		Slot:         drawnSlot,
		Seed:         1 + s.random.Int64N(1e9),
		Closing:      s.closing,
		Small:        pattern.Small,
		One:          drawnOne,
		FloorClasses: []float64{0},
		FloorZones:   []float64{0},
		Labels:       []string{},
		Wall:         drawnWall,
		Plan:         s.plan,
		Faults:       s.faults,
		Traffic:      pattern.Traffic,
	}
}

// add puts an entry under plan or faults, unless the site doesn't have its kind.
func (s *sketch) add(entry Entry) {
	if !s.site.has(entry.Kind) {
		return
	}
	entry.At = round(entry.At)
	entry.ForS = round(entry.ForS)
	entry.GapS = round(entry.GapS)
	if forms[entry.Kind].planned {
		s.plan = append(s.plan, entry)
		return
	}
	s.faults = append(s.faults, entry)
}

// close sets the fault at the end of the day; the first theme of a mix decides.
func (s *sketch) close(kind Kind, words ...string) {
	if s.closing != nil {
		return
	}
	s.closing = &Closing{Kind: kind, DownS: s.between(0.5, 2), How: s.pick(words...)}
}

// at draws a time of the day, stated for a day of drawnLength.
func (s *sketch) at(low, high float64) float64 {
	return s.between(low, high) * s.site.LengthS / drawnLength
}

// between draws a figure with two decimals.
func (s *sketch) between(low, high float64) float64 {
	return round(low + s.random.Float64()*(high-low))
}

// number draws a whole number, both ends included.
func (s *sketch) number(low, high int) int { return low + s.random.IntN(high-low+1) }

// chance is true with this probability.
func (s *sketch) chance(probability float64) bool { return s.random.Float64() < probability }

// pick draws one of some words; with none, it is empty.
func (s *sketch) pick(words ...string) string {
	if len(words) == 0 {
		return ""
	}
	return words[s.random.IntN(len(words))]
}

// some draws words, each with this probability, after a first one.
func (s *sketch) some(first string, probability float64, words ...string) string {
	chosen := []string{first}
	for _, word := range words {
		if s.chance(probability) {
			chosen = append(chosen, word)
		}
	}
	return strings.TrimSpace(strings.Join(chosen, " "))
}

// machines draws how many counted machines a trouble strikes: one, or now and then as many as the site must bear.
func (s *sketch) machines() int {
	const several = 0.5
	if s.site.Tolerate.Machines > 1 && s.chance(several) {
		return s.number(2, s.site.Tolerate.Machines)
	}
	return 1
}

// zone and service draw a place.
func (s *sketch) zone() string { return s.site.Zones[s.random.IntN(len(s.site.Zones))].Name }

func (s *sketch) service() string { return s.site.Services[s.random.IntN(len(s.site.Services))].Name }
func (s *sketch) class() Class    { return s.site.Classes[s.random.IntN(len(s.site.Classes))] }

// aroundConfig draws a time, in seconds, on either side of the one in which a configuration comes into force.
func (s *sketch) aroundConfig() float64 {
	return s.between(0.5, 2.5) * s.site.Bounds.ConfigMS / millisecondsPerSecond
}

// aroundDrain draws a time, in seconds, on either side of the one that a leaving endpoint serves on.
func (s *sketch) aroundDrain() float64 {
	return s.between(0.5, 2) * s.site.Bounds.DrainMS / millisecondsPerSecond
}

// afterCatchUp draws the time from the end of a trouble until the machine counts as whole again, or just before.
func (s *sketch) afterCatchUp() float64 { return s.site.Timing.CatchUpS + s.between(-0.5, 1.5) }

const millisecondsPerSecond = 1000

func round(figure float64) float64 { return math.Round(figure*100) / 100 }
