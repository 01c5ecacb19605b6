package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// order is the body of POST /-/order.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Revision  *uint64 `json:"if_revision"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence_token"`
}

const (
	operationLoad   = "model_load"
	operationUnload = "model_unload"
	adapterTime     = 20 * time.Millisecond
)

// takeOrder begins an order. Only one is under way at a time.
func (e *Endpoint) takeOrder(w http.ResponseWriter, r *http.Request) {
	var told order
	if json.NewDecoder(r.Body).Decode(&told) != nil || told.Holder == "" || told.Fence == 0 || told.Model == "" ||
		told.Operation != operationLoad && told.Operation != operationUnload {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.busy, told.Revision != nil && *told.Revision != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.holds(told.Model, told.Adapter) == (told.Operation == operationLoad):
		w.WriteHeader(http.StatusOK)
		return
	}
	e.orders++
	e.busy = true
	e.ended.Go(func() { e.carryOut(told) })
	e.options.Log.Info("order", "endpoint", e.options.ID, "operation", told.Operation, "model", told.Model,
		"adapter", told.Adapter, "holder", told.Holder)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Endpoint) carryOut(told order) {
	if told.Operation == operationLoad {
		wait := e.options.LoadTime
		if told.Adapter != "" {
			wait = adapterTime
		}
		time.Sleep(wait) // the load itself
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.busy = false
	model := e.models[told.Model]
	switch {
	case told.Operation == operationUnload && told.Adapter == "":
		delete(e.models, told.Model)
	case told.Operation == operationUnload && model != nil:
		model.adapters = slices.DeleteFunc(model.adapters, func(a string) bool { return a == told.Adapter })
	case told.Operation == operationLoad && told.Adapter == "":
		e.models[told.Model] = &held{}
	case told.Operation == operationLoad && model != nil:
		model.adapters = append(model.adapters, told.Adapter)
	}
}

// holds says whether it serves the model with the adapter; the caller has the mutex.
func (e *Endpoint) holds(model, adapter string) bool {
	found := e.models[model]
	return found != nil && (adapter == "" || slices.Contains(found.adapters, adapter))
}

// report is the answer to GET /-/report.
type report struct {
	Stage   string      `json:"stage"`
	Models  []heldModel `json:"models"`
	Busy    bool        `json:"busy"`
	Orders  uint64      `json:"seq"`
	Queued  int         `json:"queued"`
	Running int         `json:"running"`
	KVUsed  int         `json:"kv_used"`
	KVTotal int         `json:"kv_total"`
	Handles int         `json:"handles"`
}

func (e *Endpoint) tellReport(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	told := report{
		Stage: "both", Models: e.listModels(), Busy: e.busy, Orders: e.orders, Running: e.running,
		KVTotal: kvTokens,
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(told) // the asker is gone otherwise
}
