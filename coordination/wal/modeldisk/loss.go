package modeldisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// AfterKill returns the disk as it is after the process was killed without a power loss: everything that was written is
// present, synced or not.
func (d *Disk) AfterKill() *Disk {
	return &Disk{
		entries: d.entries, durableEntries: d.durableEntries, FailWrites: d.FailWrites, NoSync: d.NoSync,
	}
}

// AfterPowerLoss returns the disk as it may be after a power loss, with random outcomes for what was not synced.
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

// survivingEntry draws which file has the name after a power loss: the one at the last sync of the directory or the
// current one. It returns nil when there is no file of that name.
func (d *Disk) survivingEntry(name string, onlySynced bool, random *rand.Rand) *file {
	durable, current := d.durableEntries[name], d.entries[name]
	if durable == current || (!onlySynced && random.IntN(2) == 0) {
		return current
	}
	return durable
}

// afterPowerLoss draws the content of the file after a power loss.
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
