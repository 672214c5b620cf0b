// Package lwrun remembers which non-idempotent requests an agent has started,
// so that each claim starts at most once, and so that an entry can fence a
// claim whose request may still be under way.
package lwrun

import (
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// State is where a run stands in this agent incarnation.
type State string

// The states of a run.
const (
	Fenced   State = "fenced"   // it was not started here and never will be
	Started  State = "started"  // it is running
	Finished State = "finished" // its answer is known
	Broken   State = "broken"   // it was started and its answer is lost
)

const (
	shards     = 16
	maxRecords = 4096 // a shard
	retention  = time.Hour
)

// Record is what is known of one run.
type Record struct {
	State  State           `json:"state"`
	Answer *lwstate.Answer `json:"answer,omitempty"`
}

// Table holds the runs of one agent incarnation. It is safe for concurrent
// use.
type Table struct {
	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[lwunit.FencingToken]*entry
	floor   lwunit.FencingToken // tokens up to here were forgotten
}

type entry struct {
	Record
	at   time.Time
	done chan struct{} // closed when the run has ended
}

// NewTable returns a table without runs.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].records = make(map[lwunit.FencingToken]*entry)
	}
	return t
}

func (t *Table) shardOf(token lwunit.FencingToken) *shard { return &t.shards[token%shards] }

// Start marks a claim's run as started. It fails if the claim was started or
// fenced before.
func (t *Table) Start(token lwunit.FencingToken) error {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if token <= s.floor || s.records[token] != nil {
		return lwfault.New(lwfault.Fenced, "claim %d was started or fenced before", token)
	}
	s.records[token] = &entry{Record: Record{State: Started}, at: time.Now(), done: make(chan struct{})}
	return nil
}

// Finish records how a run ended; a nil answer means that it is not known.
func (t *Table) Finish(token lwunit.FencingToken, a *lwstate.Answer) {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[token]
	if e == nil || e.State != Started {
		return
	}
	e.State, e.Answer = Finished, a
	if a == nil {
		e.State = Broken
	}
	close(e.done)
	s.trim()
}

// Settle returns the record of a claim. One that was not started is fenced by
// the call and can never start after it.
func (t *Table) Settle(token lwunit.FencingToken) Record {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[token]
	switch {
	case e != nil:
		return e.Record
	case token <= s.floor:
		return Record{State: Broken}
	default:
		done := make(chan struct{})
		close(done)
		s.records[token] = &entry{Record: Record{State: Fenced}, at: time.Now(), done: done}
		s.trim()
		return Record{State: Fenced}
	}
}

// Wait returns a channel that is closed when the run of a claim has ended.
func (t *Table) Wait(token lwunit.FencingToken) <-chan struct{} {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.records[token]; e != nil {
		return e.done
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// trim forgets the oldest ended runs beyond the bound. Their tokens stay
// refused, since the floor rises over them.
func (s *shard) trim() {
	if len(s.records) <= maxRecords {
		return
	}
	for token, e := range s.records {
		if e.State != Started && time.Since(e.at) > retention {
			s.floor = max(s.floor, token)
			delete(s.records, token)
		}
	}
}
