package link

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// EmptyFolder removes all that is in a folder, and keeps the folder.
func EmptyFolder(dir string) error {
	all, err := os.ReadDir(dir)
	for _, e := range all {
		err = errors.Join(err, os.RemoveAll(filepath.Join(dir, e.Name())))
	}
	return err
}

// SwapFolders exchanges two folders of one file system in one step.
func SwapFolders(a, b string) error {
	if err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE); err != nil {
		return fmt.Errorf("link: swap %s and %s: %w", a, b, err)
	}
	return nil
}

// Save copies a folder to where nothing is yet.
func Save(dir, snapshot string) error {
	if _, err := os.Lstat(snapshot); err == nil {
		return fmt.Errorf("link: save: %s is there already; name a new folder", snapshot)
	}
	return os.CopyFS(snapshot, os.DirFS(dir))
}

// Restore puts a saved folder back in place of what is there now. The snapshot stays.
func Restore(snapshot, dir string) error {
	if _, err := os.Stat(snapshot); err != nil { // before anything is lost
		return fmt.Errorf("link: restore: %w; save it first", err)
	}
	if err := EmptyFolder(dir); err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(snapshot))
}

// FillDisk makes each file of the folder one on a full disk, for whoever opens it from now on: opening works,
// writing says ENOSPC. A process that has a file open writes on to the one it has. Undo puts back what was
// there, and leaves what was made new meanwhile.
//
// A full file system of its own would reach open files too, and needs the right to mount one.
func FillDisk(dir string) (undo func() error, err error) {
	kept := map[string]string{}
	undo = func() (err error) {
		for path, aside := range kept {
			at, lerr := os.Readlink(path)
			if lerr != nil || at != "/dev/full" { // replaced meanwhile: it is newer
				err = errors.Join(err, os.Remove(aside))
				continue
			}
			err = errors.Join(err, os.Rename(aside, path))
		}
		return err
	}
	err = filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		aside := path + ".aside"
		if err := os.Rename(path, aside); err != nil {
			return err
		}
		kept[path] = aside
		return os.Symlink("/dev/full", path)
	})
	if err != nil {
		return nil, errors.Join(err, undo())
	}
	return undo, nil
}
