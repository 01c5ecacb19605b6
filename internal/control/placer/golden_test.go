package placer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/goldentest"
)

// goldenModels returns count models of one kind, each named with the prefix and a number.
func goldenModels(prefix string, count int, model configuration.Model) []configuration.Model {
	var models []configuration.Model
	for i := range count {
		model.Name = fmt.Sprintf("%s%d", prefix, i)
		models = append(models, model)
	}
	return models
}

// goldenEngine returns an engine with the models.
func goldenEngine(
	weightsMB float64, adapterSlots int, loadsPerS float64, models ...[]configuration.Model,
) configuration.Engine {
	return configuration.Engine{
		Slots: 16, WeightMemoryMB: weightsMB, AdapterSlots: adapterSlots, LoadsPerSecond: loadsPerS,
		Models: slices.Concat(models...),
	}
}

// goldenScenarios returns the runs whose decisions are recorded.
func goldenScenarios() []goldenScenario {
	heavy := configuration.Model{WeightsMB: 72700, LoadTimeSeconds: 5.7, AdapterCount: 9, AdapterSizeMB: 66}
	light := configuration.Model{WeightsMB: 30100, LoadTimeSeconds: 2.9}
	small := configuration.Model{WeightsMB: 9700, LoadTimeSeconds: 1.3, AdapterCount: 3, AdapterSizeMB: 40}
	chat := goldenService{
		name: "chat", endpoints: 9, zones: 3, requestsPerSecond: 240, busyModels: 2, dormantModels: 2, phase: 17 * time.Second,
		engine: goldenEngine(150000, 4, 1.5, goldenModels("heavy", 4, heavy), goldenModels("light", 6, light)),
	}
	embed := goldenService{
		name: "embed", endpoints: 3, zones: 2, requestsPerSecond: 12, busyModels: 1, dormantModels: 1, phase: 31 * time.Second,
		engine: goldenEngine(70000, 2, 0.9, goldenModels("light", 4, light)),
	}
	many := goldenService{
		name: "many", endpoints: 4, zones: 2, requestsPerSecond: 25, busyModels: 3, dormantModels: 4, phase: 11 * time.Second,
		engine: goldenEngine(120000, 5, 2.8, goldenModels("small", 30, small), goldenModels("heavy", 1, heavy)),
	}
	scarce := goldenService{
		name: "scarce", endpoints: 16, zones: 4, requestsPerSecond: 200, busyModels: 2, dormantModels: 0, phase: 13 * time.Second,
		engine: goldenEngine(110000, 3, 0.6, goldenModels("heavy", 8, heavy), goldenModels("light", 8, light)),
	}
	lent := goldenService{
		name: "lent", endpoints: 24, zones: 3, requestsPerSecond: 120, busyModels: 2, dormantModels: 0, phase: 19 * time.Second,
		engine: goldenEngine(30000, 2, 2, goldenModels("small", 2, configuration.Model{
			WeightsMB: 9700, LoadTimeSeconds: 1.3,
			AdapterCount: 25, AdapterSizeMB: 40,
		}), goldenModels("light", 3, light)),
	}
	changes := map[time.Duration]func(c *configuration.Configuration){
		50 * time.Second: func(c *configuration.Configuration) { // one model is removed, one is added, one has grown
			models := c.Services[0].Engine.Models[1:]
			models[2].WeightsMB *= 1.2
			c.Services[0].Engine.Models = append(models, configuration.Model{Name: "new", WeightsMB: 51000, LoadTimeSeconds: 4})
		},
		95 * time.Second: func(c *configuration.Configuration) { // the second service is removed
			c.Services = append(c.Services[:1:1], c.Services[2:]...)
		},
		110 * time.Second: func(c *configuration.Configuration) { c.Services[0].Engine.LoadsPerSecond = 0.7 },
	}
	var scenarios []goldenScenario
	for seed := range uint64(2) {
		for _, inspect := range []bool{true, false} {
			kind := map[bool]string{true: "inspecting", false: "blind"}[inspect]
			scenarios = append(scenarios,
				goldenScenario{
					name: fmt.Sprintf("mixed-%s-%d", kind, seed), seed: seed, inspect: inspect,
					length: 150 * time.Second, services: []goldenService{chat, embed}, faultRate: 0.3, orderLoss: 0.08,
					takeovers: []time.Duration{75 * time.Second, 120 * time.Second}, handoverGap: time.Second, changes: changes,
				},
				goldenScenario{
					name: fmt.Sprintf("many-%s-%d", kind, seed), seed: 100 + seed, inspect: inspect,
					length: 90 * time.Second, services: []goldenService{many}, faultRate: 0.1, orderLoss: 0.05,
					takeovers: []time.Duration{40 * time.Second}, handoverGap: 2 * time.Second,
				},
				goldenScenario{
					name: fmt.Sprintf("scarce-%s-%d", kind, seed), seed: 200 + seed, inspect: inspect,
					length: 120 * time.Second, services: []goldenService{scarce}, faultRate: 0.8, orderLoss: 0.25,
					takeovers: []time.Duration{31 * time.Second, 33 * time.Second}, handoverGap: 300 * time.Millisecond,
				},
				goldenScenario{
					name: fmt.Sprintf("adapters-%s-%d", kind, seed), seed: 300 + seed, inspect: inspect,
					length: 45 * time.Second, services: []goldenService{lent}, faultRate: 0.2, orderLoss: 0.05,
					takeovers: []time.Duration{30 * time.Second}, handoverGap: time.Second,
				})
		}
	}
	return scenarios
}

// exact formats a number with all its digits.
func exact(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func (f *goldenFleet) record(format string, arguments ...any) {
	f.lines = append(f.lines, fmt.Sprintf("%.3f ", f.now.Seconds())+fmt.Sprintf(format, arguments...))
}

// recordOutput records everything that a step ordered, and its wake-up delay if that differs from the previous step's.
func (f *goldenFleet) recordOutput(now time.Time, out Output) {
	for _, order := range out.Orders {
		operation, revision := "load", "none"
		if order.Unload {
			operation = "unload"
		}
		if order.Revision != nil {
			revision = strconv.FormatUint(*order.Revision, 10)
		}
		f.record("order %d %s %s %s %s %q revision %s reason %q", order.ID, order.Endpoint, order.Address, operation,
			order.Model, order.Adapter, revision, order.Reason)
	}
	if len(out.Inspect) > 0 {
		f.record("inspect %s", strings.Join(out.Inspect, " "))
	}
	if wake := out.WakeAt.Sub(now); wake != f.lastWake {
		f.lastWake = wake
		f.record("wake in %v", wake)
	}
}

// recordState records the placer's state with all digits. Only numbers that contain a sum over adapters in the iteration
// order of a map are rounded, to nine digits, because their last digits differ between runs.
func (f *goldenFleet) recordState() {
	p := f.placer
	now := time.Unix(1e9, 0).Add(f.now)
	c := p.counters
	f.record("counters loads %d warm %d unloads %d adapters %d inspections %d rejected %d unanswered %d dropped %d",
		c.Loads, c.WarmLoads, c.Unloads, c.Adapters, c.Inspections, c.Rejected, c.Unanswered, c.Inadmissible)
	f.record("rate limit %d own %d others %d", p.loadLimiter.limit, len(p.loadLimiter.ownLoads), len(p.loadLimiter.inheritedLoads))
	for _, fleet := range p.sortedFleets() {
		f.record("service %s token time %s", fleet.name, exact(fleet.secondsPerToken))
		for _, e := range fleet.sortedEndpoints {
			var copies []string
			for i := range e.models {
				loaded := &e.models[i]
				copies = append(copies, loaded.model+"("+strings.Join(loaded.adapters, ",")+")")
			}
			pending, plan := "none", "none"
			if e.pending != nil {
				pending = fmt.Sprintf("%d phase %d", e.pending.order.ID, e.pending.phase)
			}
			if e.plan != nil {
				plan = fmt.Sprintf("%s without %v score %.9g", e.plan.target, e.plan.evictions, e.plan.score)
			}
			f.record("endpoint %s used %s known %v revision %d pending %s plan %s disk %v holds %s", e.ID, exact(e.utilization),
				e.stateKnown, e.revision, pending, plan, slices.Sorted(maps.Keys(e.onDisk)), strings.Join(copies, " "))
		}
		for _, l := range p.newPlacementTable(now, fleet).placements {
			line := fmt.Sprintf("model %s rate %s steady %s time %s level %s adapter gain %.9g", l.model, exact(l.projectedRate),
				exact(l.longTermRate), exact(l.offeredLoad), exact(l.fairLevel), l.adapterGain)
			if d := l.demand; d != nil {
				line += fmt.Sprintf(" value %s unmet %s waiting %d running %d cost %s", exact(d.value), exact(d.unmet),
					d.waiting, d.running, exact(d.secondsPerToken))
			}
			f.record("%s", line)
		}
	}
}

// TestDecisionsAreAsRecorded simulates seeded fleets and compares everything that the placer decides and assumes with the
// records in testdata/golden, which the code of 73ca247 wrote. A difference is a change of behaviour. The records are
// written again only if the change is intended.
func TestDecisionsAreAsRecorded(t *testing.T) {
	for _, s := range goldenScenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			goldentest.CompareLines(t, s.name, newGoldenFleet(s).run())
		})
	}
}
