package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// order is the body of POST /-/order.
type order struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Revision     *uint64 `json:"if_revision"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fence_token"`
}

const (
	operationLoad   = "model_load"
	operationUnload = "model_unload"
	adapterLoadTime = 20 * time.Millisecond
)

// handleOrder accepts an order and executes it in the background. Only one order is executed at a time.
func (e *Endpoint) handleOrder(w http.ResponseWriter, r *http.Request) {
	var received order
	if json.NewDecoder(r.Body).Decode(&received) != nil || received.Holder == "" || received.FencingToken == 0 || received.Model == "" ||
		received.Operation != operationLoad && received.Operation != operationUnload {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.orderRunning, received.Revision != nil && *received.Revision != e.revision:
		w.WriteHeader(http.StatusConflict)
		return
	case e.hasModel(received.Model, received.Adapter) == (received.Operation == operationLoad):
		w.WriteHeader(http.StatusOK)
		return
	}
	e.revision++
	e.orderRunning = true
	if received.Operation == operationLoad && received.Adapter == "" {
		e.loading = received.Model
	}
	e.goroutines.Go(func() { e.execute(received) })
	e.options.Log.Info("order", "endpoint", e.options.ID, "operation", received.Operation, "model", received.Model,
		"adapter", received.Adapter, "holder", received.Holder)
	w.WriteHeader(http.StatusAccepted)
}

// execute carries out an order and changes the loaded models at its end.
func (e *Endpoint) execute(received order) {
	if received.Operation == operationLoad {
		loadTime := e.options.LoadTime
		if received.Adapter != "" {
			loadTime = adapterLoadTime
		}
		if e.options.ExtraLoadTime != nil {
			loadTime += e.options.ExtraLoadTime()
		}
		time.Sleep(loadTime) // simulates the time for loading
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orderRunning, e.loading = false, ""
	model := e.models[received.Model]
	switch {
	case received.Operation == operationUnload && received.Adapter == "":
		delete(e.models, received.Model)
	case received.Operation == operationUnload && model != nil:
		model.adapters = slices.DeleteFunc(model.adapters, func(a string) bool { return a == received.Adapter })
	case received.Operation == operationLoad && received.Adapter == "":
		e.models[received.Model] = &loadedModel{}
	case received.Operation == operationLoad && model != nil:
		model.adapters = append(model.adapters, received.Adapter)
	}
}

// hasModel reports whether the model is loaded, with the adapter unless that is empty. The caller must hold the mutex.
func (e *Endpoint) hasModel(model, adapter string) bool {
	state := e.models[model]
	return state != nil && (adapter == "" || slices.Contains(state.adapters, adapter))
}

// report is the response to GET /-/report.
type report struct {
	Stage    string       `json:"stage"`
	Models   []modelState `json:"models"`
	Busy     bool         `json:"busy"`
	Revision uint64       `json:"seq"`
	Queued   int          `json:"queued"`
	Running  int          `json:"running"`
	KVUsed   int          `json:"kv_used"`
	KVTotal  int          `json:"kv_total"`
	Handles  int          `json:"handles"`
}

func (e *Endpoint) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	current := report{
		Stage: "both", Models: e.listModels(), Busy: e.orderRunning, Revision: e.revision, Running: e.runningRequests,
		KVTotal: kvCacheTokens,
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(current) // an error means that the client has closed the connection
}
