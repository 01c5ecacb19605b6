package deadletter

// The store's file.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

func (s *Store) open() error {
	// The list of free pages is written with each change: without it bbolt reads the whole file at the
	// start, in a goroutine of its own, where a spoilt page would end the process.
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{
		Timeout: 200 * time.Millisecond, NoSync: !s.Sync,
		FreelistType: bbolt.FreelistMapType, ReadOnly: s.ReadOnly,
	})
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

// SetAside renames the folder's file, which is no store or can't be read, and returns its new name.
func SetAside(dir string, now time.Time) (string, error) {
	old := filepath.Join(dir, fileName)
	name := fmt.Sprintf("%s.bad-%d", old, now.UnixNano())
	return name, os.Rename(old, name)
}
