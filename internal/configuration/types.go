// Package configuration holds the operator's configuration: its types, how it is read and checked,
// and how a change alters it. Everything here is pure; the control plane decides which version is in
// force, the routers read the versions they are sent.
package configuration

// Configuration is one whole version as the operator writes it.
type Configuration struct {
	Generation int64     `json:"generation"`
	Routes     []Route   `json:"routes"`
	Services   []Service `json:"services"`
	Limits     Limits    `json:"limits"`
	Tenants    []Tenant  `json:"tenants"`
}

// RouteType says what a repeated run of a request would do.
type RouteType string

// The types of a route.
const (
	Idempotent    RouteType = "idempotent"
	NonIdempotent RouteType = "non_idempotent"
	Streaming     RouteType = "streaming"
)

// Route sends the requests of one host below one path prefix to a service or to several by weight.
type Route struct {
	Name             string    `json:"name"`
	Hostname         string    `json:"hostname"`
	PathPrefix       string    `json:"path_prefix"`
	Type             RouteType `json:"type"`
	TimeoutMS        int64     `json:"timeout_ms"`
	LatencyTargetMS  int64     `json:"target_latency_ms"`
	Priority         int       `json:"priority"` // 0 is the most urgent
	Backend          string    `json:"backend,omitempty"`
	TrafficSplit     []Split   `json:"traffic_split,omitempty"`
	MaxRetries       int       `json:"max_retries"` // most endpoints that one try may be sent to
	Public           bool      `json:"public"`      // needs no key
	SessionAffinity  bool      `json:"session_affinity"`
	Resumable        bool      `json:"resumable"`
	EventGapTargetMS int64     `json:"gap_aim_ms,omitempty"` // longest pause between events that is still in time
}

// Split is one service's share of a route's requests.
type Split struct {
	Backend string `json:"backend"`
	Weight  int64  `json:"weight"`
}

// Service describes a group of endpoints.
type Service struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"health_check"`
	MaxConnections int     `json:"max_connections"` // an endpoint accepts so many, from all routers together
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	WarmUpRate     float64 `json:"cold_per_s,omitempty"`
	Engine         *Engine `json:"engine,omitempty"` // nil where the service holds no models
}

// Engine describes the model endpoints of a service; all figures are for one endpoint, but LoadsPerS.
type Engine struct {
	Slots           int     `json:"slots"`
	KVTokens        int64   `json:"kv_tokens"`
	KVBytesPerToken int64   `json:"kv_bytes"` // per token
	LinkMbps        float64 `json:"link_mbps"`
	TokensPerEvent  int     `json:"stride"` // tokens in one event
	Models          []Model `json:"models"`
	WeightMemoryMB  float64 `json:"weights_mb"` // room for weights and adapters together
	AdapterSlots    int     `json:"adapter_slots"`
	LoadsPerSecond  float64 `json:"loads_per_s"` // that the weight store allows over all endpoints
}

// Model is one set of weights. Its adapters are named a1, a2 and so on, Adapters of them.
type Model struct {
	Name            string  `json:"name"`
	WeightsMB       float64 `json:"weights_mb"`
	LoadTimeSeconds float64 `json:"load_time_s"`
	AdapterCount    int     `json:"adapters"`
	AdapterSizeMB   float64 `json:"adapter_mb"`
}

// Limits bound what a client may send and how long it may take or rest.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Tenant is one customer of the operator, with its keys and its share.
type Tenant struct {
	Name          string   `json:"name"`
	APIKeys       []string `json:"api_keys"`
	Priority      int      `json:"priority"`     // goes before the route's
	Unit          string   `json:"unit"`         // token_count, or empty for requests
	DefaultTokens int64    `json:"plain_tokens"` // counted for a request without X-Token-Usage
	RatePerSecond float64  `json:"rate_per_s"`   // 0: no limit
	Burst         float64  `json:"burst"`
}

// TokenCount is the unit of a tenant whose requests are counted by their tokens.
const UnitTokens = "token_count"
