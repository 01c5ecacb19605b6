package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is the planned first submission of a message.
type Arrival struct {
	At      time.Duration // from the start of the traffic
	Class   *ClassSpec
	Key     string
	Tenant  string
	Dest    int64
	Courier int // to which the load balancer connects the client if that courier is up
}

// Message returns the message, for a run whose traffic starts at the given time.
func (a Arrival) Message(start time.Time) *Message {
	createdAt := start.Add(a.At)
	return &Message{
		Key: a.Key, Class: a.Class.Name, EffectLimit: a.Class.EffectLimit, Value: a.Class.Value, Tenant: a.Tenant, Dest: a.Dest,
		CreatedAt: createdAt, Deadline: createdAt.Add(a.Class.Deadline),
	}
}

// HotSpot multiplies the messages for a channel by Factor from At for the duration For.
type HotSpot struct {
	Dest    int64
	At, For time.Duration
	Factor  float64 `json:"Times"`
}

// Plan draws all arrivals of the run, ordered by time. They depend on the Spec and its seed only, not on how the run
// is executed.
func (s *Spec) Plan() []Arrival {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	var plan []Arrival
	add := func(at time.Duration, class *ClassSpec, dest int64, rnd *rand.Rand, key string) {
		plan = append(plan, Arrival{
			At: at, Class: class, Key: key, Tenant: s.drawTenant(rnd), Dest: dest,
			Courier: rnd.IntN(s.Couriers),
		})
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at > s.Traffic {
			break
		}
		class := s.drawClass(rnd)
		dest, share := s.drawChannel(class, rnd)
		burstSize := s.Rate * class.Share * share * s.BurstLength.Seconds()
		if s.BurstShare > 0 && burstSize > 1 && rnd.Float64() < s.BurstShare/burstSize {
			for range int(burstSize) {
				add(at, class, dest, rnd, fmt.Sprintf("k%06d", len(plan)))
			}
			continue
		}
		if rnd.Float64() >= s.BurstShare { // the remaining share arrives in bursts
			add(at, class, dest, rnd, fmt.Sprintf("k%06d", len(plan)))
		}
	}
	for i, h := range s.Hot { // the additional messages, on top of the regular ones
		rnd := rand.New(rand.NewPCG(s.Seed, 0x407+uint64(i)))
		for c := range s.Classes {
			class := &s.Classes[c]
			extraRate := s.Rate * class.Share * s.channelShare(class, h.Dest) * (h.Factor - 1)
			for at, n := h.At, 0; extraRate > 0; n++ {
				at += time.Duration(rnd.ExpFloat64() / extraRate * float64(time.Second))
				if at > min(h.At+h.For, s.Traffic) {
					break
				}
				add(at, class, h.Dest, rnd, fmt.Sprintf("hot%d-%d-%06d", i, c, n))
			}
		}
	}
	if len(s.OnlyKeys) > 0 {
		only := map[string]bool{}
		for _, key := range s.OnlyKeys {
			only[key] = true
		}
		plan = slices.DeleteFunc(plan, func(a Arrival) bool { return !only[a.Key] })
	}
	slices.SortStableFunc(plan, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// channelShare returns the share of the class's messages that goes to the channel.
func (s *Spec) channelShare(class *ClassSpec, dest int64) float64 {
	sum, own := 0.0, 0.0
	for i := range s.Channels {
		n := weight(class, &s.Channels[i])
		if sum += n; s.Channels[i].Dest == dest {
			own = n
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}

// weight returns the weight of the channel for messages of the class; 0 if it does not accept them.
func weight(class *ClassSpec, c *ChannelSpec) float64 {
	if class.Kind != "" && class.Kind != c.Kind {
		return 0
	}
	return cmp.Or(c.Weight, 1)
}

// drawChannel draws a channel that accepts the class and returns the share of the class's messages that goes there.
func (s *Spec) drawChannel(class *ClassSpec, rnd *rand.Rand) (dest int64, share float64) {
	sum := 0.0
	for i := range s.Channels {
		sum += weight(class, &s.Channels[i])
	}
	x := rnd.Float64() * sum
	for i := range s.Channels {
		c := &s.Channels[i]
		if n := weight(class, c); n > 0 {
			dest, share = c.Dest, n/sum
			if x -= n; x < 0 {
				break
			}
		}
	}
	return dest, share
}

func (s *Spec) drawTenant(rnd *rand.Rand) string {
	if len(s.TenantShares) == 0 {
		return s.Tenants[rnd.IntN(len(s.Tenants))]
	}
	x := rnd.Float64()
	for i, share := range s.TenantShares {
		if x -= share; x < 0 {
			return s.Tenants[i]
		}
	}
	return s.Tenants[len(s.Tenants)-1]
}

func (s *Spec) drawClass(rnd *rand.Rand) *ClassSpec {
	x := rnd.Float64()
	for i := range s.Classes {
		if x -= s.Classes[i].Share; x < 0 {
			return &s.Classes[i]
		}
	}
	return &s.Classes[len(s.Classes)-1]
}

// RetryDelay returns after what delay a client retries when the given attempt (from 0) was rejected or not answered,
// and whether it retries at all.
func RetryDelay(attempt int) (delay time.Duration, retry bool) {
	return time.Duration(100+100*attempt) * time.Millisecond, attempt < 3
}

// ResubmitAt returns when a client submits a message again that a courier accepted and then deferred, with the advice
// to resubmit it after wait. The result is false if the message was submitted too often or its deadline comes first.
func ResubmitAt(wait time.Duration, submissions int, now, deadline time.Time) (at time.Time, ok bool) {
	at = now.Add(max(wait, 100*time.Millisecond))
	return at, submissions <= 6 && !at.After(deadline)
}

// ClientTimeout is how long a client waits for the response to a submission.
const ClientTimeout = 400 * time.Millisecond

// Balancer is the load balancer between clients and couriers. It detects a stopped courier only after a delay and
// until then continues to connect clients to it.
type Balancer struct {
	detectionDelay [2]time.Duration
	rnd            *rand.Rand
	knownDownFrom  []time.Time // when each courier is detected as down; zero while it is up
}

// NewBalancer returns a balancer for the number of couriers.
func NewBalancer(couriers int, detectionDelay [2]time.Duration, seed uint64) *Balancer {
	return &Balancer{detectionDelay: detectionDelay, rnd: rand.New(rand.NewPCG(seed, 0xf207)), knownDownFrom: make([]time.Time, couriers)}
}

// Down records that the courier has stopped or closed its listener.
func (b *Balancer) Down(courier int, at time.Time) {
	b.knownDownFrom[courier] = at.Add(b.detectionDelay[0] + time.Duration(b.rnd.Float64()*float64(b.detectionDelay[1]-b.detectionDelay[0])))
}

// Up records that the courier is ready.
func (b *Balancer) Up(courier int) { b.knownDownFrom[courier] = time.Time{} }

// Pick returns the courier that a connection intended for first is made to: the first one from there on that is not
// known to be down, or first itself if all are.
func (b *Balancer) Pick(first int, at time.Time) int {
	for i := range b.knownDownFrom {
		n := (first + i) % len(b.knownDownFrom)
		if b.knownDownFrom[n].IsZero() || at.Before(b.knownDownFrom[n]) {
			return n
		}
	}
	return first
}
