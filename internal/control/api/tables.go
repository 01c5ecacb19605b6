package api

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// EndpointView is an endpoint in the table of endpoints.
type EndpointView struct {
	ID                string                 `json:"id"`
	Service           string                 `json:"backend"`
	Address           string                 `json:"address"`
	Zone              string                 `json:"zone"`
	SoftwareVersion   string                 `json:"generation"`
	Slots             int                    `json:"slots"`
	State             string                 `json:"state"`
	Sequence          uint64                 `json:"seq"`
	WarmUpRemainingMS int64                  `json:"cold_remaining_ms,omitempty"`
	Models            []protocol.LoadedModel `json:"models"`
	Loading           []LoadView             `json:"loading,omitempty"`
}

// LoadView is an order in flight: a load or an unload of a model or an adapter.
type LoadView struct {
	Model       string `json:"model"`
	Adapter     string `json:"adapter,omitempty"`
	Unload      bool   `json:"unload,omitempty"`
	RemainingMS int64  `json:"within_ms"` // expected time until it is done
}

// ModelView says where a model is loaded.
type ModelView struct {
	Service   string              `json:"backend"`
	Model     string              `json:"model"`
	Endpoints []ModelEndpointView `json:"endpoints"`
	Loading   []string            `json:"loading,omitempty"` // IDs of endpoints that were ordered to load it
}

// ModelEndpointView is one endpoint with a model loaded.
type ModelEndpointView struct {
	ID         string   `json:"id"`
	Generation int64    `json:"generation"` // of the model's weights
	Adapters   []string `json:"adapters"`
}

// VersionView is one version of the configuration.
type VersionView struct {
	Generation int64  `json:"generation"`
	Index      uint64 `json:"index"` // of the command that made it
	Method     string `json:"method"`
	Bytes      int    `json:"bytes"` // of the complete configuration
}

// QuotaView says how tenants' limits are divided, and what the answering instance has issued of them.
type QuotaView struct {
	AsOfMS   int64             `json:"as_of_ms"`
	Sequence uint64            `json:"sequence"` // of the table of shares
	Shares   int               `json:"shares"`   // that each limit is divided into
	Holders  []HolderView      `json:"holders"`
	Instance string            `json:"instance"` // identity of the answering one
	Usable   float64           `json:"usable"`   // fraction of each limit that it may issue now
	Tenants  []TenantQuotaView `json:"tenants"`
}

// HolderView is an instance that can hold shares, or the lack of one.
type HolderView struct {
	Identity string `json:"identity"` // "": nobody
	Control  string `json:"control,omitempty"`
	Live     bool   `json:"live"`
	Shares   int    `json:"shares"`
}

// TenantQuotaView is one limit at the answering instance. Amounts are in the tenant's unit.
type TenantQuotaView struct {
	Tenant        string  `json:"tenant"`
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	Allowance     float64 `json:"allowance"` // of a window, at all routers
	Part          float64 `json:"part"`      // of it that this instance may issue
	Issued        float64 `json:"issued"`    // by this instance in the newest window, and a little before it
	Granted       float64 `json:"granted"`   // by this instance since its start
	Denied        float64 `json:"denied"`    // asked of this instance and to be had nowhere, since its start
	Waiting       int     `json:"waiting"`   // requests for credit that wait now
}

// tableAge returns the age in milliseconds of the newest moment of which this instance has everything. It has to be
// called before the table is read, so that the table is not older than it states. The error is ErrNoQuorumContact.
func (a *API) tableAge() (int64, error) {
	confirmedAt := a.instances.ConfirmedAt()
	if confirmedAt.IsZero() {
		return 0, ErrNoQuorumContact
	}
	return max(0, time.Since(confirmedAt).Milliseconds()), nil
}

// getHistory shows the versions of the configuration that this instance remembers.
func (a *API) getHistory(w http.ResponseWriter, _ *http.Request) error {
	age, err := a.tableAge()
	if err != nil {
		return err
	}
	versions := a.configurations.History()
	if versions == nil {
		versions = []VersionView{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"as_of_ms": age, "versions": versions})
	return nil
}

// getMembers shows the replicated group. It answers without contact with a majority too: then it is needed most.
func (a *API) getMembers(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, http.StatusOK, a.status())
	return nil
}

// getEndpoints shows the endpoints.
func (a *API) getEndpoints(w http.ResponseWriter, r *http.Request) error {
	age, endpoints, err := a.readEndpoints(r.Context())
	if err != nil {
		return err
	}
	views := make([]EndpointView, len(endpoints))
	for i := range endpoints {
		views[i] = endpointView(&endpoints[i])
	}
	writeJSON(w, http.StatusOK, map[string]any{"as_of_ms": age, "endpoints": views})
	return nil
}

// getModels shows which endpoint has which model loaded.
func (a *API) getModels(w http.ResponseWriter, r *http.Request) error {
	age, endpoints, err := a.readEndpoints(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, map[string]any{"as_of_ms": age, "models": modelViews(endpoints)})
	return nil
}

// getQuota shows how limits are divided and used. It answers without contact with a majority too: shares hold without one.
func (a *API) getQuota(w http.ResponseWriter, r *http.Request) error {
	view, err := a.quotas(r.Context())
	if err != nil {
		return &UnavailableError{Err: err}
	}
	writeJSON(w, http.StatusOK, view)
	return nil
}

// readEndpoints returns the endpoints by service and ID, and the age of the table.
func (a *API) readEndpoints(ctx context.Context) (age int64, endpoints []protocol.Endpoint, err error) {
	age, err = a.tableAge()
	if err != nil {
		return 0, nil, err
	}
	view, err := a.instances.View(ctx)
	if err != nil {
		return 0, nil, &UnavailableError{Err: err}
	}
	endpoints = slices.Clone(view.Endpoints) // the table is shared with other readers
	slices.SortFunc(endpoints, func(a, b protocol.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return age, endpoints, nil
}

func endpointView(e *protocol.Endpoint) EndpointView {
	view := EndpointView{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, SoftwareVersion: e.SoftwareVersion,
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

// modelViews turns a table of endpoints into one of models, by service and name.
func modelViews(endpoints []protocol.Endpoint) []ModelView {
	type key struct{ service, model string }
	byModel := make(map[key]*ModelView)
	findOrAdd := func(service, model string) *ModelView {
		at := key{service, model}
		if byModel[at] == nil {
			byModel[at] = &ModelView{Service: service, Model: model, Endpoints: []ModelEndpointView{}}
		}
		return byModel[at]
	}
	for _, e := range endpoints {
		for _, loaded := range e.Models {
			view := findOrAdd(e.Service, loaded.Name)
			view.Endpoints = append(view.Endpoints,
				ModelEndpointView{ID: e.ID, Generation: loaded.Generation, Adapters: loaded.Adapters})
		}
		for _, load := range e.Loading {
			if !load.Unload && load.Adapter == "" {
				view := findOrAdd(e.Service, load.Model)
				view.Loading = append(view.Loading, e.ID)
			}
		}
	}
	views := make([]ModelView, 0, len(byModel))
	for _, view := range byModel {
		views = append(views, *view)
	}
	slices.SortFunc(views, func(a, b ModelView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return views
}
