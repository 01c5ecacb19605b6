package faultschedule

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
)

// referenceLength is the length of a schedule, in seconds, for which the themes state their times. scaledTime scales the
// times for sites with longer or shorter schedules.
const referenceLength = 34.0

// generator collects the events of one schedule while a theme draws them.
type generator struct {
	rng     *rand.Rand
	site    *Site
	plan    []Event
	faults  []Event
	closing *ClosingFault
}

// newGenerator returns a generator whose random numbers depend on the theme and the seed only.
func newGenerator(site *Site, theme string, seed uint64) *generator {
	hash := fnv.New64a()
	hash.Write([]byte(theme)) // a hash never returns an error
	return &generator{rng: rand.New(rand.NewPCG(seed, hash.Sum64())), site: site}
}

// Generate returns the schedule of a theme and a seed. On a site with the contract "engine", every schedule contains one
// ModelShift event besides those of its theme.
func Generate(site *Site, name string, seed uint64) (*Schedule, error) {
	theme, err := findTheme(name)
	if err != nil {
		return nil, err
	}
	s := newGenerator(site, name, seed)
	theme.generate(s)
	s.add(Event{At: 1, Kind: ModelShift, Count: 1, DurationS: 6})
	schedule := s.schedule(fmt.Sprintf("%s-%d", name, seed))
	return schedule, schedule.Check()
}

// schedule returns the collected events as a schedule, with the traffic of a randomly chosen schedule of the site file.
func (g *generator) schedule(name string) *Schedule {
	template := g.site.Schedules[g.rng.IntN(len(g.site.Schedules))]
	return &Schedule{
		Name:         name,
		Slot:         generatedSlot,
		Seed:         1 + g.rng.Int64N(1e9),
		Closing:      g.closing,
		Small:        template.Small,
		One:          generatedOne,
		FloorClasses: []float64{0},
		FloorZones:   []float64{0},
		Labels:       []string{},
		Wall:         generatedWall,
		Plan:         g.plan,
		Faults:       g.faults,
		Traffic:      template.Traffic,
	}
}

// add appends the event to plan or faults, as its kind requires. It drops events that the site does not support.
func (g *generator) add(event Event) {
	if !g.site.supports(event.Kind) {
		return
	}
	event.At = roundToHundredths(event.At)
	event.DurationS = roundToHundredths(event.DurationS)
	event.GapS = roundToHundredths(event.GapS)
	if kindSpecs[event.Kind].planned {
		g.plan = append(g.plan, event)
		return
	}
	g.faults = append(g.faults, event)
}

// setClosingFault sets the fault at the end of the schedule, with one of the given modifiers. It does nothing if there is
// one already, so in a mix the first theme decides.
func (g *generator) setClosingFault(kind Kind, modifiers ...string) {
	if g.closing != nil {
		return
	}
	g.closing = &ClosingFault{Kind: kind, DownS: g.uniform(0.5, 2), How: g.oneOf(modifiers...)}
}

// scaledTime draws a time or duration in seconds between low and high, which are stated for a schedule of
// referenceLength, and scales it to the length of the site's schedules.
func (g *generator) scaledTime(low, high float64) float64 {
	return g.uniform(low, high) * g.site.LengthS / referenceLength
}

// uniform draws a number between low and high, rounded to two decimals.
func (g *generator) uniform(low, high float64) float64 {
	return roundToHundredths(low + g.rng.Float64()*(high-low))
}

// intBetween draws an integer from low to high, both included.
func (g *generator) intBetween(low, high int) int { return low + g.rng.IntN(high-low+1) }

// chance returns true with the given probability.
func (g *generator) chance(probability float64) bool { return g.rng.Float64() < probability }

// oneOf draws one of the choices. Without choices it returns the empty string and draws no random number.
func (g *generator) oneOf(choices ...string) string {
	if len(choices) == 0 {
		return ""
	}
	return choices[g.rng.IntN(len(choices))]
}

// withOptional returns first, followed by each of the optional words with the given probability, separated by spaces.
func (g *generator) withOptional(first string, probability float64, optional ...string) string {
	chosen := []string{first}
	for _, choice := range optional {
		if g.chance(probability) {
			chosen = append(chosen, choice)
		}
	}
	return strings.TrimSpace(strings.Join(chosen, " "))
}

// machineCount draws how many core machines a fault affects: one, or, if the site must tolerate the loss of several,
// between two and that many in half of the cases.
func (g *generator) machineCount() int {
	const severalProbability = 0.5
	if g.site.Tolerance.Machines > 1 && g.chance(severalProbability) {
		return g.intBetween(2, g.site.Tolerance.Machines)
	}
	return 1
}

func (g *generator) randomZone() string { return g.site.Zones[g.rng.IntN(len(g.site.Zones))].Name }

func (g *generator) randomService() string {
	return g.site.Services[g.rng.IntN(len(g.site.Services))].Name
}

func (g *generator) randomClass() Class { return g.site.Classes[g.rng.IntN(len(g.site.Classes))] }

// nearConfigDeadline draws a duration in seconds from half to two and a half times the bound within which a configuration
// change must take effect, so that faults end before and after that bound.
func (g *generator) nearConfigDeadline() float64 {
	return g.uniform(0.5, 2.5) * g.site.Bounds.ConfigMS / millisecondsPerSecond
}

// nearDrainTime draws a duration in seconds from half to twice the time for which a draining endpoint continues to serve,
// so that faults end before and after the drain.
func (g *generator) nearDrainTime() float64 {
	return g.uniform(0.5, 2) * g.site.Bounds.DrainMS / millisecondsPerSecond
}

// catchUpDelay draws the delay in seconds from the end of a fault to the next one. It lies around the time after which a
// returned machine no longer counts as lost: up to 0.5 s before it and up to 1.5 s after it.
func (g *generator) catchUpDelay() float64 { return g.site.Timing.CatchUpS + g.uniform(-0.5, 1.5) }

const millisecondsPerSecond = 1000

func roundToHundredths(value float64) float64 { return math.Round(value*100) / 100 }
