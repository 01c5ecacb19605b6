package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the directory of a log. Package modeldisk implements it in memory.
type FS interface {
	// List returns the names of the files in the directory, in any order.
	List() ([]string, error)
	// Read returns the complete content of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file. It replaces an existing file of that name.
	Create(name string) (File, error)
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDirectory makes all previous creations, renames and removals of files durable.
	SyncDirectory() error
}

// File is an append-only file.
type File interface {
	// Write appends the bytes. They are durable once the next Sync has succeeded.
	Write(body []byte) (int, error)
	// Sync makes everything durable that was written so far.
	Sync() error
	// Close releases the file without syncing it.
	Close() error
}

// ErrCorrupt is wrapped by errors that report that synced data can't be read back.
var ErrCorrupt = errors.New("wal: corrupt")

// DiskError describes a failed disk operation.
type DiskError struct {
	Step string // the operation, such as "write" or "sync"
	File string // name of the file in the directory
	Err  error  // error of the FS
}

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("wal: %s %s: %v", e.Step, e.File, e.Err) }

// Unwrap returns Err.
func (e *DiskError) Unwrap() error { return e.Err }

// directory implements FS on the operating system's file system.
type directory struct{ path string }

// OpenDirectory returns an FS for the directory at the path, which it creates if it is missing.
func OpenDirectory(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("wal: creating the directory: %w", err)
	}
	return directory{path: path}, nil
}

// List implements FS.
func (d directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("listing: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Read implements FS.
func (d directory) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(d.path, name)) }

// Create implements FS.
func (d directory) Create(name string) (File, error) {
	file, err := os.Create(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (d directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove implements FS.
func (d directory) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// SyncDirectory implements FS.
func (d directory) SyncDirectory() error {
	handle, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Close() }() // the directory was only opened to sync it
	return handle.Sync()
}

// osFile implements File. It syncs with fdatasync, which also makes a changed file length durable but not the timestamps.
type osFile struct{ file *os.File }

// Write implements File.
func (f osFile) Write(body []byte) (int, error) { return f.file.Write(body) }

// Sync implements File.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.file.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// Close implements File.
func (f osFile) Close() error { return f.file.Close() }
