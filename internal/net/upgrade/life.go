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
	ownerName = "owner"
	prefix    = "life-"
	lookEvery = 10 * time.Millisecond // at the life before
)

// Courier is what the following of an earlier life is carried out on.
type Courier interface {
	Adopt([]journal.Kept) (n int, err error) // writes them down, then takes them up: the first n of them
	Settled()                                // no earlier journal is there any more
	Heed(waits map[string]int64)
	Inherit(left []byte)
	Elsewhere(ids []string, calls int)
}

// Life is this process's place in the folder that lasts: a folder of its own, with a lock that goes with the
// process however it ends.
type Life struct {
	Folder string
	state  string
	lock   *flock.Flock
	before []*earlier // the newest first
	log    *slog.Logger
}

// earlier is a life before this one.
type earlier struct {
	folder  string
	lock    *flock.Flock
	journal *journal.Follower
	heir    *handover.Successor
	closing bool
	seen    bool // what it told so far is carried out
}

// Claim makes the folder of a new life.
func Claim(state string, log *slog.Logger) (*Life, error) {
	for range 100 {
		names, err := lives(state)
		if err != nil {
			return nil, fmt.Errorf("upgrade: %w", err)
		}
		n := 1
		if len(names) > 0 {
			if _, err := fmt.Sscanf(names[0], prefix+"%d", &n); err != nil {
				return nil, fmt.Errorf("upgrade: %s: %w", names[0], err)
			}
			n++
		}
		l := &Life{state: state, Folder: filepath.Join(state, fmt.Sprintf("%s%06d", prefix, n)), log: log}
		if err := os.Mkdir(l.Folder, 0o700); errors.Is(err, os.ErrExist) {
			continue
		} else if err != nil {
			return nil, fmt.Errorf("upgrade: %w", err)
		}
		l.lock = flock.New(filepath.Join(l.Folder, ownerName))
		if ok, err := l.lock.TryLock(); err != nil || !ok { // one that started at the same time took it for a dead life's
			log.Warn("upgrade: the new life's folder is lost", "folder", l.Folder, "err", err)
			continue
		}
		for _, name := range names {
			l.follow(filepath.Join(state, name))
		}
		if _, err := os.Stat(filepath.Join(state, "journal")); err == nil { // of a life that had the folder for itself
			l.follow(state)
		}
		return l, nil
	}
	return nil, errors.New("upgrade: no folder for a new life")
}

func (l *Life) follow(folder string) {
	l.before = append(l.before, &earlier{folder: folder, lock: flock.New(filepath.Join(folder, ownerName)), journal: journal.Follow(folder)})
}

// lives are the names of the lives' folders, the newest first.
func lives(state string) (names []string, err error) {
	entries, err := os.ReadDir(state)
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), prefix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	slices.Reverse(names)
	return names, err
}

// Alone is the place of a process that has the folder for itself, whose lock it holds. What earlier lives left
// in folders of their own is followed; one that runs is an error.
func Alone(state string, log *slog.Logger) (*Life, error) {
	names, err := lives(state)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	l := &Life{state: state, Folder: state, log: log}
	for _, name := range names {
		l.follow(filepath.Join(state, name))
		if gone, err := l.before[len(l.before)-1].gone(); err == nil && !gone {
			return nil, fmt.Errorf("%s: %w", filepath.Join(state, name), ErrRuns)
		}
	}
	return l, nil
}

// ErrRuns says that another process of this courier runs, and no socket that both could serve was inherited.
var ErrRuns = errors.New("another process of this courier runs")

// Followed says whether a later life runs, which takes over what this one hands over.
func (l *Life) Followed() bool {
	names, err := lives(l.state)
	if err != nil || len(names) == 0 {
		return false
	}
	newest := filepath.Join(l.state, names[0])
	if newest == l.Folder {
		return false
	}
	lock := flock.New(filepath.Join(newest, ownerName))
	free, err := lock.TryLock()
	if free {
		lock.Unlock()
	}
	return err == nil && !free
}

// Release gives the folder free: what stands in it is the next life's.
func (l *Life) Release() error {
	if l.lock == nil {
		return nil
	}
	return l.lock.Unlock()
}

// Run follows the lives before this one until none of their journals is left. Begin is called once, when this
// life may take clients and begin calls; what was handed over by then is adopted before. Prepared is called
// once it could begin at any instant.
func (l *Life) Run(ctx context.Context, c Courier, begin, prepared func()) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	begun, ready, failing := false, false, ""
	for {
		may, err := true, error(nil)
		if len(l.before) > 0 {
			may, err = l.look(c)
		}
		if word := fmt.Sprint(err); err != nil && word != failing { // a full disk, say: what is not adopted stays where it is
			l.log.Error("upgrade: the life before; tried again", "every", lookEvery, "err", err)
			failing = word
		}
		if may && !begun {
			begun = true
			begin()
		}
		if err == nil && !ready {
			ready = true
			prepared()
		}
		if len(l.before) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// look goes through the earlier lives, the newest first, up to one that runs, and carries out what follows.
func (l *Life) look(c Courier) (begin bool, err error) {
	skip := map[string]bool{} // what lives between have taken up
	for i, e := range l.before {
		gone, err := e.gone()
		if err != nil {
			return false, err
		}
		fresh, err := e.journal.Poll() // after the lock: what it wrote last is seen
		if err != nil {
			return false, err
		}
		if e.seen && !fresh && !gone { // all that it told is done
			return e.closing, nil
		}
		e.seen = false
		legacy := e.journal.Legacy()
		if e.heir == nil {
			e.heir = handover.New(skip)
		}
		plan := e.heir.Update(legacy, gone)
		if plan.MayStart && !e.closing {
			e.closing = true
			c.Inherit(legacy.Left)
			l.log.Info("upgrade: taking over", "from", e.folder, "gone", gone, "adopted", len(plan.Adopt), "out there", plan.CallsInFlight)
		}
		if plan.MayStart {
			c.Heed(legacy.Waits)
		}
		if len(plan.Adopt) > 0 {
			n, err := c.Adopt(plan.Adopt)
			if e.heir.SetAdopted(plan.Adopt[:n]); err != nil {
				return plan.MayStart, err
			}
		}
		if plan.MayStart {
			c.Elsewhere(plan.InFlight, plan.CallsInFlight)
		}
		if e.seen = true; !gone {
			l.before = l.before[i:]
			return plan.MayStart, nil
		}
		for id := range legacy.Adopted {
			skip[id] = true
		}
		for _, k := range legacy.Kept {
			skip[k.ID] = true
		}
	}
	// All are gone and all that they left stands in this life's journal.
	for len(l.before) > 0 {
		e := l.before[len(l.before)-1] // the oldest first: one between tells what of it was taken up
		if err := e.remove(l.state); err != nil {
			return true, err
		}
		l.before = l.before[:len(l.before)-1]
	}
	c.Settled()
	return true, nil
}

// gone says whether the life's process has ended; from then on its lock is this one's.
func (e *earlier) gone() (bool, error) {
	if e.lock.Locked() {
		return true, nil
	}
	return e.lock.TryLock()
}

// remove takes away what the life left.
func (e *earlier) remove(state string) error {
	err := e.journal.Close()
	if e.folder == state { // it had the folder for itself
		err = errors.Join(err, os.Remove(filepath.Join(state, "journal")))
	} else {
		err = errors.Join(err, os.RemoveAll(e.folder))
	}
	return errors.Join(err, e.lock.Unlock())
}
