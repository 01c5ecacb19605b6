package configuration

// Configuration is the typed form of one version. Times whose names end in MS are milliseconds.
type Configuration struct {
	Generation int64     `json:"generation"` // number of the version; each is higher than the one before
	Routes     []Route   `json:"routes"`
	Services   []Service `json:"services"`
	Limits     Limits    `json:"limits"`
	Tenants    []Tenant  `json:"tenants"`
}

// RouteType says whether a request may run more than once.
type RouteType string

// The types of a route.
const (
	Idempotent    RouteType = "idempotent"
	NonIdempotent RouteType = "non_idempotent"
	Streaming     RouteType = "streaming"
)

// Route sends the requests of one host under one path prefix to a service, or to several by weight.
type Route struct {
	Name             string    `json:"name"`
	Hostname         string    `json:"hostname"`    // compared without case
	PathPrefix       string    `json:"path_prefix"` // begins and ends with a slash
	Type             RouteType `json:"type"`
	TimeoutMS        int64     `json:"timeout_ms"`              // a request may stay in the system so long
	LatencyTargetMS  int64     `json:"target_latency_ms"`       // an answer that is later earns less than its full value
	Priority         int       `json:"priority"`                // 0 is the most urgent; a tenant's takes precedence
	Backend          string    `json:"backend,omitempty"`       // the service, unless TrafficSplit names several
	TrafficSplit     []Split   `json:"traffic_split,omitempty"` // takes precedence over Backend
	MaxAttempts      int       `json:"max_retries"`             // endpoints that one request may be sent to
	Public           bool      `json:"public"`                  // needs no API key
	SessionAffinity  bool      `json:"session_affinity"`
	Resumable        bool      `json:"resumable"`            // a stream may be resumed at another endpoint, by Last-Event-Id
	EventGapTargetMS int64     `json:"gap_aim_ms,omitempty"` // longest time between two events of a stream that is in time
}

// Split is one service's share of a route's requests.
type Split struct {
	Backend string `json:"backend"`
	Weight  int64  `json:"weight"` // relative to the sum of the route's weights
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"health_check"`    // path
	MaxConnections int     `json:"max_connections"` // that one endpoint accepts from all routers together
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	WarmUpRate     float64 `json:"cold_per_s,omitempty"` // no page explains it, and nothing uses it
	Engine         *Engine `json:"engine,omitempty"`     // nil: its endpoints serve no models
}

// Engine is what the model endpoints of a service have, each of them but for LoadsPerSecond.
type Engine struct {
	Slots           int     `json:"slots"`         // requests that run at a time
	KVTokens        int64   `json:"kv_tokens"`     // capacity of the KV cache
	KVBytesPerToken int64   `json:"kv_bytes"`      // size of one token in the KV cache
	LinkMbps        float64 `json:"link_mbps"`     // megabits per second
	TokensPerEvent  int     `json:"stride"`        // output tokens in one event of a stream
	Models          []Model `json:"models"`        // that can be loaded
	WeightMemoryMB  float64 `json:"weights_mb"`    // for weights and adapters together
	AdapterSlots    int     `json:"adapter_slots"` // adapters that can be loaded at a time
	LoadsPerSecond  float64 `json:"loads_per_s"`   // that the weight store allows, over all endpoints
}

// Model is one set of weights with its adapters, which are named a1, a2 and so on up to AdapterCount.
type Model struct {
	Name            string  `json:"name"`
	WeightsMB       float64 `json:"weights_mb"`
	LoadTimeSeconds float64 `json:"load_time_s"`
	AdapterCount    int     `json:"adapters"`
	AdapterSizeMB   float64 `json:"adapter_mb"` // of each adapter
}

// Limits bounds what a client may send, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Tenant is a customer of the operator with its API keys and its limit, a token bucket in the tenant's unit.
type Tenant struct {
	Name          string   `json:"name"`
	APIKeys       []string `json:"api_keys"`
	Priority      int      `json:"priority"`     // takes precedence over the route's
	Unit          string   `json:"unit"`         // UnitTokens, or "" for requests
	DefaultTokens int64    `json:"plain_tokens"` // counted for a request without X-Token-Usage
	RatePerSecond float64  `json:"rate_per_s"`   // 0: unlimited
	Burst         float64  `json:"burst"`
}

// UnitTokens is the unit of a tenant whose requests are counted by their tokens.
const UnitTokens = "token_count"
