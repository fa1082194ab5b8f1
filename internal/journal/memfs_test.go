package journal

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

var errCrashed = errors.New("the host has crashed")

// memFS is an in-memory file system that may lose unsynced data in a crash.
type memFS struct {
	mu       sync.Mutex
	files    map[string]*memFile
	durable  map[string]*memFile // names as of the last SyncDir
	ops      int
	crashAt  int // operation at which the host crashes, or 0
	failSync bool
	syncFull bool // a sync reports a full disk, as with delayed allocation
	space    int  // bytes that may still be written; negative for no limit
}

type memFile struct {
	data, synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, space: -1}
}

// op counts an operation that changes the disk.
func (m *memFS) op() error {
	m.ops++
	if m.crashAt > 0 && m.ops >= m.crashAt {
		return errCrashed
	}
	return nil
}

// afterCrash returns the contents of the disk after a crash. Each unsynced name
// and each unsynced suffix may or may not have reached it.
func (m *memFS) afterCrash(rnd *rand.Rand) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := newMemFS()
	for name, f := range m.durable {
		if m.files[name] == f || rnd.IntN(2) == 0 {
			out.files[name] = f.afterCrash(rnd)
		}
	}
	for name, f := range m.files {
		if m.durable[name] != f && rnd.IntN(2) == 0 {
			out.files[name] = f.afterCrash(rnd)
		}
	}
	out.durable = maps.Clone(out.files)
	return out
}

func (f *memFile) afterCrash(rnd *rand.Rand) *memFile {
	data := slices.Clone(f.synced)
	if bytes.HasPrefix(f.data, f.synced) {
		rest := f.data[len(f.synced):]
		kept := rnd.IntN(len(rest) + 1)
		data = append(data, rest[:kept]...)
		if rnd.IntN(2) == 0 {
			data = append(data, make([]byte, len(rest)-kept)...)
		}
	}
	return &memFile{data: data, synced: slices.Clone(data)}
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[name] = f
	return &memHandle{m, f}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) ReadDir(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.synced = slices.Clone(f.data)
	return nil
}

func (m *memFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.op(); err != nil {
		// The write reached the page cache before the crash.
		h.f.data = append(h.f.data, b...)
		return 0, err
	}
	n := len(b)
	if h.fs.space >= 0 {
		n = min(n, h.fs.space)
		h.fs.space -= n
	}
	h.f.data = append(h.f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.op(); err != nil {
		return err
	}
	if h.fs.syncFull && !bytes.Equal(h.f.data, h.f.synced) {
		return syscall.ENOSPC
	}
	if h.fs.failSync {
		return syscall.EIO
	}
	h.f.synced = slices.Clone(h.f.data)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.op(); err != nil {
		return err
	}
	h.f.data = h.f.data[:size]
	return nil
}

func (h *memHandle) Close() error { return nil }
