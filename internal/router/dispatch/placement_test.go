package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

const (
	simulatedLoadOrderDelay  = 60 * time.Millisecond // from a report to the update that announces the load
	simulatedModelLoadTime   = 3 * time.Second
	simulatedAdapterLoadTime = 20 * time.Millisecond
)

// placeOnDemand simulates the placer: a model or adapter that is requested but not loaded anywhere is loaded at some
// endpoint.
func (w *simulation) placeOnDemand(report protocol.Report) {
	for _, m := range report.Models {
		if m.Queued+m.Unserved == 0 || m.Service != "lm" {
			continue
		}
		name := m.Model + "/" + m.Adapter
		if m.Adapter != "" && w.hasModel(m.Model) && !w.orderedLoads[name] && !w.hasAdapter(m.Model, m.Adapter) {
			w.orderedLoads[name] = true
			w.at(w.now+simulatedLoadOrderDelay, func(w *simulation) { w.loadAdapter(m.Model, m.Adapter) })
		}
		if w.orderedLoads[m.Model] || w.hasModel(m.Model) {
			continue
		}
		w.orderedLoads[m.Model] = true
		w.at(w.now+simulatedLoadOrderDelay, func(w *simulation) { w.loadModel(m.Model) })
	}
}

func (w *simulation) hasModel(model string) bool { return w.hasAdapter(model, "") }

func (w *simulation) hasAdapter(model, adapter string) bool {
	for _, s := range w.servers {
		if s.engine && s.row.State == protocol.Ready && s.serves(model, adapter) {
			return true
		}
	}
	return false
}

func (w *simulation) loadModel(model string) {
	s := w.servers[w.rng.IntN(4)]
	s.beginLoad(model, "", w.now+simulatedModelLoadTime)
	w.announce(s)
	w.at(w.now+simulatedModelLoadTime, func(w *simulation) {
		s.row.Models = append(s.row.Models, protocol.LoadedModel{Name: model, Generation: 1})
		s.endLoad(model, "")
		w.announceAtHeartbeat(s)
	})
}

func (s *simulatedEndpoint) beginLoad(model, adapter string, due time.Duration) {
	s.row.Loading = append(slices.Clone(s.row.Loading), protocol.ModelLoad{Model: model, Adapter: adapter})
	s.loadsDueAt = append(s.loadsDueAt, due)
}

// pendingLoads returns the loads in progress as an update reports them at the given time.
func (s *simulatedEndpoint) pendingLoads(now time.Duration) []protocol.ModelLoad {
	list := slices.Clone(s.row.Loading)
	for i := range list {
		list[i].Remaining = max(s.loadsDueAt[i]-now, 0)
	}
	return list
}

func (s *simulatedEndpoint) endLoad(model, adapter string) {
	i := slices.IndexFunc(s.row.Loading, func(l protocol.ModelLoad) bool { return l.Model == model && l.Adapter == adapter })
	s.row.Loading = slices.Delete(slices.Clone(s.row.Loading), i, i+1)
	s.loadsDueAt = slices.Delete(s.loadsDueAt, i, i+1)
}

// announceAtHeartbeat announces an endpoint's state at its next heartbeat.
func (w *simulation) announceAtHeartbeat(s *simulatedEndpoint) {
	w.at(w.now+time.Duration(w.rng.IntN(1200))*time.Millisecond, func(w *simulation) { w.announce(s) })
}

// loadAdapter loads an adapter at the first endpoint that has its model.
func (w *simulation) loadAdapter(model, adapter string) {
	for _, s := range w.servers {
		if !s.engine || !s.serves(model, "") {
			continue
		}
		s.beginLoad(model, adapter, w.now+simulatedAdapterLoadTime)
		w.announce(s)
		w.at(w.now+simulatedAdapterLoadTime, func(w *simulation) {
			for i := range s.row.Models {
				if m := &s.row.Models[i]; m.Name == model {
					m.Adapters = append(slices.Clone(m.Adapters), adapter)
				}
			}
			s.endLoad(model, adapter)
			w.announceAtHeartbeat(s)
		})
		return
	}
}

// TestAdaptersAreServedBeforeTheirHeartbeat checks that requests for an adapter meet their latency target of 400 ms,
// although its endpoint announces the adapter up to 1.2 s after the load, which itself takes 20 ms.
func TestAdaptersAreServedBeforeTheirHeartbeat(t *testing.T) {
	w := newSimulation(t, 32, 3)
	w.orderedLoads = map[string]bool{}
	w.startNormalLoad(1)
	for i := range 20 {
		k := &requestKind{
			name: fmt.Sprint("adapter", i), model: "m", adapter: fmt.Sprint("x", i), latencyTarget: 400 * time.Millisecond,
			timeout: 10 * time.Second, prompt: 600, output: 70, retryable: true, clientRetries: 1,
		}
		w.kinds = append(w.kinds, k)
		w.at(time.Duration(1000+400*i)*time.Millisecond, func(w *simulation) { w.sendRequest(k, 1, nil); w.sendRequest(k, 1, nil) })
		w.at(time.Duration(1200+400*i)*time.Millisecond, func(w *simulation) { w.sendRequest(k, 1, nil) })
	}
	w.run(12 * time.Second)
	w.finish()
	inTime, requested := 0, 0
	for _, k := range w.kinds[4:] {
		inTime += k.inTime
		requested += k.requested
	}
	t.Logf("%d of %d in time", inTime, requested)
	if float64(inTime) < 0.95*float64(requested) {
		t.Errorf("%d of %d in time, want a fraction of 0.95", inTime, requested)
	}
}

// TestRareModelsAreLoadedOnDemand checks that models that no endpoint has are loaded because of the demand reports,
// and are then served.
func TestRareModelsAreLoadedOnDemand(t *testing.T) {
	w := runRareModels(t)
	w.logStatistics(t)
	for _, k := range w.kinds {
		if got := float64(k.inTime+k.retried+k.served) / float64(k.requested); got < 0.95 {
			t.Errorf("%s: %.3f served, want 0.95", k.name, got)
		}
	}
}

func runRareModels(t *testing.T) *simulation {
	t.Helper()
	w := newRareModelsSimulation(t)
	w.run(20 * time.Second)
	w.finish()
	return w
}

func newRareModelsSimulation(t *testing.T) *simulation {
	t.Helper()
	w := newSimulation(t, 31, 3)
	w.orderedLoads = map[string]bool{}
	w.startNormalLoad(1)
	engine := *w.config.Services[0].Engine
	for i := range 6 {
		model := fmt.Sprint("rare", i)
		engine.Models = append(engine.Models, configuration.Model{Name: model, LoadTimeSeconds: 3})
		latencyTarget := 500 * time.Millisecond
		if i%2 == 0 {
			latencyTarget = 8 * time.Second
		}
		w.kinds = append(w.kinds, &requestKind{
			name: model, model: model, latencyTarget: latencyTarget, timeout: 15 * time.Second, prompt: 1000,
			output: 100, retryable: true, clientRetries: 1,
		})
	}
	w.config.Services[0].Engine = &engine
	w.at(2*time.Second, func(w *simulation) {
		for _, k := range w.kinds[4:] {
			k.perSecond = 1
		}
	})
	return w
}
