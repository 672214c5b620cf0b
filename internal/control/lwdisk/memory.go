package lwdisk

import (
	"fmt"
	"io/fs"
	"sort"
	"sync"
)

// Memory is a Disk in memory that can crash: Crash drops whatever was not
// synced. It serves tests of the packages above.
type Memory struct {
	mu      sync.Mutex
	live    map[string]*node // what the process sees
	durable map[string]*node // what survives a crash
	ops     int
	fault   func(op int, kind, name string) Fault
}

type node struct {
	data   []byte
	synced int // bytes that survive a crash
}

// Fault tells Memory how one operation goes wrong.
type Fault struct {
	Err  error // returned to the caller
	Keep int   // for a write: bytes that reach the file all the same
}

// NewMemory returns an empty disk.
func NewMemory() *Memory {
	return &Memory{live: make(map[string]*node), durable: make(map[string]*node)}
}

// SetFault installs a function that is asked before each operation; kinds are
// append, write, sync, truncate, rename, remove and sync_folder.
func (m *Memory) SetFault(f func(op int, kind, name string) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	m.ops = 0
}

func (m *Memory) step(kind, name string) Fault {
	m.ops++
	if m.fault == nil {
		return Fault{}
	}
	return m.fault(m.ops, kind, name)
}

// Crash drops everything that was not synced. For each file, keep is asked
// how many unsynced bytes survive, as a torn tail; nil keeps none.
func (m *Memory) Crash(keep func(name string, unsynced int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = make(map[string]*node)
	for name, n := range m.durable {
		size := n.synced
		if unsynced := len(n.data) - n.synced; keep != nil && unsynced > 0 {
			size += keep(name, unsynced)
		}
		survivor := &node{data: append([]byte(nil), n.data[:size]...), synced: size}
		m.live[name] = survivor
	}
	m.durable = make(map[string]*node)
	for name, n := range m.live {
		m.durable[name] = n
	}
	m.fault = nil
}

// Corrupt changes one byte of a file, as a failing disk would.
func (m *Memory) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live[name].data[offset] ^= 0xff
}

// Size returns the length of a file, or -1.
func (m *Memory) Size(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.live[name]
	if !ok {
		return -1
	}
	return len(n.data)
}

type memoryFile struct {
	m    *Memory
	name string
	n    *node
}

// Append opens a file for appending, making it if it is missing.
func (m *Memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.step("append", name); f.Err != nil {
		return nil, f.Err
	}
	n, ok := m.live[name]
	if !ok {
		n = &node{}
		m.live[name] = n
	}
	return &memoryFile{m, name, n}, nil
}

// Write appends data.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if fault := f.m.step("write", f.name); fault.Err != nil {
		f.n.data = append(f.n.data, data[:min(fault.Keep, len(data))]...)
		return fault.Keep, fault.Err
	}
	f.n.data = append(f.n.data, data...)
	return len(data), nil
}

// Sync makes the content durable.
func (f *memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if fault := f.m.step("sync", f.name); fault.Err != nil {
		return fault.Err
	}
	f.n.synced = len(f.n.data)
	return nil
}

// Truncate cuts the file.
func (f *memoryFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if fault := f.m.step("truncate", f.name); fault.Err != nil {
		return fault.Err
	}
	f.n.data = f.n.data[:size]
	f.n.synced = min(f.n.synced, int(size))
	return nil
}

// Close closes the file.
func (f *memoryFile) Close() error { return nil }

// Read returns the content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.live[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return append([]byte(nil), n.data...), nil
}

// List returns the names of the files in order.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.live))
	for name := range m.live {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Rename replaces the file to with the file from.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.step("rename", from); f.Err != nil {
		return f.Err
	}
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.step("remove", name); f.Err != nil {
		return f.Err
	}
	delete(m.live, name)
	return nil
}

// SyncFolder makes creations, renames and removals durable.
func (m *Memory) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.step("sync_folder", ""); f.Err != nil {
		return f.Err
	}
	m.durable = make(map[string]*node)
	for name, n := range m.live {
		m.durable[name] = n
	}
	return nil
}
