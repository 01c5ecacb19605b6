package deadletter

// Opening, locking, compacting and quarantining the store file.

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
	// The free list is synced with each transaction. Without it bbolt reads the whole file when it opens it, in a
	// separate goroutine, where a panic over a corrupt page would end the process.
	db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{
		Timeout: 200 * time.Millisecond, NoSync: !s.Sync,
		FreelistType: bbolt.FreelistMapType, ReadOnly: s.ReadOnly,
	})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return fmt.Errorf("deadletter: %s: %w", s.path, ErrLocked)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return fmt.Errorf("deadletter: %s: %w: %w", s.path, ErrCorrupt, err)
	case err != nil:
		var path *os.PathError
		if errors.As(err, &path) {
			return fmt.Errorf("deadletter: %w", err)
		}
		return fmt.Errorf("deadletter: %s: %w: %w", s.path, ErrCorrupt, err)
	}
	s.db = db
	if s.ReadOnly {
		return nil
	}
	return s.write(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{headers, bodies, ids} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// recoverCorruption turns a panic of bbolt, such as for a read beyond the end of a truncated file, into
// ErrCorrupt and calls cleanup. Every method that accesses the file defers it.
func (s *Store) recoverCorruption(err *error, cleanup func()) {
	if e := recover(); e != nil {
		*err = fmt.Errorf("deadletter: %s: %w: %v", s.path, ErrCorrupt, e)
		if cleanup != nil {
			cleanup()
		}
	}
}

func (s *Store) write(f func(*bbolt.Tx) error) error {
	if s.BeforeWrite != nil {
		if err := s.BeforeWrite(); err != nil {
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

// buildIndex reads the header of every dead letter into the index. It counts unreadable ones and skips them.
func (s *Store) buildIndex() error {
	return s.read(func(tx *bbolt.Tx) error {
		if tx.Bucket(headers) == nil || tx.Bucket(ids) == nil || tx.Bucket(bodies) == nil {
			return fmt.Errorf("deadletter: %s: buckets are missing: %w", s.path, ErrCorrupt)
		}
		return tx.Bucket(headers).ForEach(func(k, v []byte) error {
			msg, err := decode(v)
			if err != nil || len(k) != 8 {
				s.Unreadable++
				return nil
			}
			s.addToIndex(binary.BigEndian.Uint64(k), msg, len(v))
			return nil
		})
	})
}

// compact rewrites the file if it is at least 1 MB and three times as large as its dead letters.
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
	// The lock of the old file is held until the new file has replaced it, and is then taken on the new file.
	if err := os.Rename(next, s.path); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := s.db.Close(); err != nil {
		return err
	}
	return s.open()
}

// Quarantine renames a store file that cannot be read and returns the new name. The file is left for operators.
func Quarantine(dir string, now time.Time) (string, error) {
	old := filepath.Join(dir, fileName)
	name := fmt.Sprintf("%s.bad-%d", old, now.UnixNano())
	return name, os.Rename(old, name)
}
