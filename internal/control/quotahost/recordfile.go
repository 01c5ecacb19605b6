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
	// recordName begins the names of the two files with this holder's own records.
	recordName = "quota"
	// copyPrefix begins the names of files with copies of other holders' records.
	copyPrefix = "quota-of-"
	recordMode = 0o600
)

// recordFile keeps the newest record of one holder in a directory, in two files by turns: while one is being written, the other has
// the newest record that is synced. It is not safe for concurrent use.
type recordFile struct {
	names  [2]string
	synced int     // slot of the newest synced record; -1: there is none
	listed [2]bool // the file's name is synced too
}

// storedRecord is what two files held.
type storedRecord struct {
	newest  *quota.Record // nil: neither can be read
	encoded []byte
	exists  bool // there is a file
}

// openRecordFile reads the newest record under a name.
func openRecordFile(directory, name string) (file *recordFile, stored storedRecord, err error) {
	file = &recordFile{synced: -1}
	for slot := range file.names {
		file.names[slot] = filepath.Join(directory, name+"-"+strconv.Itoa(slot))
		content, err := os.ReadFile(file.names[slot])
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, storedRecord{}, fmt.Errorf("read a record of quotas: %w", err)
		}
		stored.exists = true
		record, err := quota.DecodeRecord(content)
		if err == nil && (stored.newest == nil || record.Sequence > stored.newest.Sequence) {
			stored.newest, stored.encoded, file.synced = record, content, slot
		}
	}
	return file, stored, nil
}

// write replaces the older record by this one and syncs it.
func (f *recordFile) write(encoded []byte) error {
	slot := 1 - max(f.synced, 0)
	if err := writeSynced(f.names[slot], encoded); err != nil {
		return fmt.Errorf("write a record of quotas: %w", err)
	}
	if !f.listed[slot] {
		if err := syncDirectory(filepath.Dir(f.names[slot])); err != nil {
			return fmt.Errorf("write a record of quotas: %w", err)
		}
		f.listed[slot] = true
	}
	f.synced = slot
	return nil
}

// recordStore keeps the own records of a holder and copies of others'. Own records and copies may be written at the same time.
type recordStore struct {
	directory string
	own       *recordFile
	copies    map[string]*recordFile // by name
}

// openRecordStore reads what an earlier process left in a directory.
func openRecordStore(directory string) (store *recordStore, former quota.Former, err error) {
	store = &recordStore{directory: directory, copies: make(map[string]*recordFile)}
	own, stored, err := openRecordFile(directory, recordName)
	if err != nil {
		return nil, quota.Former{}, err
	}
	store.own = own
	former = quota.Former{Record: stored.newest, Fresh: !stored.exists}
	former.Copies, former.CopiesLost, err = store.readCopies()
	return store, former, err
}

// readCopies reads the copies of other holders' records. Lost says that some holder's can't be read in either file.
func (s *recordStore) readCopies() (copies []*quota.RecordCopy, lost bool, err error) {
	paths, err := filepath.Glob(filepath.Join(s.directory, copyPrefix+"*-[01]"))
	if err != nil {
		return nil, false, fmt.Errorf("list the copies of records of quotas: %w", err)
	}
	for _, path := range paths {
		base := filepath.Base(path)
		name := base[:len(base)-len("-0")]
		if s.copies[name] != nil {
			continue // by its other file
		}
		file, stored, err := openRecordFile(s.directory, name)
		if err != nil {
			return nil, false, err
		}
		s.copies[name] = file
		if stored.newest == nil {
			lost = true
			continue
		}
		copies = append(copies, &quota.RecordCopy{Record: stored.newest, Encoded: stored.encoded})
	}
	return copies, lost, nil
}

// writeCopy replaces the copy of a holder's record and syncs it.
func (s *recordStore) writeCopy(kept *quota.RecordCopy) error {
	name := copyPrefix + strconv.FormatUint(xxhash.Sum64String(kept.Record.Identity), 16)
	file := s.copies[name]
	if file == nil {
		opened, _, err := openRecordFile(s.directory, name)
		if err != nil {
			return err
		}
		file = opened
		s.copies[name] = file
	}
	return file.write(kept.Encoded)
}

// writeOwn replaces the older own record by this one and syncs it.
func (s *recordStore) writeOwn(record *quota.Record) error {
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	return s.own.write(encoded)
}

// writeSynced replaces the content of a file and syncs it.
func writeSynced(name string, content []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, recordMode)
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

// syncDirectory makes the files' names durable.
func syncDirectory(name string) error {
	directory, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading
	return directory.Sync()
}
