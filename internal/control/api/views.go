package api

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// EndpointView is an endpoint as people see it.
type EndpointView struct {
	ID                string                 `json:"id"`
	Service           string                 `json:"backend"`
	Address           string                 `json:"address"`
	Zone              string                 `json:"zone"`
	Generation        string                 `json:"generation"`
	Slots             int                    `json:"slots"`
	State             string                 `json:"state"`
	Sequence          uint64                 `json:"seq"`
	WarmUpRemainingMS int64                  `json:"cold_remaining_ms,omitempty"`
	Models            []protocol.LoadedModel `json:"models"`
	Loading           []LoadView             `json:"loading,omitempty"`
}

// LoadView is an order under way.
type LoadView struct {
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Unload      bool   `json:"unload,omitempty"`
	RemainingMS int64  `json:"within_ms"`
}

// ModelView says where a model is held.
type ModelView struct {
	Service   string              `json:"backend"`
	Model     string              `json:"model"`
	Endpoints []ModelEndpointView `json:"endpoints"`
	Loading   []string            `json:"loading,omitempty"` // IDs of endpoints that were ordered to load it
}

// ModelEndpointView is one endpoint that holds a model.
type ModelEndpointView struct {
	ID         string   `json:"id"`
	Generation int64    `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// VersionView is one version of the configuration.
type VersionView struct {
	Generation int64  `json:"generation"`
	Index      uint64 `json:"index"` // of the command that made it
	Method     string `json:"method"`
	Bytes      int    `json:"bytes"` // of the whole configuration
}

// asOf returns the age in milliseconds of the newest moment of which this instance knows everything. It is asked
// before what it covers is read. An instance that knows of none has answered so.
func (a *API) asOf(w http.ResponseWriter) (age int64, ok bool) {
	confirmedAt := a.instances.ConfirmedAt()
	if confirmedAt.IsZero() {
		fail(w, http.StatusServiceUnavailable, "instance has had no contact with a majority of the others yet")
		return 0, false
	}
	return max(0, time.Since(confirmedAt).Milliseconds()), true
}

func (a *API) getHistory(w http.ResponseWriter, _ *http.Request) {
	age, known := a.asOf(w)
	if !known {
		return
	}
	versions := a.configurations.History()
	if versions == nil {
		versions = []VersionView{}
	}
	answer(w, http.StatusOK, map[string]any{"as_of_ms": age, "versions": versions})
}

func stateName(state protocol.EndpointState) string {
	switch state {
	case protocol.Ready:
		return stateReady
	case protocol.Draining:
		return stateDraining
	case protocol.Unresponsive:
		return "silent"
	}
	return "gone"
}

func (a *API) getMembers(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, a.status())
}

func (a *API) getEndpoints(w http.ResponseWriter, r *http.Request) {
	age, endpoints, ok := a.table(w, r)
	if !ok {
		return
	}
	views := make([]EndpointView, len(endpoints))
	for i := range endpoints {
		views[i] = viewOf(&endpoints[i])
	}
	answer(w, http.StatusOK, map[string]any{"as_of_ms": age, "endpoints": views})
}

func (a *API) table(w http.ResponseWriter, r *http.Request) (age int64, endpoints []protocol.Endpoint, ok bool) {
	age, known := a.asOf(w)
	if !known {
		return 0, nil, false
	}
	view, err := a.instances.View(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return 0, nil, false
	}
	endpoints = slices.Clone(view.Endpoints) // the table is everybody's
	slices.SortFunc(endpoints, func(a, b protocol.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return age, endpoints, true
}

func viewOf(e *protocol.Endpoint) EndpointView {
	view := EndpointView{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Generation: e.SoftwareVersion,
		Slots: e.Slots, State: stateName(e.State), Sequence: e.Sequence,
		WarmUpRemainingMS: e.WarmUpRemaining.Milliseconds(), Models: e.Models,
	}
	if view.Models == nil {
		view.Models = []protocol.LoadedModel{}
	}
	for _, load := range e.Loading {
		view.Loading = append(view.Loading, LoadView{
			Model: load.Model, Adapter: load.Adapter, Unload: load.Unload, RemainingMS: load.Remaining.Milliseconds(),
		})
	}
	return view
}

func (a *API) getModels(w http.ResponseWriter, r *http.Request) {
	age, endpoints, ok := a.table(w, r)
	if !ok {
		return
	}
	answer(w, http.StatusOK, map[string]any{"as_of_ms": age, "models": modelViews(endpoints)})
}

// modelViews turns the table of endpoints into one of models.
func modelViews(endpoints []protocol.Endpoint) []ModelView {
	type key struct{ service, model string }
	found := make(map[key]*ModelView)
	of := func(service, model string) *ModelView {
		at := key{service, model}
		if found[at] == nil {
			found[at] = &ModelView{Service: service, Model: model, Endpoints: []ModelEndpointView{}}
		}
		return found[at]
	}
	for _, e := range endpoints {
		for _, held := range e.Models {
			view := of(e.Service, held.Name)
			view.Endpoints = append(view.Endpoints,
				ModelEndpointView{ID: e.ID, Generation: held.Generation, Adapters: held.Adapters})
		}
		for _, load := range e.Loading {
			if !load.Unload && load.Adapter == "" {
				view := of(e.Service, load.Model)
				view.Loading = append(view.Loading, e.ID)
			}
		}
	}
	views := make([]ModelView, 0, len(found))
	for _, view := range found {
		views = append(views, *view)
	}
	slices.SortFunc(views, func(a, b ModelView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return views
}
