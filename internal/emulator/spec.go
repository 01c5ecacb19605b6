package emulator

// The description of a run.

import (
	"log/slog"
	"slices"
	"time"

	"raventrestle/internal/emulator/link"
)

// ClassSpec describes a class of messages.
type ClassSpec struct {
	Name           string
	EffectLimit    EffectLimit `json:"Allowed"`
	Window         time.Duration
	TargetLatency  time.Duration `json:"Aim"`
	Deadline       time.Duration
	Value          float64 `json:"Worth"`
	LateValueShare float64 `json:"Late"` // share of Value that a message keeps when it is delivered late
	Share          float64 // of all messages
	Kind           string  // kind of channel that its messages go to; "" for any
}

// ChannelFault is a failure of a channel from At for the duration For.
type ChannelFault struct {
	Dest         int64
	At, For      time.Duration // from the start of the traffic
	Mode         Mode
	DeletedFloor string `json:"Gone"` // from At on, discovery lists the channel's endpoints on this floor as deleted; "" for none
	Drain        bool   // the channel does not fail, but its first endpoint drains during the interval
}

// Interval is a period of time; At is measured from the start of the traffic.
type Interval struct{ At, For time.Duration }

// Restart stops a courier's process at At and starts it again after Down.
type Restart struct {
	Courier  int
	At, Down time.Duration
	Term     bool // stop it by SIGTERM instead of SIGKILL
}

// Spec describes a run: the emulated system, its traffic and its faults.
type Spec struct {
	Seed     uint64
	Couriers int
	Program  string // the courier's executable
	Args     []string
	Env      []string
	Dir      string // parent of the couriers' directories
	Settings string // operators' settings, "" for none; @DIR@ is replaced by the courier's directory
	Classes  []ClassSpec
	Tenants  []string `json:"Hotels"`
	Channels []ChannelSpec
	Rate     float64       // messages per second
	Traffic  time.Duration // duration of the traffic
	// ReadyTimeout is how long a courier may take to become ready; 0 means 20 s.
	ReadyTimeout      time.Duration  `json:"ReadyWithin"`
	CompletionTimeout time.Duration  `json:"Settle"` // maximum time after the traffic until Done returns true
	ChannelFaults     []ChannelFault `json:"Troubles"`
	Restarts          []Restart
	Faults            link.FaultSpec `json:",omitzero"` // faults of links and processes; the plan is drawn with Seed
	Fleet             bool           `json:",omitzero"` // couriers know one another and share what they learn
	Hot               []HotSpot
	OnlyKeys          []string `json:"Only"` // if not empty, only messages with these keys are submitted
	// FloorDelay is the network delay, in each direction, of a call to a floor other than the courier's.
	FloorDelay time.Duration
	// FailureDetectionDelay is the range of the time that the clients' load balancer needs to detect a stopped courier.
	FailureDetectionDelay [2]time.Duration `json:"FrontNotices"`
	// ListDelay is the range of the delay with which discovery announces a change. During DiscoveryOutages it rejects
	// every request for the list.
	ListDelay        [2]time.Duration `json:"ListLate"`
	DiscoveryOutages []Interval       `json:"ListOut"`
	// TenantShares are the tenants' shares of the messages; if empty, all tenants have equal shares.
	TenantShares []float64 `json:"HotelShares"`
	// BurstShare is the share of the messages that arrive in bursts. A burst consists of simultaneous messages of one
	// class for one channel, as many as the channel receives of that class in BurstLength on average.
	BurstShare  float64       `json:"Clumps"`
	BurstLength time.Duration `json:"ClumpLen"`
	// Kills is the number of SIGKILLs in a run. Each is sent to a courier that has a resend in flight.
	Kills        int
	KillInterval time.Duration `json:"KillGap"`  // minimum time between two kills
	RestartDelay time.Duration `json:"Down"`     // time until a killed courier is started again
	CallSlots    int           `json:"Slots"`    // concurrent calls of a courier
	MaxMessages  int           `json:"MostHeld"` // messages that a courier may hold
	MemoryMB     float64
	DiskMB       float64
	Log          *slog.Logger `json:"-"`
	// Done reports, after the traffic, that no more events are expected, so that the run can end before CompletionTimeout.
	Done func(*Emulation) bool `json:"-"`
}

// PlatformSettings returns the settings that the platform gives a courier, as an object to be encoded as JSON.
func (s *Spec) PlatformSettings(courier int) any {
	var classes []map[string]any
	for _, c := range s.Classes {
		effect, group := "free", "all"
		switch c.EffectLimit {
		case OncePerFloor:
			effect, group = "guarded", "zone"
		case OnceOverall:
			effect = "single_shot"
		}
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_us": c.TargetLatency.Microseconds(), "deadline_us": c.Deadline.Microseconds(),
			"effect": effect, "group": group, "window_us": c.Window.Microseconds(), "credit": c.Value, "late_share": c.LateValueShare,
		})
	}
	floors, kinds := []string{}, []string{}
	bulk, routePerEndpoint := []int{}, []bool{}
	add := func(list []string, x string) ([]string, bool) {
		for _, y := range list {
			if x == y {
				return list, false
			}
		}
		return append(list, x), true
	}
	for _, c := range s.Channels {
		var added bool
		if kinds, added = add(kinds, c.Kind); added {
			bulk, routePerEndpoint = append(bulk, max(c.Bulk, 1)), append(routePerEndpoint, c.RoutePerEndpoint)
		}
		for _, f := range c.Floors {
			floors, _ = add(floors, f)
		}
	}
	tenants := []map[string]any{}
	for _, h := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": h, "share": 1 / float64(len(s.Tenants)), "quota_per_s": 2 * s.Rate / float64(len(s.Tenants))})
	}
	return map[string]any{
		"az": s.HomeFloor(courier), "failure_domains": floors, "models": kinds, "balancers": s.Couriers, "granularity_us": 5000,
		"membership_mode": "on_request", "classes": classes, "tenants": tenants, "over_share_worth": 0.2,
		"limits": map[string]any{
			"most_held": s.MaxMessages, "send_cap": 8, "connect_timeout_us": 1000000, "idle_close_us": 5000000,
			"cancel": true, "retry_after": true, "max_retry_after_us": 2000000,
		},
		"rules": map[string]any{
			"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 1000000, "cold_us": 12000000,
			"start_capacity": 0.15, "tip_after_us": 2000000, "tip_multiple": 2.5,
		},
		"specifics": map[string]any{"call_slots": s.CallSlots, "bundle_max": bulk, "routes_apart": routePerEndpoint, "loses_worth": "halving"},
	}
}

// HomeFloor returns the floor on which a courier runs.
func (s *Spec) HomeFloor(courier int) string {
	var floors []string
	for _, c := range s.Channels {
		for _, f := range c.Floors {
			if !slices.Contains(floors, f) {
				floors = append(floors, f)
			}
		}
	}
	return floors[courier%len(floors)]
}
