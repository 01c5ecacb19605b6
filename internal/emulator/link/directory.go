package link

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ClearDir removes everything in a directory and keeps the directory.
func ClearDir(dir string) error {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(dir, e.Name())))
	}
	return err
}

// SwapDirs atomically exchanges two directories of the same file system.
func SwapDirs(a, b string) error {
	if err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE); err != nil {
		return fmt.Errorf("link: swap %s and %s: %w", a, b, err)
	}
	return nil
}

// SaveSnapshot copies a directory to a path that must not exist yet.
func SaveSnapshot(dir, snapshot string) error {
	if _, err := os.Lstat(snapshot); err == nil {
		return fmt.Errorf("link: save: %s exists already; name a new directory", snapshot)
	}
	return os.CopyFS(snapshot, os.DirFS(dir))
}

// RestoreSnapshot replaces the content of a directory by that of the snapshot, which is kept.
func RestoreSnapshot(snapshot, dir string) error {
	if _, err := os.Stat(snapshot); err != nil { // checked before the directory is cleared
		return fmt.Errorf("link: restore: %w; save it first", err)
	}
	if err := ClearDir(dir); err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(snapshot))
}

// SimulateFullDisk replaces each file in the directory by a link to /dev/full, so that a file that is opened
// from now on can be opened, but a write to it returns ENOSPC. A process that has a file open continues to write
// to the original. Undo restores the original files, except where a new file has taken the place of the link.
//
// A separate file system that is full would affect open files too, but needs the privilege to mount it.
func SimulateFullDisk(dir string) (undo func() error, err error) {
	renamed := map[string]string{}
	undo = func() (err error) {
		for path, savedPath := range renamed {
			target, linkErr := os.Readlink(path)
			if linkErr != nil || target != "/dev/full" { // the file has been replaced since and is newer
				err = errors.Join(err, os.Remove(savedPath))
				continue
			}
			err = errors.Join(err, os.Rename(savedPath, path))
		}
		return err
	}
	err = filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		savedPath := path + ".aside"
		if err := os.Rename(path, savedPath); err != nil {
			return err
		}
		renamed[path] = savedPath
		return os.Symlink("/dev/full", path)
	})
	if err != nil {
		return nil, errors.Join(err, undo())
	}
	return undo, nil
}
