// Package config reads the settings of a courier, as the deployment's file and the
// simulator's first message both give them. It decides nothing.
package config

import (
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
)

// Names tell the module's indices from the deployment's names.
type Names struct {
	Classes, Tenants, Kinds, Zones map[string]int
	Keyed                          map[string]bool   // classes whose messages carry a key
	Terms                          map[string]string // of the classes, see Terms
	Aside                          []string          // what is asked for and not kept
}

// Index is the name's index, or -1.
func Index(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// api reads JSON as encoding/json does.
var api = jsoniter.ConfigCompatibleWithStandardLibrary

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// info holds the settings of the wire that the library knows; others are passed over.
type info struct {
	Zone       string  `json:"az"`
	Forwarders int     `json:"balancers"`
	Position   int     `json:"position"`
	OverShare  float64 `json:"over_share_worth"`
	Tenants    []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Mix struct {
		Whole  float64 `json:"whole"`
		Window float64 `json:"worst_window"`
		Class  float64 `json:"worst_class"`
		Tenant float64 `json:"worst_tenant"`
	} `json:"result_mix"`
	Charges struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		Waste     float64 `json:"waste"`
		LateFail  float64 `json:"late_fail"`
		Probe     float64 `json:"probe"`
		Peer      float64 `json:"peer"`
	} `json:"charges"`
	Habits struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Tick    int64    `json:"granularity_us"`
	Mode    string   `json:"membership_mode"`
	Kinds   []string `json:"models"`
	Zones   []string `json:"failure_domains"`
	Sizes   string   `json:"weight_kind"`
	Classes []struct {
		Name     string  `json:"name"`
		Aim      int64   `json:"aim_us"`
		Stretch  float64 `json:"aim_stretch"`
		Deadline int64   `json:"deadline_us"`
		Credit   float64 `json:"credit"`
		Late     float64 `json:"late_share"`
		Effect   string  `json:"effect"`
		Group    string  `json:"group"`
		Window   int64   `json:"window_us"`
		InOrder  bool    `json:"by_arrival"`
	} `json:"classes"`
	Limits struct {
		Connect       int64 `json:"connect_timeout_us"`
		IdleClose     int64 `json:"idle_close_us"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		MostHeld      int   `json:"most_held"`
		RetryAfter    bool  `json:"retry_after"`
		SendCap       int   `json:"send_cap"`
		Streams       int   `json:"streams_per_conn"`
		Probes        bool  `json:"may_probe"`
		Peers         bool  `json:"peers"`
		Cancel        bool  `json:"cancel"`
		SecondCopies  bool  `json:"second_copies"`
	} `json:"limits"`
	Rules struct {
		Slack         int64   `json:"answer_slack_us"`
		AskWithin     int64   `json:"ask_within_us"`
		DrainGrace    int64   `json:"drain_grace_us"`
		ColdFor       int64   `json:"cold_us"`
		StartCapacity float64 `json:"start_capacity"`
		TipAfter      int64   `json:"tip_after_us"`
		TipMultiple   float64 `json:"tip_multiple"`
	} `json:"rules"`
	Specifics struct {
		BundleMax []int     `json:"bundle_max"`
		CallSlots int       `json:"call_slots"`
		Apart     []bool    `json:"routes_apart"`
		RouteFee  []float64 `json:"route_fee"`
		Loses     string    `json:"loses_worth"`
		Refused   float64   `json:"refused_price"`
	} `json:"specifics"`
}

var effects = map[string]raventrestle.Idempotency{
	"free": raventrestle.Idempotent, "guarded": raventrestle.Keyed, "single_shot": raventrestle.NonIdempotent,
}

var groups = map[string]raventrestle.DedupScope{
	"all": raventrestle.DedupDestination, "zone": raventrestle.DedupZone, "cell": raventrestle.DedupTarget,
}

var losses = map[string]raventrestle.ValueDecay{"linear": raventrestle.DecayLinear, "halving": raventrestle.DecayHalving}

var sizes = map[string]raventrestle.ListedLimits{"nominal": raventrestle.LimitsExact, "rough": raventrestle.LimitsApproximate}

// Settings are read from their JSON object.
func Settings(object []byte) (raventrestle.Settings, *Names, error) {
	var in info
	if err := api.Unmarshal(object, &in); err != nil {
		return raventrestle.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s, nm := in.settings()
	return s, nm, nil
}

func (in *info) settings() (raventrestle.Settings, *Names) {
	nm := &Names{
		Classes: map[string]int{}, Tenants: map[string]int{}, Kinds: map[string]int{}, Zones: map[string]int{},
		Keyed: map[string]bool{}, Terms: map[string]string{},
	}
	l, r := &in.Limits, &in.Rules
	s := raventrestle.Settings{
		Forwarders: in.Forwarders, ListedLimits: sizes[in.Sizes], MinBatchInterval: us(in.Tick),
		CallSlots: in.Specifics.CallSlots, MaxMessages: l.MostHeld, MaxAttempts: l.SendCap,
		IdleTimeout: us(l.IdleClose), ConnectTimeout: us(l.Connect), AdviseRetryAfter: l.RetryAfter,
		MaxRetryAfter: us(l.MaxRetryAfter), ListOnRequest: in.Mode == "on_request", ListRequestTimeout: us(r.AskWithin),
		DrainGracePeriod: us(r.DrainGrace), AnswerGracePeriod: us(r.Slack), StreamsPerConnection: l.Streams,
		AllowProbes: l.Probes, AllowPeerMessages: l.Peers, AllowCancel: l.Cancel, AllowConcurrentAttempts: l.SecondCopies,
		ClientsFlagRetries: in.Habits.MarksRetry, Position: in.Position, OverShareFactor: in.OverShare,
		ValueDecay: losses[in.Specifics.Loses], ScoreWeights: raventrestle.ScoreWeights{
			Overall: in.Mix.Whole, WorstWindow: in.Mix.Window,
			WorstClass: in.Mix.Class, WorstTenant: in.Mix.Tenant,
		},
		Charges: raventrestle.Charges{
			CrossZone: in.Charges.CrossZone, Handshake: in.Charges.Handshake,
			WastedWork: in.Charges.Waste, LateFailure: in.Charges.LateFail, RejectedCall: in.Specifics.Refused,
			Probe: in.Charges.Probe, PeerMessage: in.Charges.Peer,
		},
		OverloadFactor: r.TipMultiple, OverloadDuration: us(r.TipAfter), WarmupDuration: us(r.ColdFor),
		InitialCapacityShare: r.StartCapacity,
	}
	for i, c := range in.Classes {
		effect, known := effects[c.Effect]
		if !known {
			effect = raventrestle.NonIdempotent
		}
		nm.Keyed[c.Name] = effect == raventrestle.Keyed
		s.Classes = append(s.Classes, raventrestle.Class{
			Name: c.Name, SoftDeadline: us(c.Aim), EstimateFactor: c.Stretch,
			Deadline: us(c.Deadline), Value: c.Credit, LateValueShare: c.Late, Idempotency: effect,
			DedupScope: groups[c.Group], DedupWindow: us(c.Window),
		})
		if c.InOrder {
			nm.Aside = append(nm.Aside, fmt.Sprintf("settings.classes[%d].by_arrival (%q): messages leave in any order", i, c.Name))
		}
		nm.Classes[c.Name], nm.Terms[c.Name] = i, Terms(s.Classes[i])
	}
	for i, t := range in.Tenants {
		nm.Tenants[t.Name] = i
		s.Tenants = append(s.Tenants, raventrestle.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for i, k := range in.Kinds {
		nm.Kinds[k] = i
		kind := raventrestle.DestinationKind{MaxBatch: 1}
		if i < len(in.Specifics.BundleMax) {
			kind.MaxBatch = in.Specifics.BundleMax[i]
		}
		if i < len(in.Specifics.Apart) {
			kind.RoutePerTarget = in.Specifics.Apart[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	for i, z := range in.Zones {
		nm.Zones[z] = i
		zone := raventrestle.Zone{Name: z}
		if i < len(in.Specifics.RouteFee) {
			zone.Fee = in.Specifics.RouteFee[i]
		}
		s.Zones = append(s.Zones, zone)
	}
	s.Zone = Index(nm.Zones, in.Zone)
	return s, nm
}
