package upgrade

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gofrs/flock"

	"raventrestle/internal/handover"
	"raventrestle/internal/journal"
)

const (
	lockFileName = "owner"
	dirPrefix    = "life-"
	pollInterval = 10 * time.Millisecond // between two looks at the previous process
)

// Courier receives what a predecessor hands over.
type Courier interface {
	Adopt([]journal.MessageState) (n int, err error) // journals the messages and takes over the first n
	RecordAllAdopted()                               // no journal of a predecessor is left
	ApplyRetryAfter(waitUntil map[string]int64)
	Inherit(learnedJSON []byte)
	SetOtherProcess(ids []string, calls int)
}

// ProcessDir is this process's own directory in the state directory. Its lock is released when the process ends, however it
// ends.
type ProcessDir struct {
	Path         string
	root         string
	lock         *flock.Flock
	predecessors []*predecessor // newest first
	log          *slog.Logger
}

// predecessor is an earlier process that left a journal.
type predecessor struct {
	path     string
	lock     *flock.Flock
	journal  *journal.Follower
	takeover *handover.Successor
	closing  bool
	handled  bool // everything in its journal so far has been applied
}

// Claim creates the directory of a new process.
func Claim(root string, log *slog.Logger) (*ProcessDir, error) {
	for range 100 {
		names, err := processDirs(root)
		if err != nil {
			return nil, fmt.Errorf("upgrade: %w", err)
		}
		n := 1
		if len(names) > 0 {
			if _, err := fmt.Sscanf(names[0], dirPrefix+"%d", &n); err != nil {
				return nil, fmt.Errorf("upgrade: %s: %w", names[0], err)
			}
			n++
		}
		d := &ProcessDir{root: root, Path: filepath.Join(root, fmt.Sprintf("%s%06d", dirPrefix, n)), log: log}
		if err := os.Mkdir(d.Path, 0o700); errors.Is(err, os.ErrExist) {
			continue
		} else if err != nil {
			return nil, fmt.Errorf("upgrade: %w", err)
		}
		d.lock = flock.New(filepath.Join(d.Path, lockFileName))
		if ok, err := d.lock.TryLock(); err != nil || !ok { // a process that started at the same time locked it first
			log.Warn("upgrade: another process locked the new directory", "folder", d.Path, "err", err)
			continue
		}
		for _, name := range names {
			d.addPredecessor(filepath.Join(root, name))
		}
		if _, err := os.Stat(filepath.Join(root, "journal")); err == nil { // of a process that used the state directory exclusively
			d.addPredecessor(root)
		}
		return d, nil
	}
	return nil, errors.New("upgrade: can't claim a directory for this process")
}

func (d *ProcessDir) addPredecessor(path string) {
	d.predecessors = append(d.predecessors, &predecessor{path: path, lock: flock.New(filepath.Join(path, lockFileName)), journal: journal.Follow(path)})
}

// processDirs returns the names of the processes' directories, newest first.
func processDirs(root string) (names []string, err error) {
	entries, err := os.ReadDir(root)
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), dirPrefix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	slices.Reverse(names)
	return names, err
}

// ClaimExclusive returns the state directory itself for a process that holds its lock and uses it exclusively. What
// earlier processes left in their own directories is taken over; if one of them still runs, it returns ErrRunning.
func ClaimExclusive(root string, log *slog.Logger) (*ProcessDir, error) {
	names, err := processDirs(root)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	d := &ProcessDir{root: root, Path: root, log: log}
	for _, name := range names {
		d.addPredecessor(filepath.Join(root, name))
		if ended, err := d.predecessors[len(d.predecessors)-1].ended(); err == nil && !ended {
			return nil, fmt.Errorf("%s: %w", filepath.Join(root, name), ErrRunning)
		}
	}
	return d, nil
}

// ErrRunning means that another process of this courier runs, and they inherited no socket that both could serve.
var ErrRunning = errors.New("another process of this courier runs")

// HasSuccessor reports whether a later process runs, which takes over what this one hands over.
func (d *ProcessDir) HasSuccessor() bool {
	names, err := processDirs(d.root)
	if err != nil || len(names) == 0 {
		return false
	}
	newest := filepath.Join(d.root, names[0])
	if newest == d.Path {
		return false
	}
	lock := flock.New(filepath.Join(newest, lockFileName))
	free, err := lock.TryLock()
	if free {
		lock.Unlock()
	}
	return err == nil && !free
}

// Release releases the directory. The next process takes over its content.
func (d *ProcessDir) Release() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Unlock()
}

// Run takes over from the predecessors until none of their journals is left. It calls onBegin once, when this process may
// accept clients and start calls, after adopting what was handed over until then. It calls onPrepared once, when this
// process is ready to begin at any time.
func (d *ProcessDir) Run(ctx context.Context, c Courier, onBegin, onPrepared func()) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	begun, prepared, lastError := false, false, ""
	for {
		mayBegin, err := true, error(nil)
		if len(d.predecessors) > 0 {
			mayBegin, err = d.takeOver(c)
		}
		if text := fmt.Sprint(err); err != nil && text != lastError { // for example a full disk: what is not adopted stays where it is
			d.log.Error("upgrade: taking over failed, retrying", "every", pollInterval, "err", err)
			lastError = text
		}
		if mayBegin && !begun {
			begun = true
			onBegin()
		}
		if err == nil && !prepared {
			prepared = true
			onPrepared()
		}
		if len(d.predecessors) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takeOver applies what the predecessors hand over, from the newest to the first one that still runs.
func (d *ProcessDir) takeOver(c Courier) (begin bool, err error) {
	adopted := map[string]bool{} // messages that a later predecessor has adopted
	for i, p := range d.predecessors {
		ended, err := p.ended()
		if err != nil {
			return false, err
		}
		changed, err := p.journal.Poll() // after taking the lock, so that its last writes are included
		if err != nil {
			return false, err
		}
		if p.handled && !changed && !ended { // everything in its journal has been applied
			return p.closing, nil
		}
		p.handled = false
		legacy := p.journal.Snapshot()
		if p.takeover == nil {
			p.takeover = handover.New(adopted)
		}
		plan := p.takeover.Update(legacy, ended)
		if plan.MayStart && !p.closing {
			p.closing = true
			c.Inherit(legacy.HandoverData)
			d.log.Info("upgrade: taking over", "from", p.path, "gone", ended, "adopted", len(plan.Adopt), "out there", plan.CallsInFlight)
		}
		if plan.MayStart {
			c.ApplyRetryAfter(legacy.PeerWaits)
		}
		if len(plan.Adopt) > 0 {
			n, err := c.Adopt(plan.Adopt)
			if p.takeover.SetAdopted(plan.Adopt[:n]); err != nil {
				return plan.MayStart, err
			}
		}
		if plan.MayStart {
			c.SetOtherProcess(plan.InFlight, plan.CallsInFlight)
		}
		if p.handled = true; !ended {
			d.predecessors = d.predecessors[i:]
			return plan.MayStart, nil
		}
		for id := range legacy.Adopted {
			adopted[id] = true
		}
		for _, k := range legacy.Messages {
			adopted[k.ID] = true
		}
	}
	// All predecessors have ended, and everything they left is in this process's journal.
	for len(d.predecessors) > 0 {
		p := d.predecessors[len(d.predecessors)-1] // oldest first: the journals of later ones record what they adopted from it
		if err := p.remove(d.root); err != nil {
			return true, err
		}
		d.predecessors = d.predecessors[:len(d.predecessors)-1]
	}
	c.RecordAllAdopted()
	return true, nil
}

// ended reports whether the process has ended. If so, this process holds its lock from then on.
func (p *predecessor) ended() (bool, error) {
	if p.lock.Locked() {
		return true, nil
	}
	return p.lock.TryLock()
}

// remove deletes what the process left.
func (p *predecessor) remove(root string) error {
	err := p.journal.Close()
	if p.path == root { // it used the state directory exclusively
		err = errors.Join(err, os.Remove(filepath.Join(root, "journal")))
	} else {
		err = errors.Join(err, os.RemoveAll(p.path))
	}
	return errors.Join(err, p.lock.Unlock())
}
