package deadletter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"

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

// Close closes the file.
func (s *Store) Close() (err error) {
	defer s.guard(&err, nil)
	if s.db == nil {
		return nil
	}
	return s.db.Close()
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
