// Package modeldisk is a disk in memory that can lose power. After a loss each unsynced write is there, missing
// or torn, and each unsynced name is there or not, independently; all is drawn from the caller's random numbers.
package modeldisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"raventrestle/coordination/wal"
)

// ErrRefused is what a refusing disk answers to every write and sync.
var ErrNoSpace = errors.New("modeldisk: no space left on device")

// PowerLoss is the value that the disk panics with at the step at which the power is set to fail.
type PowerLoss struct{}

// Disk is one folder. It is used by one goroutine at a time.
type Disk struct {
	names   map[string]*content
	durable map[string]*content

	FailWrites   bool // every write, sync, creation and rename fails; Fill sets it from another goroutine
	NoSync       bool // a planted fault: syncs do nothing
	Operations   int  // changes of the disk so far
	Syncs        int
	BytesWritten int64
	PowerLossAt  int // the power fails at this step, before it takes effect; 0 means never
	full         atomic.Bool
	// Failing makes that many of the next syncs fail although the bytes may be on the disk.
	FailSyncs int
}

// content is a file. Pending writes are those since its last sync.
type content struct {
	body    []byte
	synced  []byte
	pending []span
	spoiled bool // a sync failed: what was written before it is never surely on the disk
}

type span struct{ from, to int }

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*content{}, durable: map[string]*content{}}
}

// SetFull makes the disk refuse, or ends that. Unlike all else it may be called from any goroutine.
func (d *Disk) SetFull(full bool) { d.full.Store(full) }

// step counts a change of the disk.
func (d *Disk) step() error {
	d.Operations++
	if d.PowerLossAt > 0 && d.Operations == d.PowerLossAt {
		panic(PowerLoss{})
	}
	if d.FailWrites || d.full.Load() {
		return ErrNoSpace
	}
	return nil
}

// List implements wal.FS.
func (d *Disk) List() ([]string, error) { return sortedNames(d.names), nil }

func sortedNames(names map[string]*content) []string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Read implements wal.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	file, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.body), nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	file := &content{}
	d.names[name] = file
	return &handle{disk: d, file: file}, nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	file, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = file
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	if d.FailWrites { // a full disk can still remove
		d.FailWrites = false
		defer func() { d.FailWrites = true }()
	}
	if err := d.step(); err != nil {
		return err
	}
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// SyncDirectory implements wal.FS.
func (d *Disk) SyncDirectory() error {
	if err := d.sync(); err != nil || d.NoSync {
		return err
	}
	d.durable = map[string]*content{}
	for name, file := range d.names {
		d.durable[name] = file
	}
	return nil
}

func (d *Disk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.Syncs++
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return ErrNoSpace
	}
	return nil
}

type handle struct {
	disk *Disk
	file *content
}

func (h *handle) Write(body []byte) (int, error) {
	if err := h.disk.step(); err != nil {
		return 0, err
	}
	from := len(h.file.body)
	h.file.body = append(h.file.body, body...)
	h.file.pending = append(h.file.pending, span{from: from, to: from + len(body)})
	h.disk.BytesWritten += int64(len(body))
	return len(body), nil
}

func (h *handle) Sync() error {
	failing := h.disk.FailSyncs > 0
	if err := h.disk.sync(); err != nil {
		h.file.spoiled = h.file.spoiled || failing
		return err
	}
	if h.disk.NoSync || h.file.spoiled {
		return nil
	}
	h.file.synced, h.file.pending = h.file.body[:len(h.file.body):len(h.file.body)], nil
	return nil
}

func (h *handle) Close() error { return nil }

// AfterKill returns the disk as the next process finds it when only the process died.
func (d *Disk) AfterKill() *Disk {
	return &Disk{names: d.names, durable: d.durable, FailWrites: d.FailWrites, NoSync: d.NoSync}
}

// AfterPowerLoss returns the disk as it may be found after a loss of power.
func (d *Disk) AfterPowerLoss(random *rand.Rand) *Disk {
	after := New()
	after.NoSync, after.FailWrites = d.NoSync, d.FailWrites
	none := random.IntN(4) == 0 // at some losses nothing unsynced remains
	all := map[string]*content{}
	for name, file := range d.durable {
		all[name] = file
	}
	for name, file := range d.names {
		all[name] = file
	}
	lost := map[*content]*content{}
	for _, name := range sortedNames(all) {
		file := d.survivor(name, none, random)
		if file == nil {
			continue
		}
		if lost[file] == nil {
			lost[file] = file.lose(none, random)
		}
		after.names[name] = lost[file]
		after.durable[name] = lost[file]
	}
	return after
}

// survivor picks the file that stands under the name after a loss.
func (d *Disk) survivor(name string, none bool, random *rand.Rand) *content {
	durable, current := d.durable[name], d.names[name]
	if durable == current || (!none && random.IntN(2) == 0) {
		return current
	}
	return durable
}

// lose returns what a loss leaves of the file.
func (c *content) lose(none bool, random *rand.Rand) *content {
	body := slices.Clone(c.synced)
	keepAll := !none && random.IntN(4) == 0
	for _, write := range c.pending {
		end := write.to
		switch {
		case none:
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
		copy(body[write.from:end], c.body[write.from:end])
	}
	return &content{body: body, synced: body}
}

// Corrupt flips a bit of a file's byte.
func (d *Disk) Corrupt(name string, at int) {
	file := d.names[name]
	file.body = slices.Clone(file.body)
	file.body[at] ^= 0x10
}

// Truncate cuts a file to that length, as if the rest had never been written.
func (d *Disk) Truncate(name string, length int) {
	body := slices.Clone(d.names[name].body[:length])
	d.names[name] = &content{body: body, synced: body}
}

// Copy returns an independent copy.
func (d *Disk) Copy() *Disk {
	after := New()
	copies := map[*content]*content{}
	clone := func(from map[string]*content, to map[string]*content) {
		for name, file := range from {
			if copies[file] == nil {
				copies[file] = &content{
					body: slices.Clone(file.body), synced: slices.Clone(file.synced), pending: slices.Clone(file.pending),
					spoiled: file.spoiled,
				}
			}
			to[name] = copies[file]
		}
	}
	clone(d.names, after.names)
	clone(d.durable, after.durable)
	after.NoSync = d.NoSync
	return after
}
