package modeldisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// AfterKill returns the disk as the next process finds it when only the process ended: with everything that was written,
// synced or not.
func (d *Disk) AfterKill() *Disk {
	return &Disk{
		entries: d.entries, durableEntries: d.durableEntries, FailWrites: d.FailWrites, NoSync: d.NoSync,
	}
}

// AfterPowerLoss returns the disk as it may be found after a power loss.
func (d *Disk) AfterPowerLoss(random *rand.Rand) *Disk {
	after := New()
	after.NoSync, after.FailWrites = d.NoSync, d.FailWrites
	onlySynced := random.IntN(4) == 0
	all := maps.Clone(d.durableEntries)
	maps.Copy(all, d.entries)
	survivors := map[*file]*file{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		f := d.survivingEntry(name, onlySynced, random)
		if f == nil {
			continue
		}
		if survivors[f] == nil {
			survivors[f] = f.afterPowerLoss(onlySynced, random)
		}
		after.entries[name] = survivors[f]
		after.durableEntries[name] = survivors[f]
	}
	return after
}

// survivingEntry picks the file that the name stands for after a power loss; nil when it stands for none.
func (d *Disk) survivingEntry(name string, onlySynced bool, random *rand.Rand) *file {
	durable, current := d.durableEntries[name], d.entries[name]
	if durable == current || (!onlySynced && random.IntN(2) == 0) {
		return current
	}
	return durable
}

// afterPowerLoss returns what a power loss leaves of the file.
func (f *file) afterPowerLoss(onlySynced bool, random *rand.Rand) *file {
	body := slices.Clone(f.synced)
	keepAll := !onlySynced && random.IntN(4) == 0
	for _, write := range f.unsynced {
		end := write.to
		switch {
		case onlySynced:
			continue
		case keepAll:
		case random.IntN(3) == 0: // missing
			continue
		case random.IntN(2) == 0: // torn
			end = write.from + random.IntN(write.to-write.from+1)
		}
		if end > len(body) {
			body = append(body, make([]byte, end-len(body))...)
		}
		copy(body[write.from:end], f.body[write.from:end])
	}
	return &file{body: body, synced: body}
}
