// Package modeldisk simulates a disk for tests: it implements wal.FS in memory and simulates power losses, failed writes
// and syncs, and corruption. After a power loss, everything that was synced is present. Each write that was not synced is
// present, missing or torn, and each directory entry that was not synced is present or missing; these outcomes are drawn
// from the caller's random numbers.
package modeldisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync/atomic"

	"raventrestle/coordination/wal"
)

// ErrNoSpace is returned by operations that write while FailWrites or SetFull is set, and by the syncs that FailSyncs
// makes fail.
var ErrNoSpace = errors.New("modeldisk: no space left on device")

// PowerLoss is the value with which the disk panics at the operation that PowerLossAt selects.
type PowerLoss struct{}

// Disk is a disk with one directory. All methods except SetFull must be called by one goroutine at a time.
type Disk struct {
	entries        map[string]*file // the directory as a running process sees it, by name
	durableEntries map[string]*file // the directory at its last sync, by name

	// FailWrites makes every write, sync, creation and rename fail.
	FailWrites bool
	// FailSyncs is how many of the next syncs fail. The bytes that they should have synced may be on the disk all the same.
	FailSyncs int
	// NoSync is an injected fault: syncs return nil but make nothing durable.
	NoSync bool
	// PowerLossAt is the number of the operation, counted by Operations, at which power is lost before the operation takes
	// effect; 0 means never.
	PowerLossAt int

	Operations   int   // number of operations that change the disk, so far
	Syncs        int   // number of syncs so far, including failed ones
	BytesWritten int64 // number of bytes written so far

	full atomic.Bool
}

// file is the content of a file.
type file struct {
	body       []byte
	synced     []byte
	unsynced   []span // writes since the last sync
	syncFailed bool   // a sync failed; later syncs of the file make nothing durable
}

// span is a range of bytes in a file; to is excluded.
type span struct{ from, to int }

// New returns an empty disk.
func New() *Disk {
	return &Disk{entries: map[string]*file{}, durableEntries: map[string]*file{}}
}

// SetFull sets whether writing operations fail because the disk is full. Unlike the other methods it may be called from
// any goroutine.
func (d *Disk) SetFull(full bool) { d.full.Store(full) }

// beginChange counts an operation that changes the disk. It panics with PowerLoss if PowerLossAt selects this operation,
// and otherwise returns the error with which the operation fails, if any.
func (d *Disk) beginChange() error {
	d.Operations++
	if d.PowerLossAt > 0 && d.Operations == d.PowerLossAt {
		panic(PowerLoss{})
	}
	if d.FailWrites || d.full.Load() {
		return ErrNoSpace
	}
	return nil
}

// beginSync counts a sync of a file or of the directory, and returns the error with which it fails, if any.
func (d *Disk) beginSync() error {
	if err := d.beginChange(); err != nil {
		return err
	}
	d.Syncs++
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return ErrNoSpace
	}
	return nil
}

// List implements wal.FS.
func (d *Disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.entries)), nil }

// Read implements wal.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	f, ok := d.entries[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.body), nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.beginChange(); err != nil {
		return nil, err
	}
	f := &file{}
	d.entries[name] = f
	return &handle{disk: d, file: f}, nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	if err := d.beginChange(); err != nil {
		return err
	}
	f, ok := d.entries[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.entries, from)
	d.entries[to] = f
	return nil
}

// Remove implements wal.FS. It succeeds also while FailWrites is set, because removing a file needs no space.
func (d *Disk) Remove(name string) error {
	if d.FailWrites {
		d.FailWrites = false
		defer func() { d.FailWrites = true }()
	}
	if err := d.beginChange(); err != nil {
		return err
	}
	if _, ok := d.entries[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.entries, name)
	return nil
}

// SyncDirectory implements wal.FS.
func (d *Disk) SyncDirectory() error {
	if err := d.beginSync(); err != nil || d.NoSync {
		return err
	}
	d.durableEntries = maps.Clone(d.entries)
	return nil
}

// handle implements wal.File.
type handle struct {
	disk *Disk
	file *file
}

// Write implements wal.File.
func (h *handle) Write(body []byte) (int, error) {
	if err := h.disk.beginChange(); err != nil {
		return 0, err
	}
	from := len(h.file.body)
	h.file.body = append(h.file.body, body...)
	h.file.unsynced = append(h.file.unsynced, span{from: from, to: from + len(body)})
	h.disk.BytesWritten += int64(len(body))
	return len(body), nil
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	failing := h.disk.FailSyncs > 0
	if err := h.disk.beginSync(); err != nil {
		h.file.syncFailed = h.file.syncFailed || failing
		return err
	}
	if h.disk.NoSync || h.file.syncFailed {
		return nil
	}
	h.file.synced, h.file.unsynced = h.file.body[:len(h.file.body):len(h.file.body)], nil
	return nil
}

// Close implements wal.File.
func (h *handle) Close() error { return nil }

// Corrupt flips one bit of the byte at the offset.
func (d *Disk) Corrupt(name string, offset int) {
	f := d.entries[name]
	f.body = slices.Clone(f.body)
	f.body[offset] ^= 0x10
}

// Truncate shortens a file to the length, as if the rest had never been written.
func (d *Disk) Truncate(name string, length int) {
	body := slices.Clone(d.entries[name].body[:length])
	d.entries[name] = &file{body: body, synced: body}
}

// Copy returns an independent copy without the injected faults other than NoSync.
func (d *Disk) Copy() *Disk {
	after := New()
	copies := map[*file]*file{}
	copyEntries := func(from, to map[string]*file) {
		for name, f := range from {
			if copies[f] == nil {
				copies[f] = &file{
					body: slices.Clone(f.body), synced: slices.Clone(f.synced), unsynced: slices.Clone(f.unsynced),
					syncFailed: f.syncFailed,
				}
			}
			to[name] = copies[f]
		}
	}
	copyEntries(d.entries, after.entries)
	copyEntries(d.durableEntries, after.durableEntries)
	after.NoSync = d.NoSync
	return after
}
