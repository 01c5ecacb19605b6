package placer

import (
	"fmt"
	"time"

	"raventrestle/internal/configuration"
)

// fleetShape describes a kind of fleet.
type fleetShape struct {
	name               string
	endpoints          int
	zones              int
	routers            int
	memoryMB           float64 // weights_mb of an endpoint
	adapterSlots       int     // of an endpoint
	slots              int     // number of requests that an endpoint decodes at the same time
	loadsPerSecond     float64 // loads_per_s
	concurrentLoads    int     // number of concurrent loads from the store above which all of them become slower
	models             []fleetModel
	rotatingModels     int // number of models at the start of the list that take turns being busy
	busyModels         int // number of rotating models that are busy at the same time
	classes            []requestClass
	prefillTokensPerMS float64       // of a model with a relativeDuration of 1
	decodeStepMS       float64       // time per token of all running requests, for such a model
	length             time.Duration // duration of the traffic
	initialModels      int           // number of models that an endpoint has loaded at the start
	crashShare         float64       // share of the endpoints that crash together
}

// fleetModel is a model and how fast the fleet's endpoints run it.
type fleetModel struct {
	configuration    configuration.Model
	warmLoadSeconds  float64 // duration of a load from the endpoint's own disk
	relativeDuration float64 // duration of prefill and decode, as a multiple of the duration that the shape gives
}

// requestClass describes a kind of request.
type requestClass struct {
	name          string
	rate          float64       // requests per second
	latencyTarget time.Duration // for the first token
	deadline      time.Duration // for sending the request to an endpoint
	value         float64       // of a request whose first token is in time
	lateValue     float64       // of a request whose first token is late
	promptTokens  float64       // mean
	outputTokens  float64       // mean
	spread        float64       // standard deviation of the logarithm of both token counts
	adapterShare  float64       // share of the requests that name an adapter
	rare          bool          // requests the models that do not rotate
	priority      int
}

// bookingFleet returns a fleet of 12 endpoints in three zones, with few large models that take turns being busy.
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
	return s.withModelNames()
}

// walletFleet returns a fleet with more models, whose endpoints have memory for three of them.
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
	return s.withModelNames()
}

// withModelNames names each model by its index.
func (s fleetShape) withModelNames() fleetShape {
	for i := range s.models {
		s.models[i].configuration.Name = fmt.Sprintf("m%02d", i)
	}
	return s
}

// configuration returns the configuration of the fleet for the placer.
func (s fleetShape) configuration() *configuration.Configuration {
	engine := &configuration.Engine{
		Slots: s.slots, WeightMemoryMB: s.memoryMB, AdapterSlots: s.adapterSlots, LoadsPerSecond: s.loadsPerSecond,
	}
	for _, model := range s.models {
		engine.Models = append(engine.Models, model.configuration)
	}
	return &configuration.Configuration{Generation: 1, Services: []configuration.Service{{Name: "lm", Engine: engine}}}
}

// loadInitialModels loads each model that is not busy at first at one endpoint, and fills the endpoints with the busy
// models.
func (w *world) loadInitialModels() {
	loadModel := func(model int, start int) {
		for j := range w.endpoints {
			e := w.endpoints[(start+j)%len(w.endpoints)]
			name := w.shape.models[model].configuration.Name
			if e.models[name] == nil && w.usedMemoryMB(e)+w.shape.models[model].configuration.WeightsMB <= w.shape.memoryMB &&
				len(e.models) < w.shape.initialModels {
				e.models[name] = map[string]bool{}
				e.onDisk[name] = true
				return
			}
		}
	}
	for i := range w.endpoints {
		if i%2 == 0 || w.shape.initialModels > 2 {
			loadModel(i/2%w.shape.busyModels, i)
		}
	}
	for i := range w.shape.models {
		if i >= w.shape.busyModels {
			loadModel(i, i)
		}
	}
	for i := range 2 * len(w.endpoints) {
		loadModel(i%w.shape.busyModels, i)
	}
}
