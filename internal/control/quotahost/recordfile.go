package quotahost

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"raventrestle/internal/control/quota"
)

// recordSlots are the names of the two files that hold records by turns: while one is being written, the other has the
// newest record that is synced.
var recordSlots = [2]string{"quota-0", "quota-1"}

const recordMode = 0o600

// recordFile keeps the newest record of a holder in a directory. It is not safe for concurrent use.
type recordFile struct {
	directory string
	synced    int  // slot of the newest synced record
	listed    bool // the files' names are synced too
}

// openRecordFile reads the newest record of a directory. Earlier is nil if there is none that can be read; fresh says that
// there never was one.
func openRecordFile(directory string) (file *recordFile, earlier *quota.Record, fresh bool, err error) {
	file, fresh = &recordFile{directory: directory, synced: -1}, true
	for slot, name := range recordSlots {
		content, err := os.ReadFile(filepath.Join(directory, name)) //nolint:gosec // the instance's own directory
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, false, fmt.Errorf("read the record of quotas: %w", err)
		}
		fresh = false
		record, err := quota.DecodeRecord(content)
		if err == nil && (earlier == nil || record.Sequence > earlier.Sequence) {
			earlier, file.synced = record, slot
		}
	}
	return file, earlier, fresh, nil
}

// write replaces the older record by this one and syncs it.
func (f *recordFile) write(record *quota.Record) error {
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	slot := 1 - max(f.synced, 0)
	if err := f.writeSlot(recordSlots[slot], encoded); err != nil {
		return fmt.Errorf("write the record of quotas: %w", err)
	}
	f.synced = slot
	return nil
}

func (f *recordFile) writeSlot(name string, content []byte) error {
	file, err := os.OpenFile(filepath.Join(f.directory, name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, recordMode)
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
	if err != nil || f.listed {
		return err
	}
	if err := f.syncDirectory(); err != nil {
		return err
	}
	f.listed = f.synced >= 0 // both names are there from the second record on
	return nil
}

// syncDirectory makes the files' names durable.
func (f *recordFile) syncDirectory() error {
	directory, err := os.Open(f.directory)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading
	return directory.Sync()
}
