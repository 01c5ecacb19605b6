package dissemination

import (
	"fmt"
	"slices"
	"time"

	"raventrestle/internal/fleet/facts"
)

// result returns the measurements at the current time.
func (f *fleet) result() Result {
	r := Result{Facts: len(f.records), InvalidAges: f.invalidAges, ConvergenceTime: f.convergenceTime}
	undelivered := 0
	for _, record := range f.records {
		undelivered += f.Members - 1 - record.reachedMembers
		if record.deliveryTime < 0 {
			r.Incomplete++
		} else {
			r.DeliveryTimes = append(r.DeliveryTimes, record.deliveryTime)
		}
	}
	slices.Sort(r.DeliveryTimes)
	slices.Sort(f.ageErrors)
	r.UndeliveredShare = float64(undelivered) / float64(max(1, len(f.records)*(f.Members-1)))
	r.TimelyWaitShare = float64(f.timelyWaits) / float64(max(1, f.expectedWaits))
	if n := len(f.ageErrors); n > 0 {
		r.MinAgeError, r.AgeErrorP99, r.MaxAgeError = f.ageErrors[0], f.ageErrors[n*99/100], f.ageErrors[n-1]
	}
	seconds := max(1, int(f.LoadDuration/time.Second))
	probeByteRate := f.traffic.ProbeRate
	for _, m := range f.members {
		total := 0
		for second := range min(seconds, len(m.sentBytes)) {
			total += m.sentBytes[second]
			r.MaxByteRate = max(r.MaxByteRate, m.sentBytes[second]+probeByteRate)
		}
		r.MeanByteRate += total
		if m.index == 0 && f.Coordinator {
			r.CoordinatorByteRate = total/seconds + probeByteRate
		}
		stats := m.store.Stats()
		r.Dropped += stats.JobsDropped + stats.GossipDropped + stats.Evicted + stats.TooManyOrigins + stats.EpochsDropped
	}
	r.MeanByteRate = r.MeanByteRate/seconds/f.Members + probeByteRate
	if f.convergenceTime >= 0 && f.TTL > f.disturbanceEnd+f.TimeAfterLoad {
		r.Differences = f.countDifferences(r.MaxAgeError - r.MinAgeError)
	}
	return r
}

// countDifferences returns the number of facts that one member stores and another does not, plus the number of keys for
// which two members read different facts. Members may read different facts only if the ages, or for a wait the remaining
// times, of the two facts differ by at most maxAgeDifference, because stated ages are only that precise.
func (f *fleet) countDifferences(maxAgeDifference time.Duration) int {
	type factID struct {
		key    facts.Key
		origin string
		seq    uint64
	}
	differences := 0
	var reference map[factID]bool
	keys := map[facts.Key]bool{}
	for _, m := range f.members {
		stored := map[factID]bool{}
		for _, fact := range m.store.FullState(m.localTime(f.now)) {
			stored[factID{fact.Key(), fact.Origin, fact.Seq}] = true
			keys[fact.Key()] = true
		}
		if reference == nil {
			reference = stored
		}
		for id := range stored {
			if !reference[id] {
				differences++
			}
		}
		differences += max(0, len(reference)-len(stored))
	}
	for k := range keys {
		want, wantFound := f.members[0].store.Read(f.members[0].localTime(f.now), k.Subject, k.Kind)
		for _, m := range f.members[1:] {
			got, found := m.store.Read(m.localTime(f.now), k.Subject, k.Kind)
			difference := want.Age - got.Age
			if k.Kind == facts.Wait {
				difference = want.Remaining - got.Remaining // 0 if the member reads none, as its wait is over
			}
			if (found != wantFound || want.Origin != got.Origin || want.Seq != got.Seq) && difference.Abs() > maxAgeDifference {
				differences++
			}
		}
	}
	return differences
}

// DeliveryQuantile returns the time within which the given share of all facts reached all other members. It returns false
// if fewer facts ever did.
func (r Result) DeliveryQuantile(share float64) (time.Duration, bool) {
	i := int(share*float64(r.Facts-1) + 0.5)
	if i < 0 || i >= len(r.DeliveryTimes) {
		return 0, false
	}
	return r.DeliveryTimes[i], true
}

// TableHeader is the header of the Markdown table that TableRow fills.
const TableHeader = "| members | loss | facts told | p50 s | p99 s | worst s | not at all | unheard | waits in time | B/s mean | worst second | " +
	"age error p99, most, least ms | dropped |\n|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"

// TableRow returns the result as a row of the table. The configuration must be the one of the run.
func (r Result) TableRow(c Config) string {
	at := func(q float64) string {
		if d, ok := r.DeliveryQuantile(q); ok {
			return fmt.Sprintf("%.2f", d.Seconds())
		}
		return "never"
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }
	return fmt.Sprintf("| %d | %.0f%% | %d | %s | %s | %s | %d | %.4f%% | %.0f%% | %d | %d | %s, %s, %s | %d |", c.Members, 100*c.PacketLoss, r.Facts,
		at(0.5), at(0.99), at(1), r.Incomplete, 100*r.UndeliveredShare, 100*r.TimelyWaitShare, r.MeanByteRate, r.MaxByteRate, ms(r.AgeErrorP99), ms(r.MaxAgeError), ms(r.MinAgeError), r.Dropped)
}
