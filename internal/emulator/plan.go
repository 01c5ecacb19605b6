package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is a message as it is to be submitted first.
type Arrival struct {
	At      time.Duration // from the start of the traffic
	Class   *ClassSpec
	Key     string
	Hotel   string
	Dest    int64
	Courier int // that the front layer's connection leads to
}

// Message is the message, for a run that started then.
func (a Arrival) Message(start time.Time) *Message {
	born := start.Add(a.At)
	return &Message{
		Key: a.Key, Class: a.Class.Name, Allowed: a.Class.Allowed, Worth: a.Class.Worth, Hotel: a.Hotel, Dest: a.Dest,
		Born: born, Until: born.Add(a.Class.Deadline),
	}
}

// Hot is a channel that gets more messages for a while than its weight says.
type Hot struct {
	Dest    int64
	At, For time.Duration
	Times   float64
}

// Plan draws all arrivals of the run, in order of time: the same ones for a seed, whoever plays them.
func (s *Spec) Plan() []Arrival {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	var plan []Arrival
	add := func(at time.Duration, class *ClassSpec, dest int64, rnd *rand.Rand, key string) {
		plan = append(plan, Arrival{
			At: at, Class: class, Key: key, Hotel: s.hotel(rnd), Dest: dest,
			Courier: rnd.IntN(s.Couriers),
		})
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at > s.Traffic {
			break
		}
		class := s.class(rnd)
		dest, part := s.destination(class, rnd)
		size := s.Rate * class.Share * part * s.ClumpLen.Seconds()
		if s.Clumps > 0 && size > 1 && rnd.Float64() < s.Clumps/size {
			for range int(size) {
				add(at, class, dest, rnd, fmt.Sprintf("k%06d", len(plan)))
			}
			continue
		}
		if rnd.Float64() >= s.Clumps { // the rest of the share came in clumps
			add(at, class, dest, rnd, fmt.Sprintf("k%06d", len(plan)))
		}
	}
	for i, h := range s.Hot { // its further messages, beside what it gets anyway
		rnd := rand.New(rand.NewPCG(s.Seed, 0x407+uint64(i)))
		for c := range s.Classes {
			class := &s.Classes[c]
			more := s.Rate * class.Share * s.part(class, h.Dest) * (h.Times - 1)
			for at, n := h.At, 0; more > 0; n++ {
				at += time.Duration(rnd.ExpFloat64() / more * float64(time.Second))
				if at > min(h.At+h.For, s.Traffic) {
					break
				}
				add(at, class, h.Dest, rnd, fmt.Sprintf("hot%d-%d-%06d", i, c, n))
			}
		}
	}
	if len(s.Only) > 0 {
		only := map[string]bool{}
		for _, key := range s.Only {
			only[key] = true
		}
		plan = slices.DeleteFunc(plan, func(a Arrival) bool { return !only[a.Key] })
	}
	slices.SortStableFunc(plan, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// part is what part of the class's messages goes to the channel.
func (s *Spec) part(class *ClassSpec, dest int64) float64 {
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

func weight(class *ClassSpec, c *ChannelSpec) float64 {
	if class.Kind != "" && class.Kind != c.Kind {
		return 0
	}
	return cmp.Or(c.Weight, 1)
}

// destination draws a channel that takes the class, and says what part of the class goes there.
func (s *Spec) destination(class *ClassSpec, rnd *rand.Rand) (dest int64, part float64) {
	sum := 0.0
	for i := range s.Channels {
		sum += weight(class, &s.Channels[i])
	}
	x := rnd.Float64() * sum
	for i := range s.Channels {
		c := &s.Channels[i]
		if n := weight(class, c); n > 0 {
			dest, part = c.Dest, n/sum
			if x -= n; x < 0 {
				break
			}
		}
	}
	return dest, part
}

func (s *Spec) hotel(rnd *rand.Rand) string {
	if len(s.HotelShares) == 0 {
		return s.Hotels[rnd.IntN(len(s.Hotels))]
	}
	x := rnd.Float64()
	for i, share := range s.HotelShares {
		if x -= share; x < 0 {
			return s.Hotels[i]
		}
	}
	return s.Hotels[len(s.Hotels)-1]
}

func (s *Spec) class(rnd *rand.Rand) *ClassSpec {
	x := rnd.Float64()
	for i := range s.Classes {
		if x -= s.Classes[i].Share; x < 0 {
			return &s.Classes[i]
		}
	}
	return &s.Classes[len(s.Classes)-1]
}

// Comeback says when a client submits a message again whose submission number try (from 0) was turned
// away or not answered, and whether it does.
func Comeback(try int) (after time.Duration, again bool) {
	return time.Duration(100+100*try) * time.Millisecond, try < 3
}

// Recall says when a client submits a message again that a courier took on and told it to bring
// again after so long, and whether it does: it was submitted so often before, and has until then.
func Recall(after time.Duration, submissions int, now, until time.Time) (at time.Time, again bool) {
	at = now.Add(max(after, 100*time.Millisecond))
	return at, submissions <= 6 && !at.After(until)
}

// Patience is how long a client waits for the answer to a submission.
const Patience = 400 * time.Millisecond

// Front is the layer that spreads clients' connections. It notices a dead courier only some time
// later, and until then goes on leading connections to it.
type Front struct {
	notice [2]time.Duration
	rnd    *rand.Rand
	gone   []time.Time // from when each is known to be dead, zero while it is not
}

// NewFront returns the layer before so many couriers.
func NewFront(couriers int, notice [2]time.Duration, seed uint64) *Front {
	return &Front{notice: notice, rnd: rand.New(rand.NewPCG(seed, 0xf207)), gone: make([]time.Time, couriers)}
}

// Down says that the courier has died, or closed its listener.
func (f *Front) Down(courier int, at time.Time) {
	f.gone[courier] = at.Add(f.notice[0] + time.Duration(f.rnd.Float64()*float64(f.notice[1]-f.notice[0])))
}

// Up says that the courier is ready.
func (f *Front) Up(courier int) { f.gone[courier] = time.Time{} }

// Pick is the courier that a connection leads to which is the first's by its draw; that one itself
// if none is known to live.
func (f *Front) Pick(first int, at time.Time) int {
	for i := range f.gone {
		n := (first + i) % len(f.gone)
		if f.gone[n].IsZero() || at.Before(f.gone[n]) {
			return n
		}
	}
	return first
}
