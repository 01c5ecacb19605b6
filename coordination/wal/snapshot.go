package wal

import "fmt"

// writeSnapshot writes and syncs the snapshot to a temporary file, and then renames the file and syncs the directory.
func (l *Log) writeSnapshot(name string, snapshot []byte) error {
	file, err := l.fs.Create(temporaryName)
	if err != nil {
		return &DiskError{Step: "create", File: temporaryName, Err: err}
	}
	_, err = writeFrame(file, temporaryName, kindSnapshot, buffers{snapshot})
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = &DiskError{Step: "close", File: temporaryName, Err: closeErr}
	}
	if err != nil {
		return err
	}
	if err := l.fs.Rename(temporaryName, name); err != nil {
		return &DiskError{Step: "rename to", File: name, Err: err}
	}
	if err := l.fs.SyncDirectory(); err != nil {
		return &DiskError{Step: "sync the directory for", File: name, Err: err}
	}
	return nil
}

// readSnapshot returns the content of a snapshot file.
func readSnapshot(fs FS, number uint64) ([]byte, error) {
	name := snapshotName(number)
	data, err := fs.Read(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, &DiskError{Step: "read", File: name, Err: err})
	}
	kind, body, rest, ok := decodeFrame(data)
	if !ok || kind != kindSnapshot || len(rest) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, name)
	}
	return body, nil
}
