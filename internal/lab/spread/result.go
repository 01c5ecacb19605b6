package spread

import (
	"fmt"
	"slices"
	"time"

	"raventrestle/internal/fleet/facts"
)

func (f *fleet) result() Result {
	r := Result{Told: len(f.all), AgeWrong: f.ageWrong, Equal: f.equal}
	unheard := 0
	for _, x := range f.all {
		unheard += f.Members - 1 - x.reached
		if x.full < 0 {
			r.Missed++
		} else {
			r.Spread = append(r.Spread, x.full)
		}
	}
	slices.Sort(r.Spread)
	slices.Sort(f.ages)
	r.Unheard = float64(unheard) / float64(max(1, len(f.all)*(f.Members-1)))
	r.InTime = float64(f.timely) / float64(max(1, f.waits))
	if n := len(f.ages); n > 0 {
		r.AgeLow, r.AgeP99, r.AgeTop = f.ages[0], f.ages[n*99/100], f.ages[n-1]
	}
	seconds := max(1, int(f.Tell/time.Second))
	probes := f.figures.ProbeRate
	for _, m := range f.members {
		sum := 0
		for s := range min(seconds, len(m.sent)) {
			sum += m.sent[s]
			r.Worst = max(r.Worst, m.sent[s]+probes)
		}
		r.Mean += sum
		if m.i == 0 && f.Coordinator {
			r.Hub = sum/seconds + probes
		}
		s := m.store.Stats()
		r.Dropped += s.JobsDropped + s.GossipDropped + s.Evicted + s.TooManyOrigins + s.EpochsDropped
	}
	r.Mean = r.Mean/seconds/f.Members + probes
	if f.equal >= 0 && f.TTL > f.last+f.After {
		r.Differ = f.differ(r.AgeTop - r.AgeLow)
	}
	return r
}

// differ counts the facts that one member holds and another doesn't, and the keys for which two members read other
// evidence though what decides is further apart than their tables' ages may be.
func (f *fleet) differ(within time.Duration) int {
	type id struct {
		key    facts.Key
		origin string
		seq    uint64
	}
	n := 0
	var first map[id]bool
	keys := map[facts.Key]bool{}
	for _, m := range f.members {
		held := map[id]bool{}
		for _, x := range m.store.FullState(m.clock(f.now)) {
			held[id{x.Key(), x.Origin, x.Seq}] = true
			keys[x.Key()] = true
		}
		if first == nil {
			first = held
		}
		for x := range held {
			if !first[x] {
				n++
			}
		}
		n += max(0, len(first)-len(held))
	}
	for k := range keys {
		a, was := f.members[0].store.Read(f.members[0].clock(f.now), k.Subject, k.Kind)
		for _, m := range f.members[1:] {
			b, is := m.store.Read(m.clock(f.now), k.Subject, k.Kind)
			apart := a.Age - b.Age
			if k.Kind == facts.Wait {
				apart = a.Remaining - b.Remaining // 0 for one that isn't read: it is over
			}
			if (is != was || a.Origin != b.Origin || a.Seq != b.Seq) && apart.Abs() > within {
				n++
			}
		}
	}
	return n
}

// At gives the time by which a share of all facts was at all others; false if fewer ever were.
func (r Result) At(share float64) (time.Duration, bool) {
	i := int(share*float64(r.Told-1) + 0.5)
	if i < 0 || i >= len(r.Spread) {
		return 0, false
	}
	return r.Spread[i], true
}

// Header and Row are a table for the results.
const Header = "| members | loss | facts told | p50 s | p99 s | worst s | not at all | unheard | waits in time | B/s mean | worst second | " +
	"age error p99, most, least ms | dropped |\n|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"

// Row of a run.
func (r Result) Row(c Config) string {
	at := func(q float64) string {
		if d, ok := r.At(q); ok {
			return fmt.Sprintf("%.2f", d.Seconds())
		}
		return "never"
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }
	return fmt.Sprintf("| %d | %.0f%% | %d | %s | %s | %s | %d | %.4f%% | %.0f%% | %d | %d | %s, %s, %s | %d |", c.Members, 100*c.Loss, r.Told,
		at(0.5), at(0.99), at(1), r.Missed, 100*r.Unheard, 100*r.InTime, r.Mean, r.Worst, ms(r.AgeP99), ms(r.AgeTop), ms(r.AgeLow), r.Dropped)
}
