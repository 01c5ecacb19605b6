package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is one folder of files.
type FS interface {
	// List returns the names in the folder in any order.
	List() ([]string, error)
	// Read returns the whole file.
	Read(name string) ([]byte, error)
	// Create makes a new empty file, in place of one of that name.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the names durable.
	SyncDirectory() error
}

// File is a file that is written from its start to its end.
type File interface {
	Write(body []byte) (int, error)
	Sync() error
	Close() error
}

// ErrCorrupt marks synced data that can't be read back.
var ErrCorrupt = errors.New("wal: corrupt")

// DiskError tells which step on which file the disk refused.
type DiskError struct {
	Step string
	File string
	Err  error
}

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("wal: %s %s: %v", e.Step, e.File, e.Err) }

// Unwrap returns the disk's own error.
func (e *DiskError) Unwrap() error { return e.Err }

// directory is FS on the operating system's files.
type directory struct{ path string }

// OpenDirectory returns the folder as an FS and makes it where it is missing.
func OpenDirectory(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, fmt.Errorf("wal: making the folder: %w", err)
	}
	return directory{path: path}, nil
}

func (f directory) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
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

func (f directory) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

func (f directory) Create(name string) (File, error) {
	file, err := os.Create(filepath.Join(f.path, name))
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

func (f directory) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

func (f directory) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

func (f directory) SyncDirectory() error {
	handle, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}

type osFile struct{ file *os.File }

func (f osFile) Write(body []byte) (int, error) { return f.file.Write(body) }

func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.file.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

func (f osFile) Close() error { return f.file.Close() }
