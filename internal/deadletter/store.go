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

// Errors of the store.
var (
	ErrLocked   = errors.New("another process has the store open")
	ErrMissing  = errors.New("no such dead letter")
	ErrTooLarge = errors.New("the dead letters exceed the size limit of the store")
)

// Options configure a Store.
type Options struct {
	MaxBytes    int64 // sum of the dead letters' sizes
	MaxMessages int
	Sync        bool // sync the file after each write
	ReadOnly    bool
	// BeforeWrite, if not nil, is called before each write; an error that it returns is taken for the error of
	// the write. Only tests set it, to simulate a crash before a chosen write.
	BeforeWrite func() error
}

// Store is the persistent store of dead letters, in one bbolt file. Its index in memory takes 40 bytes for each
// dead letter. Only one goroutine may use it at a time, except that Get and Each may run concurrently with it.
type Store struct {
	Options
	path       string
	log        *slog.Logger
	db         *bbolt.DB
	indexes    map[int64]*destIndex
	Bytes      int64 // of all dead letters, as far as they count against MaxBytes
	Count      int
	Unreadable int // records that could not be read when the store was opened
}

const (
	fileName      = "letters.db"
	entryOverhead = 96 // bytes of the file for each dead letter, in addition to its header and body
)

var (
	headers = []byte("heads")  // sequence number to the encoded Message, without its body
	bodies  = []byte("bodies") // sequence number to the body, with its checksum
	ids     = []byte("ids")    // message ID to the sequence number
)

// Open opens the store in the directory and creates both if necessary. It returns ErrLocked if another process has
// the store open, and ErrCorrupt if the file is not a readable store, see Quarantine.
func Open(dir string, o Options, log *slog.Logger) (s *Store, err error) {
	s = &Store{Options: o, path: filepath.Join(dir, fileName), log: log, indexes: map[int64]*destIndex{}}
	if !o.ReadOnly {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("deadletter: %w", err)
		}
	} else if _, err := os.Stat(s.path); err != nil {
		return nil, fmt.Errorf("deadletter: %w", err)
	}
	opened := s
	defer s.recoverCorruption(&err, func() { opened.Close(); s = nil })
	if err := s.open(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	if err := s.buildIndex(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	if !o.ReadOnly {
		if err := s.compact(); err != nil {
			log.Warn("undeliverable: could not compact the store", "err", err)
		}
	}
	return s, nil
}

// Close closes the store file and releases its lock.
func (s *Store) Close() (err error) {
	defer s.recoverCorruption(&err, nil)
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}

func seqKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Put writes dead letters in one transaction and replaces those with the same IDs. It returns the dead letters
// that it evicted to make room, also when the write itself failed.
func (s *Store) Put(messages ...*Message) (evicted []Message, err error) {
	defer s.recoverCorruption(&err, nil)
	var bytes int64
	for _, msg := range messages {
		msg.BodySize = len(msg.Body)
		bytes += int64(msg.BodySize + 512 + entryOverhead + 64*len(msg.Attempts))
	}
	if bytes > s.MaxBytes || len(messages) > s.MaxMessages {
		return nil, fmt.Errorf("deadletter: %w", ErrTooLarge)
	}
	if evicted, err = s.evict(bytes, len(messages)); err != nil {
		return nil, err
	}
	var updates []func()
	err = s.write(func(tx *bbolt.Tx) error {
		for _, msg := range messages {
			header, err := msg.encode()
			if err != nil {
				return err
			}
			seq := uint64(0)
			if key := tx.Bucket(ids).Get([]byte(msg.ID)); len(key) == 8 {
				seq = binary.BigEndian.Uint64(key)
			} else if seq, err = tx.Bucket(headers).NextSequence(); err != nil {
				return err
			}
			err = errors.Join(tx.Bucket(headers).Put(seqKey(seq), header), tx.Bucket(ids).Put([]byte(msg.ID), seqKey(seq)),
				tx.Bucket(bodies).Put(seqKey(seq), addChecksum(msg.Body)))
			if err != nil {
				return err
			}
			updates = append(updates, func() { s.addToIndex(seq, msg, len(header)) })
		}
		return nil
	})
	if err != nil {
		return evicted, err
	}
	for _, f := range updates {
		f()
	}
	return evicted, nil
}

// load reads a dead letter by ID, and its body if asked to.
func (s *Store) load(tx *bbolt.Tx, id string, body bool) (msg *Message, seq uint64, err error) {
	key := tx.Bucket(ids).Get([]byte(id))
	if len(key) != 8 {
		return nil, 0, fmt.Errorf("deadletter: %s: %w", id, ErrMissing)
	}
	if msg, err = decode(tx.Bucket(headers).Get(key)); err != nil {
		return nil, 0, err
	}
	if body {
		content, err := verifyChecksum(tx.Bucket(bodies).Get(key))
		if err != nil {
			return nil, 0, err
		}
		msg.Body = slices.Clone(content)
	}
	return msg, binary.BigEndian.Uint64(key), nil
}

// Get reads one dead letter including its body.
func (s *Store) Get(id string) (msg *Message, err error) {
	defer s.recoverCorruption(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		msg, _, err = s.load(tx, id, true)
		return err
	})
	return msg, err
}

// Change passes each dead letter, without its body, to change and writes it back, all in one transaction. If
// change returns an error, Change returns it and modifies none of them.
func (s *Store) Change(messageIDs []string, change func(*Message) error) (err error) {
	defer s.recoverCorruption(&err, nil)
	var updates []func()
	err = s.write(func(tx *bbolt.Tx) error {
		for _, id := range messageIDs {
			msg, seq, err := s.load(tx, id, false)
			if err != nil {
				return err
			}
			if err := change(msg); err != nil {
				return err
			}
			header, err := msg.encode()
			if err != nil {
				return err
			}
			if err := tx.Bucket(headers).Put(seqKey(seq), header); err != nil {
				return err
			}
			updates = append(updates, func() { s.addToIndex(seq, msg, len(header)) })
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, f := range updates {
		f()
	}
	return nil
}

// Each calls f for every readable dead letter, without its body, in the order in which they were first put,
// until f returns false.
func (s *Store) Each(f func(*Message) bool) (err error) {
	defer s.recoverCorruption(&err, nil)
	return s.read(func(tx *bbolt.Tx) error {
		for c, k, v := cursor(tx); k != nil; k, v = c.Next() {
			if msg, err := decode(v); err == nil && !f(msg) {
				return nil
			}
		}
		return nil
	})
}

// cursor returns a cursor over the headers, with the first key and value.
func cursor(tx *bbolt.Tx) (*bbolt.Cursor, []byte, []byte) {
	c := tx.Bucket(headers).Cursor()
	k, v := c.First()
	return c, k, v
}

// bySeq reads a dead letter by sequence number, including its body.
func (s *Store) bySeq(seq uint64) (msg *Message, err error) {
	defer s.recoverCorruption(&err, nil)
	err = s.read(func(tx *bbolt.Tx) error {
		if msg, err = decode(tx.Bucket(headers).Get(seqKey(seq))); err != nil {
			return err
		}
		content, err := verifyChecksum(tx.Bucket(bodies).Get(seqKey(seq)))
		msg.Body = slices.Clone(content)
		return err
	})
	return msg, err
}

// setFinal moves the dead letter to a final state. NotBefore, which the index takes as checkAfter, then is the
// time at which the state was reached.
func (msg *Message) setFinal(state rule.State, now time.Time) {
	msg.State, msg.FinalAt, msg.NotBefore, msg.Requested = state, now.UnixNano(), now.UnixNano(), false
}
