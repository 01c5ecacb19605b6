package placer

import (
	"fmt"
	"time"

	"raventrestle/internal/configuration"
)

// fleetShape is a kind of fleet.
type fleetShape struct {
	name               string
	endpoints          int
	zones              int
	routers            int
	memoryMB           float64 // weights_mb of an endpoint
	adapterSlots       int     // of an endpoint
	slots              int     // requests that an endpoint decodes at a time
	loadsPerSecond     float64 // loads_per_s
	concurrentLoads    int     // loads from the store at a time, from which on all are slower
	models             []fleetModel
	rotatingModels     int // the first so many models take turns at being busy
	busyModels         int // number of them that are busy at a time
	classes            []requestClass
	prefillTokensPerMS float64       // of a model with relative time 1
	decodeStepMS       float64       // time of one token of each running request, of such a model
	length             time.Duration // time with traffic
	initialModels      int           // models that an endpoint has loaded at the start
	crashShare         float64       // share of the endpoints that crash together
}

// fleetModel is a model as its endpoints run it.
type fleetModel struct {
	configuration   configuration.Model
	warmLoadSeconds float64 // time of a load from the endpoint's own disk
	relativeTime    float64 // time of prefill and decode, relative to the fleet's
}

// requestClass is a kind of requests.
type requestClass struct {
	name          string
	rate          float64       // requests a second
	latencyTarget time.Duration // of the first token
	deadline      time.Duration // of being sent to an endpoint
	value         float64       // of a request with its first token in time
	lateValue     float64       // of one that is later
	promptTokens  float64       // mean
	outputTokens  float64       // mean
	spread        float64       // standard deviation of the logarithm of both
	adapterShare  float64       // share of the requests that name an adapter
	rare          bool          // asks for the models that take no turns
	priority      int
}

// bookingFleet has 12 endpoints in three zones, and few large models that take turns at being busy.
func bookingFleet() fleetShape {
	s := fleetShape{
		name: "booking", endpoints: 12, zones: 3, routers: 9, memoryMB: 180000, adapterSlots: 8, slots: 64, loadsPerSecond: 2.8,
		concurrentLoads: 14, rotatingModels: 5, busyModels: 2, prefillTokensPerMS: 19.2, decodeStepMS: 10.5,
		length: 34 * time.Second, initialModels: 2, crashShare: 0.17,
	}
	heavy := func(adapters int) fleetModel {
		model := configuration.Model{WeightsMB: 72700, LoadTimeSeconds: 5.7, AdapterCount: adapters, AdapterSizeMB: 66}
		return fleetModel{model, 1.3, 1}
	}
	light := fleetModel{configuration.Model{WeightsMB: 42700, LoadTimeSeconds: 3.3, AdapterSizeMB: 66}, 0.89, 0.6}
	fast := fleetModel{configuration.Model{WeightsMB: 65100, LoadTimeSeconds: 5.1, AdapterSizeMB: 12}, 1.2, 0.11}
	s.models = []fleetModel{heavy(37), heavy(0), heavy(20), heavy(0), heavy(20)}
	for _, kind := range "lhhfhhlhhlhlhllflf" {
		s.models = append(s.models, map[rune]fleetModel{'l': light, 'h': heavy(0), 'f': fast}[kind])
	}
	s.classes = []requestClass{
		{"brief", 26.4, 500 * time.Millisecond, 15 * time.Second, 2, 0.6, 1460, 172, 0.7, 0.1, false, 1},
		{"rewrite", 2.53, 8 * time.Second, 30 * time.Second, 3, 0.9, 1460, 172, 0.7, 0, true, 0},
		{"reply", 15.9, 400 * time.Millisecond, 10 * time.Second, 1, 0.3, 646, 70, 0.7, 0.5, false, 2},
	}
	return s.named()
}

// walletFleet has more models, and endpoints with memory for three of them.
func walletFleet() fleetShape {
	s := bookingFleet()
	s.name, s.zones, s.routers, s.memoryMB, s.concurrentLoads, s.initialModels = "wallet", 4, 8, 230000, 16, 3
	s.prefillTokensPerMS, s.decodeStepMS = 20.4, 11
	heavy := func(adapters int) fleetModel {
		model := configuration.Model{WeightsMB: 72700, LoadTimeSeconds: 6, AdapterCount: adapters, AdapterSizeMB: 66}
		return fleetModel{model, 1.2, 1}
	}
	fast := fleetModel{configuration.Model{WeightsMB: 65100, LoadTimeSeconds: 5.4, AdapterSizeMB: 12}, 1.1, 0.13}
	s.models = []fleetModel{heavy(37), heavy(0), heavy(20), heavy(0), heavy(20)}
	for _, kind := range "fffffhffffhhhhfhffffffhhfhfhffhfhhh"[:34] {
		s.models = append(s.models, map[rune]fleetModel{'h': heavy(0), 'f': fast}[kind])
	}
	s.classes = []requestClass{
		{"draft", 32.4, 500 * time.Millisecond, 15 * time.Second, 2, 1, 1460, 172, 0.7, 0.1, false, 1},
		{"review", 2.31, 10 * time.Second, 30 * time.Second, 3, 1.5, 1460, 172, 0.7, 0, true, 0},
		{"lookup", 19.4, 400 * time.Millisecond, 8 * time.Second, 1, 0.5, 646, 70, 0.7, 0.5, false, 2},
	}
	return s.named()
}

// named names the models by their place.
func (s fleetShape) named() fleetShape {
	for i := range s.models {
		s.models[i].configuration.Name = fmt.Sprintf("m%02d", i)
	}
	return s
}

// configuration is what the placer is given of the fleet.
func (s fleetShape) configuration() *configuration.Configuration {
	engine := &configuration.Engine{
		Slots: s.slots, WeightMemoryMB: s.memoryMB, AdapterSlots: s.adapterSlots, LoadsPerSecond: s.loadsPerSecond,
	}
	for _, model := range s.models {
		engine.Models = append(engine.Models, model.configuration)
	}
	return &configuration.Configuration{Generation: 1, Services: []configuration.Service{{Name: "lm", Engine: engine}}}
}

// loadInitialModels loads each rare model at one endpoint and fills up with the busy ones.
func (w *world) loadInitialModels() {
	place := func(i int, from int) {
		for j := range w.endpoints {
			e := w.endpoints[(from+j)%len(w.endpoints)]
			name := w.shape.models[i].configuration.Name
			if e.models[name] == nil && w.usedMemoryMB(e)+w.shape.models[i].configuration.WeightsMB <= w.shape.memoryMB &&
				len(e.models) < w.shape.initialModels {
				e.models[name] = map[string]bool{}
				e.onDisk[name] = true
				return
			}
		}
	}
	for i := range w.endpoints {
		if i%2 == 0 || w.shape.initialModels > 2 {
			place(i/2%w.shape.busyModels, i)
		}
	}
	for i := range w.shape.models {
		if i >= w.shape.busyModels {
			place(i, i)
		}
	}
	for i := range 2 * len(w.endpoints) {
		place(i%w.shape.busyModels, i)
	}
}
