// Package scenario reads the lab's scenarios and draws days from them. It is pure but for Load: the
// same scenario and seed give the same day.
package scenario

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cuelang.org/go/cue"

	"raventrestle/internal/cuefile"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/link"
	"raventrestle/internal/settings/schema"
)

// Text is the schema, with a comment on every field.
//
//go:embed schema.cue
var Text string

// Range is drawn from evenly.
type Range [2]float64

// Class, Channels, Trouble and Restart are parts of a scenario, as the schema explains them.
type Class struct {
	Allowed  string  `json:"allowed"`
	Window   float64 `json:"window_s"`
	Aim      float64 `json:"aim_s"`
	Deadline float64 `json:"deadline_s"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"late"`
	Share    float64 `json:"share"`
	Kind     string  `json:"kind"`
	Service  Range   `json:"service_ms"`
}

// Channels is a kind of channel.
type Channels struct {
	Count       int     `json:"count"`
	Endpoints   int     `json:"endpoints"`
	Headroom    Range   `json:"headroom"`
	Queue       int     `json:"queue"`
	Limit       *Range  `json:"limit"`
	Apart       bool    `json:"apart"`
	Bulk        int     `json:"bulk"`
	Connections int     `json:"connections"`
	Reports     bool    `json:"reports"`
	TellsWait   float64 `json:"tells_wait"`
	Wait        Range   `json:"wait_ms"`
	Pace        Range   `json:"pace"`
	Cold        float64 `json:"cold_s"`
	StartShare  Range   `json:"start_share"`
}

// Trouble strikes channels.
type Trouble struct {
	Mode     emulator.Mode `json:"mode"`
	Channels int           `json:"channels"`
	Kind     string        `json:"kind"`
	Busiest  bool          `json:"busiest"`
	At       Range         `json:"at_s"`
	For      Range         `json:"for_s"`
}

// Span is a stretch of time.
type Span struct {
	At  Range `json:"at_s"`
	For Range `json:"for_s"`
}

// Hot channels get more messages for a while.
type Hot struct {
	Channels int    `json:"channels"`
	Kind     string `json:"kind"`
	Times    Range  `json:"times"`
	At       Range  `json:"at_s"`
	For      Range  `json:"for_s"`
}

// Restart strikes couriers.
type Restart struct {
	How      string `json:"how"`
	Couriers int    `json:"couriers"`
	At       Range  `json:"at_s"`
	Down     Range  `json:"down_s"`
}

// Holds is what must hold for a run to pass.
type Holds struct {
	Violations   int     `json:"violations"`
	Service      float64 `json:"service"`
	RigLateShare float64 `json:"rig_late_share"`
}

// Scenario is a whole one.
type Scenario struct {
	Name     string              `json:"-"`
	About    string              `json:"about"`
	Couriers int                 `json:"couriers"`
	Traffic  float64             `json:"traffic_s"`
	Settle   float64             `json:"settle_s"`
	FullRate float64             `json:"full_rate"`
	Load     Range               `json:"load"`
	Floors   []string            `json:"floors"`
	Hotels   map[string]float64  `json:"hotels"`
	Clumps   Range               `json:"clumps"`
	ClumpLen Range               `json:"clump_s"`
	Zipf     Range               `json:"zipf"`
	Classes  map[string]Class    `json:"classes"`
	Channels map[string]Channels `json:"channels"`
	Delay    Range               `json:"floor_delay_ms"`
	Notices  Range               `json:"front_notices_s"`
	ListLate Range               `json:"list_late_s"`
	ListOut  []Span              `json:"list_out"`
	Hot      []Hot               `json:"hot"`
	Troubles []Trouble           `json:"troubles"`
	Restarts []Restart           `json:"restarts"`
	Faults   link.FaultSpec      `json:"faults"`
	Fleet    bool                `json:"fleet"`
	Slots    Range               `json:"slots_room"`
	Held     Range               `json:"held_s"`
	MemoryMB float64             `json:"memory_mb"`
	DiskMB   float64             `json:"disk_mb"`
	Settings json.RawMessage     `json:"settings"`
	Holds    Holds               `json:"holds"`
}

func kind() cuefile.Kind {
	return cuefile.Kind{Name: "scenario", Schema: Text, Definition: "#Scenario", Check: whole}
}

// Compile checks the text and returns the scenario as JSON, all defaults filled in.
func Compile(name string, text []byte) ([]byte, error) { return kind().Compile(name, text) }

// Parse is Compile, read into records.
func Parse(name string, text []byte) (*Scenario, error) {
	out, err := Compile(name, text)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: name}
	if err := json.Unmarshal(out, s); err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", name, err)
	}
	return s, nil
}

// whole holds what single fields can't say.
func whole(name string, v cue.Value) error {
	text, err := v.MarshalJSON()
	if err != nil {
		return err
	}
	s := &Scenario{}
	if err := json.Unmarshal(text, s); err != nil {
		return err
	}
	bad := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: field %s: %w", name, field, fmt.Errorf(format, args...))
	}
	hotels, shares := 0.0, 0.0
	for _, share := range s.Hotels {
		hotels += share
	}
	if math.Abs(hotels-1) > 0.001 {
		return bad("hotels", "the shares add up to %.3f, not 1", hotels)
	}
	for _, n := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[n]
		shares += c.Share
		if _, known := s.Channels[c.Kind]; c.Kind != "" && !known {
			return bad("classes."+n+".kind", "no channels are of kind %q", c.Kind)
		}
		if c.Deadline < c.Aim {
			return bad("classes."+n+".deadline_s", "%v is under the aim, %v", c.Deadline, c.Aim)
		}
	}
	if math.Abs(shares-1) > 0.001 {
		return bad("classes", "the shares add up to %.3f, not 1", shares)
	}
	of := func(wanted string) (n int) {
		for kind, c := range s.Channels {
			if wanted == "" || wanted == kind {
				n += c.Count
			}
		}
		return n
	}
	for i, t := range s.Troubles {
		if n := of(t.Kind); t.Channels > n {
			return bad(fmt.Sprintf("troubles.%d.channels", i), "%d are struck, and there are %d", t.Channels, n)
		}
	}
	for i, h := range s.Hot {
		if n := of(h.Kind); h.Channels > n {
			return bad(fmt.Sprintf("hot.%d.channels", i), "%d are hot, and there are %d", h.Channels, n)
		}
		if h.Times[0] < 1 {
			return bad(fmt.Sprintf("hot.%d.times", i), "%v is under 1", h.Times[0])
		}
	}
	for i, r := range s.Restarts {
		if r.Couriers > s.Couriers {
			return bad(fmt.Sprintf("restarts.%d.couriers", i), "%d are struck, and there are %d", r.Couriers, s.Couriers)
		}
	}
	if len(s.Faults.Links)+len(s.Faults.Processes) > 0 {
		day, err := s.Draw(0)
		if err == nil {
			err = day.CheckFaults()
		}
		if err != nil {
			return bad("faults", "%w", err)
		}
	}
	if len(s.Settings) > 0 { // JSON is CUE
		if _, err := schema.Compile(name+" (settings)", s.Settings); err != nil {
			return err
		}
	}
	return nil
}

func (r Range) draw(rnd *rand.Rand) float64 { return r[0] + rnd.Float64()*(r[1]-r[0]) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var allowed = map[string]emulator.EffectLimit{"any": emulator.Unlimited, "floor": emulator.OncePerFloor, "once": emulator.OnceOverall}

// Draw draws the day of a seed.
func (s *Scenario) Draw(seed uint64) (emulator.Spec, error) {
	rnd := rand.New(rand.NewPCG(seed, 0x5ce))
	load := s.Load.draw(rnd)
	d := emulator.Spec{
		Seed: seed, Couriers: s.Couriers, Rate: s.FullRate * load, Traffic: seconds(s.Traffic), CompletionTimeout: seconds(s.Settle),
		MemoryMB: s.MemoryMB, DiskMB: s.DiskMB, Faults: s.Faults, Fleet: s.Fleet, BurstShare: s.Clumps.draw(rnd), BurstLength: seconds(s.ClumpLen.draw(rnd)), Settings: string(s.Settings),
	}
	for _, name := range slices.Sorted(maps.Keys(s.Hotels)) {
		d.Tenants, d.TenantShares = append(d.Tenants, name), append(d.TenantShares, s.Hotels[name])
	}
	classes := slices.Sorted(maps.Keys(s.Classes))
	for _, name := range classes {
		c := s.Classes[name]
		d.Classes = append(d.Classes, emulator.ClassSpec{
			Name: name, EffectLimit: allowed[c.Allowed], Window: seconds(c.Window), TargetLatency: seconds(c.Aim),
			Deadline: seconds(c.Deadline), Value: c.Worth, LateValueShare: c.Late, Share: c.Share, Kind: c.Kind,
		})
	}
	busy := s.channels(&d, classes, rnd)
	slots := busy / float64(s.Couriers) * s.Slots.draw(rnd)
	d.CallSlots = max(int(math.Ceil(slots)), 3)
	d.MaxMessages = max(int(s.Held.draw(rnd)*s.FullRate/float64(s.Couriers)), 16)
	for _, t := range s.Troubles {
		var to []int
		for i, c := range d.Channels {
			if t.Kind == "" || t.Kind == c.Kind {
				to = append(to, i)
			}
		}
		if t.Busiest {
			slices.SortStableFunc(to, func(a, b int) int { return cmp.Compare(d.Channels[b].Weight, d.Channels[a].Weight) })
		} else {
			rnd.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		}
		at, length := seconds(t.At.draw(rnd)), seconds(t.For.draw(rnd))
		for _, i := range to[:t.Channels] {
			x := emulator.ChannelFault{Dest: d.Channels[i].Dest, Mode: t.Mode, At: at, For: length}
			if t.Mode == "drain" {
				x.Mode, x.Drain = emulator.ModeHealthy, true
			}
			d.ChannelFaults = append(d.ChannelFaults, x)
		}
	}
	for _, r := range s.Restarts {
		at := seconds(r.At.draw(rnd))
		for i, n := range rnd.Perm(s.Couriers)[:r.Couriers] {
			down := seconds(r.Down.draw(rnd))
			d.Restarts = append(d.Restarts, emulator.Restart{Courier: n, At: at, Down: down, Term: r.How != "kill"})
			if r.How == "rolling" && i+1 < r.Couriers {
				at += down + 4*time.Second // the next one when this one is back
			}
		}
	}
	// What came later to the schema draws for itself, so that older scenarios keep their days.
	rnd = rand.New(rand.NewPCG(seed, 0x5cf))
	span := func(r Range) [2]time.Duration { return [2]time.Duration{seconds(r[0]), seconds(r[1])} }
	d.FloorDelay, d.FailureDetectionDelay, d.ListDelay = seconds(s.Delay.draw(rnd)/1000), span(s.Notices), span(s.ListLate)
	for _, o := range s.ListOut {
		d.DiscoveryOutages = append(d.DiscoveryOutages, emulator.Interval{At: seconds(o.At.draw(rnd)), For: seconds(o.For.draw(rnd))})
	}
	for _, h := range s.Hot {
		var to []int
		for i, c := range d.Channels {
			if h.Kind == "" || h.Kind == c.Kind {
				to = append(to, i)
			}
		}
		rnd.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		for _, i := range to[:h.Channels] {
			d.Hot = append(d.Hot, emulator.HotSpot{Dest: d.Channels[i].Dest, Factor: h.Times.draw(rnd), At: seconds(h.At.draw(rnd)), For: seconds(h.For.draw(rnd))})
		}
	}
	if len(d.Channels) == 0 {
		return d, errors.New("scenario: no channels")
	}
	return d, nil
}

// channels draws every channel and returns how many slots full load keeps busy. What a channel can
// do follows from what full load brings it.
func (s *Scenario) channels(d *emulator.Spec, classes []string, rnd *rand.Rand) (busy float64) {
	type place struct {
		kind string
		Channels
	}
	var all []place
	for _, kind := range slices.Sorted(maps.Keys(s.Channels)) {
		for range s.Channels[kind].Count {
			all = append(all, place{kind, s.Channels[kind]})
		}
	}
	power := s.Zipf.draw(rnd)
	weights := make([]float64, len(all))
	for rank, i := range rnd.Perm(len(all)) {
		weights[i] = math.Pow(float64(rank+1), -power)
	}
	calls := make([]float64, len(all)) // a second at full load
	work := make([]float64, len(all))  // seconds of service a second
	paces := make([]float64, len(all))
	for i := range all {
		paces[i] = all[i].Pace.draw(rnd)
	}
	for _, name := range classes {
		c, sum := s.Classes[name], 0.0
		for i, p := range all {
			if c.Kind == "" || c.Kind == p.kind {
				sum += weights[i]
			}
		}
		for i, p := range all {
			if c.Kind == "" || c.Kind == p.kind {
				n := s.FullRate * c.Share * weights[i] / sum
				calls[i] += n
				work[i] += n * paces[i] * (c.Service[0] + c.Service[1]) / 2000
			}
		}
	}
	for i, p := range all {
		x := emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: p.kind, Queue: p.Queue, RoutePerEndpoint: p.Apart, Bulk: p.Bulk, Connections: p.Connections, Reports: p.Reports,
			RetryAfterShare: p.TellsWait, RetryAfter: time.Duration(p.Wait.draw(rnd)) * time.Millisecond, RecoveryTime: seconds(p.Cold),
			StartShare: p.StartShare.draw(rnd), Weight: weights[i], Service: map[string][2]time.Duration{},
		}
		for _, name := range classes {
			c := s.Classes[name]
			x.Window = max(x.Window, seconds(c.Window))
			x.Service[name] = [2]time.Duration{seconds(paces[i] * c.Service[0] / 1000), seconds(paces[i] * c.Service[1] / 1000)}
		}
		for n := range p.Endpoints {
			x.Floors = append(x.Floors, s.Floors[n%len(s.Floors)])
		}
		x.Capacity = max(int(math.Ceil(work[i]*p.Headroom.draw(rnd)/float64(p.Endpoints))), 1)
		if p.Limit != nil {
			x.Limit = max(calls[i]*p.Limit.draw(rnd), 2)
			if p.Apart { // each route has its own
				x.Limit = max(x.Limit/float64(p.Endpoints), 2)
			}
		}
		busy += work[i]
		d.Channels = append(d.Channels, x)
	}
	return busy
}
