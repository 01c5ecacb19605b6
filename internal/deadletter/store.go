package deadletter

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"raventrestle/internal/deadletter/rule"
)

// Errors of a store.
var (
	ErrLocked  = errors.New("another process has the store open")
	ErrMissing = errors.New("no such dead letter")
	ErrNoRoom  = errors.New("the dead letter is larger than the store may be")
)

// Options say how a store is kept.
type Options struct {
	MaxBytes   int64 // sum of the dead letters' sizes
	MaxLetters int
	Sync       bool // each write waits for the disk
	ReadOnly   bool
	// Before is asked before each write; an error stands for the write's own. It is nil in service:
	// tests use it to end a life at a chosen boundary.
	Before func() error
}

// Store is the lasting store of dead letters: one bbolt file. In memory it has an entry of 40 bytes for
// each dead letter. Only one goroutine may use it at a time.
type Store struct {
	Options
	path    string
	log     *slog.Logger
	db      *bbolt.DB
	shelves map[int64]*shelf
	Bytes   int64 // of all dead letters
	Letters int
	Spoilt  int // records that could not be read at the start
}

// shelf has a destination's dead letters, in the order they were put there.
type shelf struct{ entries []entry }

type entry struct {
	seq    uint64
	failed int64
	due    int64 // not to be looked at for a resend before
	size   uint32
	worth  float32
	state  rule.State
	asked  bool
	never  bool // no time will change what the rule says
}

const (
	fileName = "letters.db"
	overhead = 96 // bytes of the file for each dead letter, beside its head and body
)

var (
	heads  = []byte("heads")  // sequence number to the dead letter without its body
	bodies = []byte("bodies") // sequence number to the body
	ids    = []byte("ids")    // the message's id to the sequence number
)

// Open opens the store in the folder, and makes both if need be. ErrLocked and errors of the disk
// say that there is no store now; ErrSpoilt says that the file is no store, see SetAside.
func Open(dir string, o Options, log *slog.Logger) (s *Store, err error) {
	s = &Store{Options: o, path: filepath.Join(dir, fileName), log: log, shelves: map[int64]*shelf{}}
	if !o.ReadOnly {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("deadletter: %w", err)
		}
	} else if _, err := os.Stat(s.path); err != nil {
		return nil, fmt.Errorf("deadletter: %w", err)
	}
	made := s
	defer s.guard(&err, func() { made.Close(); s = nil })
	if err := s.open(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	if err := s.scan(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	if !o.ReadOnly {
		if err := s.compact(); err != nil {
			log.Warn("undeliverable: the store stays as large as it is", "err", err)
		}
	}
	return s, nil
}

func (s *Store) open() error {
	// The list of free pages is written with each change: without it bbolt reads the whole file at the
	// start, in a goroutine of its own, where a spoilt page would end the process.
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: 200 * time.Millisecond, NoSync: !s.Sync,
		FreelistType: bbolt.FreelistMapType, ReadOnly: s.ReadOnly})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return fmt.Errorf("deadletter: %s: %w", s.path, ErrLocked)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return fmt.Errorf("deadletter: %s: %w: %w", s.path, ErrSpoilt, err)
	case err != nil:
		var path *os.PathError
		if errors.As(err, &path) {
			return fmt.Errorf("deadletter: %w", err)
		}
		return fmt.Errorf("deadletter: %s: %w: %w", s.path, ErrSpoilt, err)
	}
	s.db = db
	if s.ReadOnly {
		return nil
	}
	return s.write(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{heads, bodies, ids} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// guard turns what bbolt panics over, reads beyond a file that was cut off among it, into ErrSpoilt.
// It is deferred by every method that touches the file.
func (s *Store) guard(err *error, then func()) {
	if e := recover(); e != nil {
		*err = fmt.Errorf("deadletter: %s: %w: %v", s.path, ErrSpoilt, e)
		if then != nil {
			then()
		}
	}
}

func (s *Store) write(f func(*bbolt.Tx) error) error {
	if s.Before != nil {
		if err := s.Before(); err != nil {
			return fmt.Errorf("deadletter: %w", err)
		}
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	return s.db.Update(f)
}

func (s *Store) read(f func(*bbolt.Tx) error) error {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	return s.db.View(f)
}

// scan reads every dead letter's head once. One that can't be read is counted and passed over.
func (s *Store) scan() error {
	return s.read(func(tx *bbolt.Tx) error {
		if tx.Bucket(heads) == nil || tx.Bucket(ids) == nil || tx.Bucket(bodies) == nil {
			return fmt.Errorf("deadletter: %s: no dead letters in it: %w", s.path, ErrSpoilt)
		}
		return tx.Bucket(heads).ForEach(func(k, v []byte) error {
			l, err := parse(v)
			if err != nil || len(k) != 8 {
				s.Spoilt++
				return nil
			}
			s.shelve(binary.BigEndian.Uint64(k), l, len(v))
			return nil
		})
	})
}

// compact makes the file anew where more than half of it is free.
func (s *Store) compact() error {
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.Size() < 1<<20 || info.Size() < 3*s.Bytes {
		return nil
	}
	next := s.path + ".next"
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(next, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return err
	}
	if err := errors.Join(bbolt.Compact(db, s.db, 1<<20), db.Close()); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	// The old file's lock is held until the new one is in its place, and then taken anew.
	if err := os.Rename(next, s.path); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := s.db.Close(); err != nil {
		return err
	}
	return s.open()
}

// Close closes the file.
func (s *Store) Close() (err error) {
	defer s.guard(&err, nil)
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}

// SetAside renames the folder's file, which is no store or can't be read, and returns its new name.
func SetAside(dir string, now time.Time) (string, error) {
	old := filepath.Join(dir, fileName)
	name := fmt.Sprintf("%s.bad-%d", old, now.UnixNano())
	return name, os.Rename(old, name)
}

func (s *Store) shelve(seq uint64, l *Letter, head int) {
	size := uint32(head + l.BodySize + overhead)
	sh := s.shelves[l.Dest]
	if sh == nil {
		sh = &shelf{}
		s.shelves[l.Dest] = sh
	}
	e := entry{seq: seq, failed: l.Failed, due: l.NotBefore, size: size, worth: l.Worth, state: l.State, asked: l.Asked}
	i, found := sh.find(seq)
	if found {
		s.Bytes -= int64(sh.entries[i].size)
		sh.entries[i] = e
	} else {
		sh.entries = slices.Insert(sh.entries, i, e)
		s.Letters++
	}
	s.Bytes += int64(size)
}

func (sh *shelf) find(seq uint64) (int, bool) {
	return slices.BinarySearchFunc(sh.entries, seq, func(e entry, seq uint64) int {
		switch {
		case e.seq < seq:
			return -1
		case e.seq > seq:
			return 1
		}
		return 0
	})
}

func (s *Store) unshelve(dest int64, seq uint64) {
	sh := s.shelves[dest]
	if sh == nil {
		return
	}
	if i, found := sh.find(seq); found {
		s.Bytes -= int64(sh.entries[i].size)
		s.Letters--
		sh.entries = slices.Delete(sh.entries, i, i+1)
	}
	if len(sh.entries) == 0 {
		delete(s.shelves, dest)
	}
}

func number(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Put writes dead letters in one transaction, in place of those with their ids. What gave way to them is
// returned.
func (s *Store) Put(letters ...*Letter) (gave []Letter, err error) {
	defer s.guard(&err, nil)
	var bytes int64
	for _, l := range letters {
		l.BodySize = len(l.Body)
		bytes += int64(l.BodySize + 512 + overhead + 64*len(l.Tries))
	}
	if bytes > s.MaxBytes || len(letters) > s.MaxLetters {
		return nil, fmt.Errorf("deadletter: %w", ErrNoRoom)
	}
	if gave, err = s.makeRoom(bytes, len(letters)); err != nil {
		return nil, err
	}
	var shelve []func()
	err = s.write(func(tx *bbolt.Tx) error {
		for _, l := range letters {
			head, err := l.head()
			if err != nil {
				return err
			}
			seq := uint64(0)
			if old := tx.Bucket(ids).Get([]byte(l.ID)); len(old) == 8 {
				seq = binary.BigEndian.Uint64(old)
			} else if seq, err = tx.Bucket(heads).NextSequence(); err != nil {
				return err
			}
			err = errors.Join(tx.Bucket(heads).Put(number(seq), head), tx.Bucket(ids).Put([]byte(l.ID), number(seq)),
				tx.Bucket(bodies).Put(number(seq), seal(l.Body)))
			if err != nil {
				return err
			}
			shelve = append(shelve, func() { s.shelve(seq, l, len(head)) })
		}
		return nil
	})
	if err != nil {
		return gave, err
	}
	for _, f := range shelve {
		f()
	}
	return gave, nil
}

// makeRoom drops dead letters, by the rule's order, where so many bytes and dead letters more would be over
// the caps; one in 64 more than needed, so that a full store is not sorted for each dead letter.
func (s *Store) makeRoom(bytes int64, letters int) ([]Letter, error) {
	overBytes, over := s.Bytes+bytes-s.MaxBytes, s.Letters+letters-s.MaxLetters
	if overBytes <= 0 && over <= 0 {
		return nil, nil
	}
	if overBytes > 0 {
		overBytes = min(overBytes+s.MaxBytes/64, s.Bytes)
	}
	if over > 0 {
		over = min(over+s.MaxLetters/64, s.Letters)
	}
	type spot struct {
		rule.Weight
		dest int64
		seq  uint64
		size uint32
	}
	var all []spot
	for dest, sh := range s.shelves {
		for _, e := range sh.entries {
			if e.state != rule.Out { // the journal answers for it, and will come back to it
				all = append(all, spot{rule.Weight{Settled: e.state.Settled(), Worth: e.worth, Failed: e.failed}, dest, e.seq, e.size})
			}
		}
	}
	slices.SortFunc(all, func(a, b spot) int { return a.Before(b.Weight) })
	var seqs []uint64
	for _, x := range all {
		if overBytes <= 0 && over <= 0 {
			break
		}
		overBytes, over = overBytes-int64(x.size), over-1
		seqs = append(seqs, x.seq)
	}
	return s.drop(seqs)
}

func (s *Store) drop(seqs []uint64) (gone []Letter, err error) {
	if len(seqs) == 0 {
		return nil, nil
	}
	err = s.write(func(tx *bbolt.Tx) error {
		for _, seq := range seqs {
			l, err := parse(tx.Bucket(heads).Get(number(seq)))
			if err != nil {
				return err
			}
			gone = append(gone, *l)
			err = errors.Join(tx.Bucket(heads).Delete(number(seq)), tx.Bucket(bodies).Delete(number(seq)),
				tx.Bucket(ids).Delete([]byte(l.ID)))
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range gone {
		s.unshelve(gone[i].Dest, seqs[i])
	}
	return gone, nil
}

func (s *Store) load(tx *bbolt.Tx, id string, body bool) (l *Letter, seq uint64, err error) {
	at := tx.Bucket(ids).Get([]byte(id))
	if len(at) != 8 {
		return nil, 0, fmt.Errorf("deadletter: %s: %w", id, ErrMissing)
	}
	if l, err = parse(tx.Bucket(heads).Get(at)); err != nil {
		return nil, 0, err
	}
	if body {
		text, err := unseal(tx.Bucket(bodies).Get(at))
		if err != nil {
			return nil, 0, err
		}
		l.Body = slices.Clone(text)
	}
	return l, binary.BigEndian.Uint64(at), nil
}

// Get reads one dead letter, its body included.
func (s *Store) Get(id string) (l *Letter, err error) {
	defer s.guard(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		l, _, err = s.load(tx, id, true)
		return err
	})
	return l, err
}

// Change rewrites the heads of dead letters in one transaction, all or none. An error of change leaves
// all as they were and is returned.
func (s *Store) Change(which []string, change func(*Letter) error) (err error) {
	defer s.guard(&err, nil)
	var shelve []func()
	err = s.write(func(tx *bbolt.Tx) error {
		for _, id := range which {
			l, seq, err := s.load(tx, id, false)
			if err != nil {
				return err
			}
			if err := change(l); err != nil {
				return err
			}
			head, err := l.head()
			if err != nil {
				return err
			}
			if err := tx.Bucket(heads).Put(number(seq), head); err != nil {
				return err
			}
			shelve = append(shelve, func() { s.shelve(seq, l, len(head)) })
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, f := range shelve {
		f()
	}
	return nil
}

// Delete forgets dead letters; those that are not there are passed over.
func (s *Store) Delete(which ...string) (err error) {
	defer s.guard(&err, nil)
	var seqs []uint64
	err = s.read(func(tx *bbolt.Tx) error {
		for _, id := range which {
			if at := tx.Bucket(ids).Get([]byte(id)); len(at) == 8 {
				seqs = append(seqs, binary.BigEndian.Uint64(at))
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, err = s.drop(seqs)
	return err
}

// Each hands out every dead letter that can be read, without its body, in the order they were put there,
// until f says no.
func (s *Store) Each(f func(*Letter) bool) (err error) {
	defer s.guard(&err, nil)
	return s.read(func(tx *bbolt.Tx) error {
		for c, k, v := cursor(tx); k != nil; k, v = c.Next() {
			if l, err := parse(v); err == nil && !f(l) {
				return nil
			}
		}
		return nil
	})
}

func cursor(tx *bbolt.Tx) (*bbolt.Cursor, []byte, []byte) {
	c := tx.Bucket(heads).Cursor()
	k, v := c.First()
	return c, k, v
}

// Expire drops the dead letters that have outlived their time, at most so many.
func (s *Store) Expire(now time.Time, age, settled time.Duration, most int) (gone []Letter, err error) {
	defer s.guard(&err, nil)
	var seqs []uint64
	for _, sh := range s.shelves {
		for _, e := range sh.entries {
			limit := age
			if e.state.Settled() {
				limit = min(age, settled) // due is when it was settled, see Letter.settle
			}
			from := e.failed
			if e.state.Settled() {
				from = e.due
			}
			if e.state != rule.Out && now.Sub(time.Unix(0, from)) > limit && len(seqs) < most {
				seqs = append(seqs, e.seq)
			}
		}
	}
	return s.drop(seqs)
}

// next are the dead letters of a destination that may be due, the most urgent first: asked for, of more
// worth, older.
func (s *Store) next(dest int64, now time.Time, most int) []*entry {
	sh := s.shelves[dest]
	if sh == nil {
		return nil
	}
	// One pass that keeps the best few: a destination may have all of 100,000 dead letters.
	var due []*entry
	for i := range sh.entries {
		e := &sh.entries[i]
		if e.state != rule.Held || e.never || e.due > now.UnixNano() ||
			len(due) == most && e.urgent(due[most-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(due, e, func(a, b *entry) int { return a.urgent(b) })
		due = slices.Insert(due, at, e)
		due = due[:min(len(due), most)]
	}
	return due
}

// urgent orders entries by which goes first.
func (e *entry) urgent(o *entry) int {
	if e.asked != o.asked {
		if e.asked {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(o.worth, e.worth), cmp.Compare(e.failed, o.failed), cmp.Compare(e.seq, o.seq))
}

func (s *Store) bySeq(seq uint64) (l *Letter, err error) {
	defer s.guard(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		if l, err = parse(tx.Bucket(heads).Get(number(seq))); err != nil {
			return err
		}
		text, err := unseal(tx.Bucket(bodies).Get(number(seq)))
		l.Body = slices.Clone(text)
		return err
	})
	return l, err
}

// settle writes the dead letter's end into it.
func (l *Letter) settle(state rule.State, now time.Time) {
	l.State, l.Settled, l.NotBefore, l.Asked = state, now.UnixNano(), now.UnixNano(), false
}
