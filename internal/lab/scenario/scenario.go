// Package scenario parses the lab's scenarios and generates runs of the emulator from them. The same scenario and seed
// always give the same run. The package does no input or output.
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

// Schema is the CUE schema of a scenario. Its comments document the fields, and `raventrestle-lab scenario schema` prints
// it.
//
//go:embed schema.cue
var Schema string

// Range is a lower and an upper bound, between which a value is drawn from a uniform distribution.
type Range [2]float64

// Class is a class of messages. As in all types of this package, the key of a time ends with its unit, _s or _ms.
type Class struct {
	DeliverySemantics   string  `json:"allowed"`
	DeduplicationWindow float64 `json:"window_s"`
	LatencyTarget       float64 `json:"aim_s"`
	Deadline            float64 `json:"deadline_s"`
	Value               float64 `json:"worth"`
	MinLateShare        float64 `json:"late"`
	Share               float64 `json:"share"`
	ChannelKind         string  `json:"kind"`
	ServiceTime         Range   `json:"service_ms"`
}

// ChannelGroup describes Count channels of one kind. Values that are ranges are drawn for each channel.
type ChannelGroup struct {
	Count             int     `json:"count"`
	Endpoints         int     `json:"endpoints"`
	Headroom          Range   `json:"headroom"`
	QueueLength       int     `json:"queue"`
	RateLimit         *Range  `json:"limit"`
	IndependentRoutes bool    `json:"apart"`
	BatchSize         int     `json:"bulk"`
	Connections       int     `json:"connections"`
	ReportsLimit      bool    `json:"reports"`
	RetryAfterShare   float64 `json:"tells_wait"`
	RetryAfter        Range   `json:"wait_ms"`
	ServiceTimeFactor Range   `json:"pace"`
	WarmUp            float64 `json:"cold_s"`
	InitialCapacity   Range   `json:"start_share"`
}

// ChannelFault is a fault of several channels, drawn from one kind or from all.
type ChannelFault struct {
	Mode        emulator.Mode `json:"mode"`
	Channels    int           `json:"channels"`
	ChannelKind string        `json:"kind"`
	Busiest     bool          `json:"busiest"`
	Start       Range         `json:"at_s"`
	Duration    Range         `json:"for_s"`
}

// Outage is a period in which discovery does not answer.
type Outage struct {
	Start    Range `json:"at_s"`
	Duration Range `json:"for_s"`
}

// TrafficSurge multiplies the messages of several channels by Factor for a period.
type TrafficSurge struct {
	Channels    int    `json:"channels"`
	ChannelKind string `json:"kind"`
	Factor      Range  `json:"times"`
	Start       Range  `json:"at_s"`
	Duration    Range  `json:"for_s"`
}

// Restart stops and restarts several couriers.
type Restart struct {
	Mode     string `json:"how"`
	Couriers int    `json:"couriers"`
	Start    Range  `json:"at_s"`
	Downtime Range  `json:"down_s"`
}

// PassCriteria are the limits that a run must meet to pass.
type PassCriteria struct {
	MaxViolations   int     `json:"violations"`
	MinService      float64 `json:"service"`
	MaxRigLateShare float64 `json:"rig_late_share"`
}

// Scenario describes the couriers, channels, traffic and faults from which runs are generated. The schema documents the
// fields by their keys.
type Scenario struct {
	Name                  string                  `json:"-"`
	Description           string                  `json:"about"`
	Couriers              int                     `json:"couriers"`
	TrafficDuration       float64                 `json:"traffic_s"`
	CompletionTimeout     float64                 `json:"settle_s"`
	FullRate              float64                 `json:"full_rate"`
	Load                  Range                   `json:"load"`
	Floors                []string                `json:"floors"`
	Tenants               map[string]float64      `json:"hotels"`
	BurstShare            Range                   `json:"clumps"`
	BurstLength           Range                   `json:"clump_s"`
	ZipfExponent          Range                   `json:"zipf"`
	Classes               map[string]Class        `json:"classes"`
	Channels              map[string]ChannelGroup `json:"channels"`
	FloorDelay            Range                   `json:"floor_delay_ms"`
	FailureDetectionDelay Range                   `json:"front_notices_s"`
	DiscoveryDelay        Range                   `json:"list_late_s"`
	DiscoveryOutages      []Outage                `json:"list_out"`
	TrafficSurges         []TrafficSurge          `json:"hot"`
	ChannelFaults         []ChannelFault          `json:"troubles"`
	Restarts              []Restart               `json:"restarts"`
	LinkAndProcessFaults  link.FaultSpec          `json:"faults"`
	Fleet                 bool                    `json:"fleet"`
	SlotHeadroom          Range                   `json:"slots_room"`
	HeldMessages          Range                   `json:"held_s"`
	MemoryMB              float64                 `json:"memory_mb"`
	DiskMB                float64                 `json:"disk_mb"`
	Settings              json.RawMessage         `json:"settings"`
	PassCriteria          PassCriteria            `json:"holds"`
}

func cueKind() cuefile.Kind {
	return cuefile.Kind{Name: "scenario", Schema: Schema, Definition: "#Scenario", Check: validate}
}

// Compile checks the text against the schema and returns the scenario as JSON with all defaults.
func Compile(name string, text []byte) ([]byte, error) { return cueKind().Compile(name, text) }

// Parse compiles the text and returns the scenario. The name is used in error messages and as the scenario's name.
func Parse(name string, text []byte) (*Scenario, error) {
	compiled, err := Compile(name, text)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: name}
	if err := json.Unmarshal(compiled, s); err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", name, err)
	}
	return s, nil
}

// validate checks the constraints between fields, which the schema can't express.
func validate(name string, value cue.Value) error {
	text, err := value.MarshalJSON()
	if err != nil {
		return err
	}
	s := &Scenario{}
	if err := json.Unmarshal(text, s); err != nil {
		return err
	}
	fieldError := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: field %s: %w", name, field, fmt.Errorf(format, args...))
	}
	tenantTotal, classTotal := 0.0, 0.0
	for _, share := range s.Tenants {
		tenantTotal += share
	}
	if math.Abs(tenantTotal-1) > 0.001 {
		return fieldError("hotels", "the shares add up to %.3f, not 1", tenantTotal)
	}
	for _, className := range slices.Sorted(maps.Keys(s.Classes)) {
		class := s.Classes[className]
		classTotal += class.Share
		if _, known := s.Channels[class.ChannelKind]; class.ChannelKind != "" && !known {
			return fieldError("classes."+className+".kind", "no channels are of kind %q", class.ChannelKind)
		}
		if class.Deadline < class.LatencyTarget {
			return fieldError("classes."+className+".deadline_s", "%v is less than aim_s, %v", class.Deadline, class.LatencyTarget)
		}
	}
	if math.Abs(classTotal-1) > 0.001 {
		return fieldError("classes", "the shares add up to %.3f, not 1", classTotal)
	}
	channelCount := func(wantKind string) (n int) {
		for kind, group := range s.Channels {
			if wantKind == "" || wantKind == kind {
				n += group.Count
			}
		}
		return n
	}
	for i, fault := range s.ChannelFaults {
		if n := channelCount(fault.ChannelKind); fault.Channels > n {
			return fieldError(fmt.Sprintf("troubles.%d.channels", i), "%d channels are affected, but there are only %d", fault.Channels, n)
		}
	}
	for i, surge := range s.TrafficSurges {
		if n := channelCount(surge.ChannelKind); surge.Channels > n {
			return fieldError(fmt.Sprintf("hot.%d.channels", i), "%d channels get more messages, but there are only %d", surge.Channels, n)
		}
		if surge.Factor[0] < 1 {
			return fieldError(fmt.Sprintf("hot.%d.times", i), "%v is less than 1", surge.Factor[0])
		}
	}
	for i, restart := range s.Restarts {
		if restart.Couriers > s.Couriers {
			return fieldError(fmt.Sprintf("restarts.%d.couriers", i), "%d couriers are affected, but there are only %d", restart.Couriers, s.Couriers)
		}
	}
	if len(s.LinkAndProcessFaults.Links)+len(s.LinkAndProcessFaults.Processes) > 0 {
		spec, err := s.Generate(0)
		if err == nil {
			err = spec.CheckFaults()
		}
		if err != nil {
			return fieldError("faults", "%w", err)
		}
	}
	if len(s.Settings) > 0 { // every JSON text is valid CUE
		if _, err := schema.Compile(name+" (settings)", s.Settings); err != nil {
			return err
		}
	}
	return nil
}

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

var deliverySemantics = map[string]emulator.EffectLimit{"any": emulator.Unlimited, "floor": emulator.OncePerFloor, "once": emulator.OnceOverall}

// Generate returns the run of a seed.
func (s *Scenario) Generate(seed uint64) (emulator.Spec, error) {
	rng := rand.New(rand.NewPCG(seed, 0x5ce))
	load := s.Load.draw(rng)
	spec := emulator.Spec{
		Seed: seed, Couriers: s.Couriers, Rate: s.FullRate * load, Traffic: secondsToDuration(s.TrafficDuration), CompletionTimeout: secondsToDuration(s.CompletionTimeout),
		MemoryMB: s.MemoryMB, DiskMB: s.DiskMB, Faults: s.LinkAndProcessFaults, Fleet: s.Fleet, BurstShare: s.BurstShare.draw(rng), BurstLength: secondsToDuration(s.BurstLength.draw(rng)), Settings: string(s.Settings),
	}
	for _, name := range slices.Sorted(maps.Keys(s.Tenants)) {
		spec.Tenants, spec.TenantShares = append(spec.Tenants, name), append(spec.TenantShares, s.Tenants[name])
	}
	classNames := slices.Sorted(maps.Keys(s.Classes))
	for _, name := range classNames {
		class := s.Classes[name]
		spec.Classes = append(spec.Classes, emulator.ClassSpec{
			Name: name, EffectLimit: deliverySemantics[class.DeliverySemantics], Window: secondsToDuration(class.DeduplicationWindow), TargetLatency: secondsToDuration(class.LatencyTarget),
			Deadline: secondsToDuration(class.Deadline), Value: class.Value, LateValueShare: class.MinLateShare, Share: class.Share, Kind: class.ChannelKind,
		})
	}
	busySlots := s.addChannels(&spec, classNames, rng)
	slots := busySlots / float64(s.Couriers) * s.SlotHeadroom.draw(rng)
	spec.CallSlots = max(int(math.Ceil(slots)), 3)
	spec.MaxMessages = max(int(s.HeldMessages.draw(rng)*s.FullRate/float64(s.Couriers)), 16)
	for _, fault := range s.ChannelFaults {
		var candidates []int
		for i, channel := range spec.Channels {
			if fault.ChannelKind == "" || fault.ChannelKind == channel.Kind {
				candidates = append(candidates, i)
			}
		}
		if fault.Busiest {
			slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(spec.Channels[b].Weight, spec.Channels[a].Weight) })
		} else {
			rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		}
		start, duration := secondsToDuration(fault.Start.draw(rng)), secondsToDuration(fault.Duration.draw(rng))
		for _, i := range candidates[:fault.Channels] {
			channelFault := emulator.ChannelFault{Dest: spec.Channels[i].Dest, Mode: fault.Mode, At: start, For: duration}
			if fault.Mode == "drain" {
				channelFault.Mode, channelFault.Drain = emulator.ModeHealthy, true
			}
			spec.ChannelFaults = append(spec.ChannelFaults, channelFault)
		}
	}
	for _, restart := range s.Restarts {
		start := secondsToDuration(restart.Start.draw(rng))
		for i, courier := range rng.Perm(s.Couriers)[:restart.Couriers] {
			downtime := secondsToDuration(restart.Downtime.draw(rng))
			spec.Restarts = append(spec.Restarts, emulator.Restart{Courier: courier, At: start, Down: downtime, Term: restart.Mode != "kill"})
			if restart.Mode == "rolling" && i+1 < restart.Couriers {
				start += downtime + 4*time.Second // the next courier stops when this one has restarted
			}
		}
	}
	// Fields that were added to the schema later use a random source of their own, so that the runs of older scenarios
	// remain the same.
	rng = rand.New(rand.NewPCG(seed, 0x5cf))
	durations := func(r Range) [2]time.Duration {
		return [2]time.Duration{secondsToDuration(r[0]), secondsToDuration(r[1])}
	}
	spec.FloorDelay, spec.FailureDetectionDelay, spec.ListDelay = secondsToDuration(s.FloorDelay.draw(rng)/1000), durations(s.FailureDetectionDelay), durations(s.DiscoveryDelay)
	for _, outage := range s.DiscoveryOutages {
		spec.DiscoveryOutages = append(spec.DiscoveryOutages, emulator.Interval{At: secondsToDuration(outage.Start.draw(rng)), For: secondsToDuration(outage.Duration.draw(rng))})
	}
	for _, surge := range s.TrafficSurges {
		var candidates []int
		for i, channel := range spec.Channels {
			if surge.ChannelKind == "" || surge.ChannelKind == channel.Kind {
				candidates = append(candidates, i)
			}
		}
		rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, i := range candidates[:surge.Channels] {
			spec.Hot = append(spec.Hot, emulator.HotSpot{Dest: spec.Channels[i].Dest, Factor: surge.Factor.draw(rng), At: secondsToDuration(surge.Start.draw(rng)), For: secondsToDuration(surge.Duration.draw(rng))})
		}
	}
	if len(spec.Channels) == 0 {
		return spec, errors.New("scenario: no channels")
	}
	return spec, nil
}

// addChannels adds all channels to the run and returns the number of slots that are busy at full load. The capacity and
// the rate limit of a channel are multiples of what it receives at full load.
func (s *Scenario) addChannels(spec *emulator.Spec, classNames []string, rng *rand.Rand) (busySlots float64) {
	type kindedChannel struct {
		kind string
		ChannelGroup
	}
	var channels []kindedChannel
	for _, kind := range slices.Sorted(maps.Keys(s.Channels)) {
		for range s.Channels[kind].Count {
			channels = append(channels, kindedChannel{kind, s.Channels[kind]})
		}
	}
	exponent := s.ZipfExponent.draw(rng)
	weights := make([]float64, len(channels))
	for rank, i := range rng.Perm(len(channels)) {
		weights[i] = math.Pow(float64(rank+1), -exponent)
	}
	callRates := make([]float64, len(channels))    // calls per second at full load, by channel
	offeredLoads := make([]float64, len(channels)) // seconds of service per second at full load, by channel
	serviceTimeFactors := make([]float64, len(channels))
	for i := range channels {
		serviceTimeFactors[i] = channels[i].ServiceTimeFactor.draw(rng)
	}
	for _, name := range classNames {
		class, weightSum := s.Classes[name], 0.0
		for i, channel := range channels {
			if class.ChannelKind == "" || class.ChannelKind == channel.kind {
				weightSum += weights[i]
			}
		}
		for i, channel := range channels {
			if class.ChannelKind == "" || class.ChannelKind == channel.kind {
				callRate := s.FullRate * class.Share * weights[i] / weightSum
				callRates[i] += callRate
				offeredLoads[i] += callRate * serviceTimeFactors[i] * (class.ServiceTime[0] + class.ServiceTime[1]) / 2000
			}
		}
	}
	for i, channel := range channels {
		channelSpec := emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: channel.kind, Queue: channel.QueueLength, RoutePerEndpoint: channel.IndependentRoutes, Bulk: channel.BatchSize, Connections: channel.Connections, Reports: channel.ReportsLimit,
			RetryAfterShare: channel.RetryAfterShare, RetryAfter: time.Duration(channel.RetryAfter.draw(rng)) * time.Millisecond, RecoveryTime: secondsToDuration(channel.WarmUp),
			StartShare: channel.InitialCapacity.draw(rng), Weight: weights[i], Service: map[string][2]time.Duration{},
		}
		for _, name := range classNames {
			class := s.Classes[name]
			channelSpec.Window = max(channelSpec.Window, secondsToDuration(class.DeduplicationWindow))
			channelSpec.Service[name] = [2]time.Duration{secondsToDuration(serviceTimeFactors[i] * class.ServiceTime[0] / 1000), secondsToDuration(serviceTimeFactors[i] * class.ServiceTime[1] / 1000)}
		}
		for n := range channel.Endpoints {
			channelSpec.Floors = append(channelSpec.Floors, s.Floors[n%len(s.Floors)])
		}
		channelSpec.Capacity = max(int(math.Ceil(offeredLoads[i]*channel.Headroom.draw(rng)/float64(channel.Endpoints))), 1)
		if channel.RateLimit != nil {
			channelSpec.Limit = max(callRates[i]*channel.RateLimit.draw(rng), 2)
			if channel.IndependentRoutes { // every route has its own limit
				channelSpec.Limit = max(channelSpec.Limit/float64(channel.Endpoints), 2)
			}
		}
		busySlots += offeredLoads[i]
		spec.Channels = append(spec.Channels, channelSpec)
	}
	return busySlots
}
