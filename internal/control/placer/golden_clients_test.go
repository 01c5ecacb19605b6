package placer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/portablemath"
	"raventrestle/internal/protocol"
)

// goldenRouters is the number of routers that send reports.
const goldenRouters = 3

// goldenKey identifies the demand for a model or an adapter at one router.
type goldenKey struct {
	router                  int
	service, model, adapter string
}

func (k goldenKey) compare(other goldenKey) int {
	return cmp.Or(cmp.Compare(k.router, other.router), cmp.Compare(k.service, other.service),
		cmp.Compare(k.model, other.model), cmp.Compare(k.adapter, other.adapter))
}

// goldenDemand is the demand that one router has counted for one key.
type goldenDemand struct {
	row              protocol.ModelDemand // since its last report
	waiting, running int
}

// rate returns how many requests per second arrive for the service's model at the current time.
func (f *goldenFleet) rate(s goldenService, index int) float64 {
	models := len(s.engine.Models)
	if index >= models-s.dormantModels {
		return 0
	}
	phase := int(f.now / s.phase)
	if place := (index + models - phase%models) % models; place < s.busyModels {
		return s.requestsPerSecond * 0.85 / float64(s.busyModels)
	}
	if index%2 == 0 {
		return s.requestsPerSecond * 0.01
	}
	return s.requestsPerSecond * 0.12 / float64(models)
}

func (f *goldenFleet) poisson(mean float64) int {
	limit, product, n := portablemath.Exp(-mean), f.random.Float64(), 0
	for product > limit {
		n++
		product *= f.random.Float64()
	}
	return n
}

// generateTraffic simulates the arrival, waiting, execution and end of requests during one tick.
func (f *goldenFleet) generateTraffic() {
	for _, key := range slices.SortedFunc(maps.Keys(f.demand), goldenKey.compare) {
		d := f.demand[key]
		for range d.running {
			if f.chance(0.03) {
				d.running--
			}
		}
		for range d.waiting {
			switch {
			case f.isServed(key):
				d.waiting--
				d.running++
			case f.chance(0.02):
				d.waiting--
				d.row.Unserved++
			}
		}
	}
	for _, s := range f.scenario.services {
		for i, model := range s.engine.Models {
			for range f.poisson(f.rate(s, i) * goldenTick.Seconds()) {
				f.addRequest(s, model)
			}
		}
	}
}

func (f *goldenFleet) addRequest(s goldenService, model configuration.Model) {
	key := goldenKey{router: f.random.IntN(goldenRouters), service: s.name, model: model.Name}
	if model.AdapterCount > 0 && f.chance(0.5) {
		share := f.random.Float64()
		key.adapter = fmt.Sprintf("a%d", 1+int(float64(model.AdapterCount)*math.Sqrt(share)*share))
	}
	d := f.demand[key]
	if d == nil {
		d = &goldenDemand{}
		f.demand[key] = d
	}
	d.row.Requests++
	d.row.Tokens += int64(200 + f.random.IntN(1500))
	d.row.Value += int64(1 + f.random.IntN(10))
	switch {
	case f.isServed(key):
		d.running++
	case f.chance(0.5):
		d.waiting++
	default:
		d.row.Unserved++
	}
}

// isServed reports whether an endpoint serves the model and adapter of the key.
func (f *goldenFleet) isServed(key goldenKey) bool {
	for _, e := range f.endpoints {
		adapters, there := e.models[key.model]
		if e.up && !e.draining && e.service == key.service && there &&
			(key.adapter == "" || slices.Contains(adapters, key.adapter)) {
			return true
		}
	}
	return false
}

// sendReports sends each router's report every half second, except in the last four seconds of every 70 seconds.
func (f *goldenFleet) sendReports() {
	if f.now%(70*time.Second) > 66*time.Second {
		return
	}
	for router := range goldenRouters {
		if (f.now+time.Duration(router)*3*goldenTick)%(500*time.Millisecond) != 0 {
			continue
		}
		report := protocol.Report{Node: fmt.Sprintf("r%d", router), Sequence: uint64(f.now), Window: 500 * time.Millisecond}
		for _, key := range slices.SortedFunc(maps.Keys(f.demand), goldenKey.compare) {
			if key.router != router {
				continue
			}
			d := f.demand[key]
			row := d.row
			row.Service, row.Model, row.Adapter = key.service, key.model, key.adapter
			row.Queued, row.InFlight = d.waiting, d.running
			d.row = protocol.ModelDemand{}
			if row.Requests+row.Unserved+row.Queued+row.InFlight > 0 {
				report.Models = append(report.Models, row)
			}
		}
		f.after(0, func() { f.input.Reports = append(f.input.Reports, report) })
	}
}
