package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS is the part of a file system that the journal uses.
type FS interface {
	MkdirAll(dir string) error
	// Create creates an empty file for appending and replaces an existing one.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate shortens a file and syncs it.
	Truncate(name string, size int64) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock. It is released by Close or when the process
	// exits.
	Lock(name string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// ErrLocked means that another process uses the data directory.
var ErrLocked = errors.New("the data directory is in use by another process")

// OS is the file system of the host.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// Lock implements FS with flock.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

// noSpace reports whether err means that the disk or a quota is full.
func noSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
