// Package config parses the configuration of a courier process. The deployment's file and the simulator's first message
// contain the settings in the same JSON format.
package config

import (
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
)

// Names maps the names that the deployment uses to the indices that the decision module uses.
type Names struct {
	Classes, Tenants, Kinds, Zones map[string]int
	Keyed                          map[string]bool   // by class: whether its messages carry an idempotency key
	Terms                          map[string]string // by class: its terms, see EncodeTerms
	Warnings                       []string          // settings that are not supported and are ignored
}

// Index returns the index of the name, or -1 if the name is unknown.
func Index(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// api is compatible with encoding/json.
var api = jsoniter.ConfigCompatibleWithStandardLibrary

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// wireSettings is the JSON object of the settings that this program uses. Other fields are ignored.
type wireSettings struct {
	Zone            string  `json:"az"`
	Forwarders      int     `json:"balancers"`
	Position        int     `json:"position"`
	OverShareFactor float64 `json:"over_share_worth"`
	Tenants         []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	ScoreWeights struct {
		Overall     float64 `json:"whole"`
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"result_mix"`
	Charges struct {
		CrossZone   float64 `json:"cross_zone"`
		Handshake   float64 `json:"handshake"`
		WastedWork  float64 `json:"waste"`
		LateFailure float64 `json:"late_fail"`
		Probe       float64 `json:"probe"`
		PeerMessage float64 `json:"peer"`
	} `json:"charges"`
	ClientBehavior struct {
		FlagsRetries bool `json:"marks_retry"`
	} `json:"client_habits"`
	MinBatchInterval int64    `json:"granularity_us"`
	MembershipMode   string   `json:"membership_mode"`
	Kinds            []string `json:"models"`
	Zones            []string `json:"failure_domains"`
	ListedLimits     string   `json:"weight_kind"`
	Classes          []struct {
		Name           string  `json:"name"`
		SoftDeadline   int64   `json:"aim_us"`
		EstimateFactor float64 `json:"aim_stretch"`
		Deadline       int64   `json:"deadline_us"`
		Value          float64 `json:"credit"`
		LateValueShare float64 `json:"late_share"`
		Idempotency    string  `json:"effect"`
		DedupScope     string  `json:"group"`
		DedupWindow    int64   `json:"window_us"`
		InArrivalOrder bool    `json:"by_arrival"`
	} `json:"classes"`
	Limits struct {
		ConnectTimeout          int64 `json:"connect_timeout_us"`
		IdleTimeout             int64 `json:"idle_close_us"`
		MaxRetryAfter           int64 `json:"max_retry_after_us"`
		MaxMessages             int   `json:"most_held"`
		RetryAfter              bool  `json:"retry_after"`
		MaxAttempts             int   `json:"send_cap"`
		StreamsPerConnection    int   `json:"streams_per_conn"`
		AllowProbes             bool  `json:"may_probe"`
		AllowPeerMessages       bool  `json:"peers"`
		AllowCancel             bool  `json:"cancel"`
		AllowConcurrentAttempts bool  `json:"second_copies"`
	} `json:"limits"`
	Rules struct {
		AnswerGracePeriod  int64   `json:"answer_slack_us"`
		ListRequestTimeout int64   `json:"ask_within_us"`
		DrainGracePeriod   int64   `json:"drain_grace_us"`
		WarmupDuration     int64   `json:"cold_us"`
		StartCapacity      float64 `json:"start_capacity"`
		OverloadDuration   int64   `json:"tip_after_us"`
		OverloadFactor     float64 `json:"tip_multiple"`
	} `json:"rules"`
	Specifics struct {
		MaxBatch       []int     `json:"bundle_max"`
		CallSlots      int       `json:"call_slots"`
		RoutePerTarget []bool    `json:"routes_apart"`
		RouteFee       []float64 `json:"route_fee"`
		ValueDecay     string    `json:"loses_worth"`
		RejectedCall   float64   `json:"refused_price"`
	} `json:"specifics"`
}

var idempotencyByName = map[string]raventrestle.Idempotency{
	"free": raventrestle.Idempotent, "guarded": raventrestle.Keyed, "single_shot": raventrestle.NonIdempotent,
}

var dedupScopeByName = map[string]raventrestle.DedupScope{
	"all": raventrestle.DedupDestination, "zone": raventrestle.DedupZone, "cell": raventrestle.DedupTarget,
}

var valueDecayByName = map[string]raventrestle.ValueDecay{"linear": raventrestle.DecayLinear, "halving": raventrestle.DecayHalving}

var listedLimitsByName = map[string]raventrestle.ListedLimits{"nominal": raventrestle.LimitsExact, "rough": raventrestle.LimitsApproximate}

// ParseSettings parses the JSON object of the settings.
func ParseSettings(object []byte) (raventrestle.Settings, *Names, error) {
	var in wireSettings
	if err := api.Unmarshal(object, &in); err != nil {
		return raventrestle.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s, names := in.settings()
	return s, names, nil
}

func (in *wireSettings) settings() (raventrestle.Settings, *Names) {
	names := &Names{
		Classes: map[string]int{}, Tenants: map[string]int{}, Kinds: map[string]int{}, Zones: map[string]int{},
		Keyed: map[string]bool{}, Terms: map[string]string{},
	}
	l, r := &in.Limits, &in.Rules
	s := raventrestle.Settings{
		Forwarders: in.Forwarders, ListedLimits: listedLimitsByName[in.ListedLimits], MinBatchInterval: microseconds(in.MinBatchInterval),
		CallSlots: in.Specifics.CallSlots, MaxMessages: l.MaxMessages, MaxAttempts: l.MaxAttempts,
		IdleTimeout: microseconds(l.IdleTimeout), ConnectTimeout: microseconds(l.ConnectTimeout), AdviseRetryAfter: l.RetryAfter,
		MaxRetryAfter: microseconds(l.MaxRetryAfter), ListOnRequest: in.MembershipMode == "on_request", ListRequestTimeout: microseconds(r.ListRequestTimeout),
		DrainGracePeriod: microseconds(r.DrainGracePeriod), AnswerGracePeriod: microseconds(r.AnswerGracePeriod), StreamsPerConnection: l.StreamsPerConnection,
		AllowProbes: l.AllowProbes, AllowPeerMessages: l.AllowPeerMessages, AllowCancel: l.AllowCancel, AllowConcurrentAttempts: l.AllowConcurrentAttempts,
		ClientsFlagRetries: in.ClientBehavior.FlagsRetries, Position: in.Position, OverShareFactor: in.OverShareFactor,
		ValueDecay: valueDecayByName[in.Specifics.ValueDecay], ScoreWeights: raventrestle.ScoreWeights{
			Overall: in.ScoreWeights.Overall, WorstWindow: in.ScoreWeights.WorstWindow,
			WorstClass: in.ScoreWeights.WorstClass, WorstTenant: in.ScoreWeights.WorstTenant,
		},
		Charges: raventrestle.Charges{
			CrossZone: in.Charges.CrossZone, Handshake: in.Charges.Handshake,
			WastedWork: in.Charges.WastedWork, LateFailure: in.Charges.LateFailure, RejectedCall: in.Specifics.RejectedCall,
			Probe: in.Charges.Probe, PeerMessage: in.Charges.PeerMessage,
		},
		OverloadFactor: r.OverloadFactor, OverloadDuration: microseconds(r.OverloadDuration), WarmupDuration: microseconds(r.WarmupDuration),
		InitialCapacityShare: r.StartCapacity,
	}
	for i, c := range in.Classes {
		idempotency, known := idempotencyByName[c.Idempotency]
		if !known {
			idempotency = raventrestle.NonIdempotent
		}
		names.Keyed[c.Name] = idempotency == raventrestle.Keyed
		s.Classes = append(s.Classes, raventrestle.Class{
			Name: c.Name, SoftDeadline: microseconds(c.SoftDeadline), EstimateFactor: c.EstimateFactor,
			Deadline: microseconds(c.Deadline), Value: c.Value, LateValueShare: c.LateValueShare, Idempotency: idempotency,
			DedupScope: dedupScopeByName[c.DedupScope], DedupWindow: microseconds(c.DedupWindow),
		})
		if c.InArrivalOrder {
			names.Warnings = append(names.Warnings, fmt.Sprintf("settings.classes[%d].by_arrival (%q): sending in arrival order is not supported", i, c.Name))
		}
		names.Classes[c.Name], names.Terms[c.Name] = i, EncodeTerms(s.Classes[i])
	}
	for i, t := range in.Tenants {
		names.Tenants[t.Name] = i
		s.Tenants = append(s.Tenants, raventrestle.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for i, k := range in.Kinds {
		names.Kinds[k] = i
		kind := raventrestle.DestinationKind{MaxBatch: 1}
		if i < len(in.Specifics.MaxBatch) {
			kind.MaxBatch = in.Specifics.MaxBatch[i]
		}
		if i < len(in.Specifics.RoutePerTarget) {
			kind.RoutePerTarget = in.Specifics.RoutePerTarget[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	for i, z := range in.Zones {
		names.Zones[z] = i
		zone := raventrestle.Zone{Name: z}
		if i < len(in.Specifics.RouteFee) {
			zone.Fee = in.Specifics.RouteFee[i]
		}
		s.Zones = append(s.Zones, zone)
	}
	s.Zone = Index(names.Zones, in.Zone)
	return s, names
}
