// Package lwdisk is the interface between the replicated log and the file system
// of a VM, with an in-memory implementation that lets tests fail any
// operation except reads, and lose or tear unsynced writes.
package lwdisk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

const (
	lockName   = "lock"
	folderMode = 0o750
	fileMode   = 0o640
)

// File is a file open for appending.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Disk is one data folder. A file survives a crash for certain only after its Sync
// and the folder's SyncFolder have returned.
type Disk interface {
	OpenAppend(name string) (File, error)
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Folder is a Disk on a folder of the file system. A lock file keeps a second
// process from opening it.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder opens and locks the folder, and creates it if it is missing.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &lwfault.Fault{Kind: lwfault.Conflict, Detail: "another process uses data folder " + path, Cause: err}
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// FreeSpace returns the free space that the file system has for unprivileged
// processes.
func (f *Folder) FreeSpace() (lwunit.Bytes, error) {
	var st syscall.Statfs_t
	if err := syscall.Statfs(f.path, &st); err != nil {
		return 0, fmt.Errorf("read free space of data folder: %w", err)
	}
	return lwunit.Bytes(st.Bavail) * lwunit.Bytes(st.Bsize), nil
}

// OpenAppend opens a file for appending and creates it if it is missing.
func (f *Folder) OpenAppend(name string) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	return file, nil
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(f.path, name))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return data, nil
}

// List returns the sorted names of the files, without the lock file.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames the file from, replacing the file to if there is one.
func (f *Folder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return fmt.Errorf("rename %s: %w", from, err)
	}
	return nil
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	return nil
}

// SyncFolder makes creations, renames and removals durable.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = dir.Close() }()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// WriteFile replaces the content of a file durably. After a crash the file holds
// either the old or the new content, whole.
func WriteFile(d Disk, name string, data []byte) error {
	tmp := name + ".tmp"
	if err := removeIfExists(d, tmp); err != nil {
		return err
	}
	f, err := d.OpenAppend(tmp)
	if err != nil {
		return err
	}
	if err := writeSyncClose(f, data); err != nil {
		return fmt.Errorf("write %s: %w", tmp, errors.Join(err, d.Remove(tmp)))
	}
	if err := d.Rename(tmp, name); err != nil {
		return err
	}
	return d.SyncFolder()
}

func removeIfExists(d Disk, name string) error {
	names, err := d.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n == name {
			return d.Remove(name)
		}
	}
	return nil
}

func writeSyncClose(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// IsTemporary reports whether name is that of a temporary file of WriteFile.
func IsTemporary(name string) bool { return strings.HasSuffix(name, ".tmp") }
