package quotahost

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"raventrestle/internal/control/quota"
)

const (
	// ownRecordName is the prefix of the names of the two files with this holder's records.
	ownRecordName = "quota"
	// copyPrefix is the prefix of the names of files with copies of other holders' records.
	copyPrefix     = "quota-of-"
	recordFileMode = 0o600
)

// recordFile stores the newest record of one holder in a directory. It alternates between two files, so that the newest synced
// record remains readable while the next one is written. It is not safe for concurrent use.
type recordFile struct {
	paths      [2]string
	syncedSlot int     // index of the file with the newest synced record; -1: none
	nameSynced [2]bool // the directory entry of the file is synced
}

// storedRecord is the content of the two files of a recordFile.
type storedRecord struct {
	newest  *quota.Record // nil: neither file is readable
	encoded []byte        // of newest
	exists  bool          // at least one of the files exists
}

// openRecordFile reads the newest record with the given name.
func openRecordFile(directory, name string) (file *recordFile, stored storedRecord, err error) {
	file = &recordFile{syncedSlot: -1}
	for slot := range file.paths {
		file.paths[slot] = filepath.Join(directory, name+"-"+strconv.Itoa(slot))
		content, err := os.ReadFile(file.paths[slot])
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, storedRecord{}, fmt.Errorf("read quota record: %w", err)
		}
		stored.exists = true
		record, err := quota.DecodeRecord(content)
		if err == nil && (stored.newest == nil || record.Sequence > stored.newest.Sequence) {
			stored.newest, stored.encoded, file.syncedSlot = record, content, slot
		}
	}
	return file, stored, nil
}

// write replaces the older of the two stored records and syncs it.
func (f *recordFile) write(encoded []byte) error {
	slot := 1 - max(f.syncedSlot, 0)
	if err := writeSynced(f.paths[slot], encoded); err != nil {
		return fmt.Errorf("write quota record: %w", err)
	}
	if !f.nameSynced[slot] {
		if err := syncDirectory(filepath.Dir(f.paths[slot])); err != nil {
			return fmt.Errorf("write quota record: %w", err)
		}
		f.nameSynced[slot] = true
	}
	f.syncedSlot = slot
	return nil
}

// recordStore stores a holder's own records and copies of other holders' records. One goroutine may write own records while
// another one writes copies.
type recordStore struct {
	directory string
	own       *recordFile
	copies    map[string]*recordFile // by name without the file's index
}

// openRecordStore reads what an earlier process stored in a directory.
func openRecordStore(directory string) (store *recordStore, persisted quota.PersistedState, err error) {
	store = &recordStore{directory: directory, copies: make(map[string]*recordFile)}
	own, stored, err := openRecordFile(directory, ownRecordName)
	if err != nil {
		return nil, quota.PersistedState{}, err
	}
	store.own = own
	persisted = quota.PersistedState{Record: stored.newest, DiskEmpty: !stored.exists}
	persisted.Copies, persisted.CopiesUnreadable, err = store.readCopies()
	return store, persisted, err
}

// readCopies reads the copies of other holders' records. It reports unreadable if neither file of some
// holder can be read.
func (s *recordStore) readCopies() (copies []*quota.RecordCopy, unreadable bool, err error) {
	paths, err := filepath.Glob(filepath.Join(s.directory, copyPrefix+"*-[01]"))
	if err != nil {
		return nil, false, fmt.Errorf("list copies of quota records: %w", err)
	}
	for _, path := range paths {
		base := filepath.Base(path)
		name := base[:len(base)-len("-0")]
		if s.copies[name] != nil {
			continue // already read with its other file
		}
		file, stored, err := openRecordFile(s.directory, name)
		if err != nil {
			return nil, false, err
		}
		s.copies[name] = file
		if stored.newest == nil {
			unreadable = true
			continue
		}
		copies = append(copies, &quota.RecordCopy{Record: stored.newest, Encoded: stored.encoded})
	}
	return copies, unreadable, nil
}

// writeCopy replaces the stored copy of a holder's record and syncs it.
func (s *recordStore) writeCopy(recordCopy *quota.RecordCopy) error {
	name := copyPrefix + strconv.FormatUint(xxhash.Sum64String(recordCopy.Record.Identity), 16)
	file := s.copies[name]
	if file == nil {
		opened, _, err := openRecordFile(s.directory, name)
		if err != nil {
			return err
		}
		file = opened
		s.copies[name] = file
	}
	return file.write(recordCopy.Encoded)
}

// writeOwn replaces the older of the two own records and syncs it.
func (s *recordStore) writeOwn(record *quota.Record) error {
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	return s.own.write(encoded)
}

// writeSynced replaces the content of a file and syncs the file.
func writeSynced(name string, content []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, recordFileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory makes the names of new files in a directory durable.
func syncDirectory(name string) error {
	directory, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // read-only, so closing loses no data
	return directory.Sync()
}
