package emulator

// What a world is made of.

import (
	"log/slog"
	"slices"
	"time"

	"raventrestle/internal/emulator/link"
)

// ClassSpec is one class of message.
type ClassSpec struct {
	Name     string
	Allowed  EffectLimit
	Window   time.Duration
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Late     float64 // share of the worth that is left at least
	Share    float64 // of the messages
	Kind     string  // of channel, "" for any
}

// Trouble is what is the matter with a channel for a while.
type Trouble struct {
	Dest    int64
	At, For time.Duration // from the start
	Mode    Mode
	Gone    string // the list says from then on that its endpoints on this floor are gone, "" for none
	Drain   bool   // nothing is the matter, but its first endpoint drains meanwhile
}

// Span is a stretch of time, from the start.
type Span struct{ At, For time.Duration }

// Restart is the end and new beginning of a courier's process.
type Restart struct {
	Courier  int
	At, Down time.Duration
	Term     bool // by SIGTERM, not by SIGKILL
}

// Spec is one run: a world, its traffic and what goes wrong in it.
type Spec struct {
	Seed     uint64
	Couriers int
	Program  string // of a courier
	Args     []string
	Env      []string
	Dir      string // folders of the couriers
	Settings string // operators' settings, "" for none; @DIR@ stands for the courier's folder
	Classes  []ClassSpec
	Hotels   []string
	Channels []ChannelSpec
	Rate     float64 // messages a second
	Traffic  time.Duration
	// ReadyWithin is how long a courier may take to become ready; 0 is 20 s.
	ReadyWithin time.Duration
	Settle      time.Duration // after the last message, at most, until Done says yes
	Troubles    []Trouble
	Restarts    []Restart
	Faults      link.FaultSpec `json:",omitzero"` // of links and processes; a plan is drawn from it by Seed
	Fleet       bool           `json:",omitzero"` // couriers are told of one another, and share what they learn
	Hot         []Hot
	Only        []string // keys of the messages that are submitted, of those that are drawn; none for all
	// FloorDelay is how long a call takes to another floor than its courier's, each way.
	FloorDelay time.Duration
	// FrontNotices is how long the front layer takes to notice a dead courier.
	FrontNotices [2]time.Duration
	// ListLate is how late discovery tells of a change; in ListOut it does not answer at all.
	ListLate [2]time.Duration
	ListOut  []Span
	// HotelShares are the hotels' parts of the messages; even ones where there are none.
	HotelShares []float64
	// Clumps is the share of the messages that come at once for one channel, as many as it gets in ClumpLen.
	Clumps   float64
	ClumpLen time.Duration
	// Kills is how many SIGKILLs a run is to have, each while the courier that it hits has a resend out.
	Kills    int
	KillGap  time.Duration // between two, at least
	Down     time.Duration // until a killed courier is started again
	Slots    int
	MostHeld int
	MemoryMB float64
	DiskMB   float64
	Log      *slog.Logger `json:"-"`
	// Done says during settling that nothing more will happen, as far as the run's author can tell.
	Done func(*World) bool `json:"-"`
}

// Platform is the object that the platform tells a courier as its settings.
func (s *Spec) Platform(courier int) any {
	var classes []map[string]any
	for _, c := range s.Classes {
		effect, group := "free", "all"
		switch c.Allowed {
		case OncePerFloor:
			effect, group = "guarded", "zone"
		case OnceOverall:
			effect = "single_shot"
		}
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_us": c.Aim.Microseconds(), "deadline_us": c.Deadline.Microseconds(),
			"effect": effect, "group": group, "window_us": c.Window.Microseconds(), "credit": c.Worth, "late_share": c.Late,
		})
	}
	floors, kinds := []string{}, []string{}
	bulk, apart := []int{}, []bool{}
	add := func(list []string, x string) ([]string, bool) {
		for _, y := range list {
			if x == y {
				return list, false
			}
		}
		return append(list, x), true
	}
	for _, c := range s.Channels {
		var fresh bool
		if kinds, fresh = add(kinds, c.Kind); fresh {
			bulk, apart = append(bulk, max(c.Bulk, 1)), append(apart, c.RoutePerEndpoint)
		}
		for _, f := range c.Floors {
			floors, _ = add(floors, f)
		}
	}
	tenants := []map[string]any{}
	for _, h := range s.Hotels {
		tenants = append(tenants, map[string]any{"name": h, "share": 1 / float64(len(s.Hotels)), "quota_per_s": 2 * s.Rate / float64(len(s.Hotels))})
	}
	return map[string]any{
		"az": s.Home(courier), "failure_domains": floors, "models": kinds, "balancers": s.Couriers, "granularity_us": 5000,
		"membership_mode": "on_request", "classes": classes, "tenants": tenants, "over_share_worth": 0.2,
		"limits": map[string]any{
			"most_held": s.MostHeld, "send_cap": 8, "connect_timeout_us": 1000000, "idle_close_us": 5000000,
			"cancel": true, "retry_after": true, "max_retry_after_us": 2000000,
		},
		"rules": map[string]any{
			"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 1000000, "cold_us": 12000000,
			"start_capacity": 0.15, "tip_after_us": 2000000, "tip_multiple": 2.5,
		},
		"specifics": map[string]any{"call_slots": s.Slots, "bundle_max": bulk, "routes_apart": apart, "loses_worth": "halving"},
	}
}

// Home is the floor that a courier stands on.
func (s *Spec) Home(courier int) string {
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
