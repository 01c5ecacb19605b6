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

// placeOnDemand simulates the placer: a model that is requested and that no endpoint has is loaded somewhere.
func (w *simulation) placeOnDemand(report protocol.Report) {
	for _, m := range report.Models {
		if m.Queued+m.Unserved == 0 || m.Service != "lm" {
			continue
		}
		name := m.Model + "/" + m.Adapter
		if m.Adapter != "" && w.hasModel(m.Model) && !w.loading[name] && !w.hasAdapter(m.Model, m.Adapter) {
			w.loading[name] = true
			w.at(w.now+simulatedLoadOrderDelay, func(w *simulation) { w.loadAdapter(m.Model, m.Adapter) })
		}
		if w.loading[m.Model] || w.hasModel(m.Model) {
			continue
		}
		w.loading[m.Model] = true
		w.at(w.now+simulatedLoadOrderDelay, func(w *simulation) { w.load(m.Model) })
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

func (w *simulation) load(model string) {
	s := w.servers[w.rng.IntN(4)]
	s.loads(model, "", w.now+simulatedModelLoadTime)
	w.announce(s)
	w.at(w.now+simulatedModelLoadTime, func(w *simulation) {
		s.row.Models = append(s.row.Models, protocol.LoadedModel{Name: model, Generation: 1})
		s.loaded(model, "")
		w.heartbeat(s)
	})
}

func (s *simulatedEndpoint) loads(model, adapter string, due time.Duration) {
	s.row.Loading = append(slices.Clone(s.row.Loading), protocol.ModelLoad{Model: model, Adapter: adapter})
	s.due = append(s.due, due)
}

// loading returns the loads under way as an update states them now.
func (s *simulatedEndpoint) loading(now time.Duration) []protocol.ModelLoad {
	list := slices.Clone(s.row.Loading)
	for i := range list {
		list[i].Remaining = max(s.due[i]-now, 0)
	}
	return list
}

func (s *simulatedEndpoint) loaded(model, adapter string) {
	i := slices.IndexFunc(s.row.Loading, func(l protocol.ModelLoad) bool { return l.Model == model && l.Adapter == adapter })
	s.row.Loading = slices.Delete(slices.Clone(s.row.Loading), i, i+1)
	s.due = slices.Delete(s.due, i, i+1)
}

// heartbeat announces an endpoint's state at its next heartbeat.
func (w *simulation) heartbeat(s *simulatedEndpoint) {
	w.at(w.now+time.Duration(w.rng.IntN(1200))*time.Millisecond, func(w *simulation) { w.announce(s) })
}

// loadAdapter loads an adapter at the first endpoint that has its model.
func (w *simulation) loadAdapter(model, adapter string) {
	for _, s := range w.servers {
		if !s.engine || !s.serves(model, "") {
			continue
		}
		s.loads(model, adapter, w.now+simulatedAdapterLoadTime)
		w.announce(s)
		w.at(w.now+simulatedAdapterLoadTime, func(w *simulation) {
			for i := range s.row.Models {
				if m := &s.row.Models[i]; m.Name == model {
					m.Adapters = append(slices.Clone(m.Adapters), adapter)
				}
			}
			s.loaded(model, adapter)
			w.heartbeat(s)
		})
		return
	}
}

// TestAdaptersAreServedBeforeTheirHeartbeat: an adapter is loaded in some ms, and its endpoint announces it up to
// 1.2 s later. Requests with latency targets of 400 ms meet them nevertheless.
func TestAdaptersAreServedBeforeTheirHeartbeat(t *testing.T) {
	w := newSimulation(t, 32, 3)
	w.loading = map[string]bool{}
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
	w.play(12 * time.Second)
	w.finish()
	inTime, asked := 0, 0
	for _, k := range w.kinds[4:] {
		inTime += k.inTime
		asked += k.requested
	}
	t.Logf("%d of %d in time", inTime, asked)
	if float64(inTime) < 0.95*float64(asked) {
		t.Errorf("%d of %d in time, want 0.95 of them", inTime, asked)
	}
}

// TestRareModelsAreLoadedByDemand: models that no endpoint has are loaded because of the reports, and served then.
func TestRareModelsAreLoadedByDemand(t *testing.T) {
	w := playRareModels(t)
	w.logStatistics(t)
	for _, k := range w.kinds {
		if got := float64(k.inTime+k.retried+k.served) / float64(k.requested); got < 0.95 {
			t.Errorf("%s: %.3f served, want 0.95", k.name, got)
		}
	}
}

func playRareModels(t *testing.T) *simulation {
	t.Helper()
	w := newRareModelsSimulation(t)
	w.play(20 * time.Second)
	w.finish()
	return w
}

func newRareModelsSimulation(t *testing.T) *simulation {
	t.Helper()
	w := newSimulation(t, 31, 3)
	w.loading = map[string]bool{}
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
