package lwdisk

import (
	"fmt"
	"io/fs"
	"sort"
	"sync"
)

// Memory is a Disk in memory for tests. Crash drops unsynced data, as a power
// failure would, and SetFault makes operations fail. Truncation is durable without
// a sync.
type Memory struct {
	mu         sync.Mutex
	visible    map[string]*inode // directory as the process sees it
	durable    map[string]*inode // directory as it is after a crash
	operations int
	fault      func(op int, kind, name string) Fault
}

// inode is the content of a file, which both directories may refer to.
type inode struct {
	data   []byte
	synced int // length of the prefix that survives a crash
}

// Fault is the failure of one operation; a nil Err means that it succeeds.
type Fault struct {
	Err          error // returned to the caller
	WrittenBytes int   // for a write: number of bytes that reach the file nevertheless
}

// NewMemory returns an empty disk.
func NewMemory() *Memory {
	return &Memory{visible: make(map[string]*inode), durable: make(map[string]*inode)}
}

// SetFault sets the function that decides whether an operation fails, or removes
// it if f is nil. In f, op is the number of the operation, counted from 1 at this
// call, and kind is append (for OpenAppend), write, sync, truncate, rename, remove
// or sync_folder.
func (m *Memory) SetFault(f func(op int, kind, name string) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	m.operations = 0
}

func (m *Memory) nextFault(kind, name string) Fault {
	m.operations++
	if m.fault == nil {
		return Fault{}
	}
	return m.fault(m.operations, kind, name)
}

// Crash drops unsynced data and unsynced changes of the folder, and removes the
// fault function. For each file with unsynced bytes, keep returns how many of them
// survive as a torn tail; a nil keep drops them all.
func (m *Memory) Crash(keep func(name string, unsynced int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.visible = make(map[string]*inode)
	for name, n := range m.durable {
		size := n.synced
		if unsynced := len(n.data) - n.synced; keep != nil && unsynced > 0 {
			size += keep(name, unsynced)
		}
		survivor := &inode{data: append([]byte(nil), n.data[:size]...), synced: size}
		m.visible[name] = survivor
	}
	m.durable = make(map[string]*inode)
	for name, n := range m.visible {
		m.durable[name] = n
	}
	m.fault = nil
}

// Corrupt inverts the bits of one byte of a file.
func (m *Memory) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.visible[name].data[offset] ^= 0xff
}

// Size returns the length of a file, or -1 if there is none.
func (m *Memory) Size(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.visible[name]
	if !ok {
		return -1
	}
	return len(n.data)
}

// memoryFile is an open file of a Memory.
type memoryFile struct {
	disk  *Memory
	name  string
	inode *inode
}

// OpenAppend opens a file for appending and creates it if it is missing.
func (m *Memory) OpenAppend(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.nextFault("append", name); f.Err != nil {
		return nil, f.Err
	}
	n, ok := m.visible[name]
	if !ok {
		n = &inode{}
		m.visible[name] = n
	}
	return &memoryFile{m, name, n}, nil
}

// Write appends data. A failed write appends the first Fault.WrittenBytes bytes of
// it.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if fault := f.disk.nextFault("write", f.name); fault.Err != nil {
		f.inode.data = append(f.inode.data, data[:min(fault.WrittenBytes, len(data))]...)
		return fault.WrittenBytes, fault.Err
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if fault := f.disk.nextFault("sync", f.name); fault.Err != nil {
		return fault.Err
	}
	f.inode.synced = len(f.inode.data)
	return nil
}

// Truncate cuts the file to size.
func (f *memoryFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if fault := f.disk.nextFault("truncate", f.name); fault.Err != nil {
		return fault.Err
	}
	f.inode.data = f.inode.data[:size]
	f.inode.synced = min(f.inode.synced, int(size))
	return nil
}

// Close does nothing.
func (f *memoryFile) Close() error { return nil }

// Read returns the content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.visible[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return append([]byte(nil), n.data...), nil
}

// List returns the sorted names of the files.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.visible))
	for name := range m.visible {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames the file from, replacing the file to if there is one.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.nextFault("rename", from); f.Err != nil {
		return f.Err
	}
	m.visible[to] = m.visible[from]
	delete(m.visible, from)
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.nextFault("remove", name); f.Err != nil {
		return f.Err
	}
	delete(m.visible, name)
	return nil
}

// SyncFolder makes creations, renames and removals durable.
func (m *Memory) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.nextFault("sync_folder", ""); f.Err != nil {
		return f.Err
	}
	m.durable = make(map[string]*inode)
	for name, n := range m.visible {
		m.durable[name] = n
	}
	return nil
}
