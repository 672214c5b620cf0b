// Package lwrun records which non-idempotent requests an agent has started, so
// that each claim starts at most once and an entry can fence a claim whose
// request may still arrive.
package lwrun

import (
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// State is the state of a claim's run in one incarnation of an agent.
type State string

// The states of a run.
const (
	Fenced     State = "fenced"   // not started, and never will be
	Started    State = "started"  // running
	Finished   State = "finished" // ended, with an answer
	AnswerLost State = "broken"   // started, but the answer is not known
)

const (
	shards        = 16
	trimThreshold = 4096      // runs in a shard above which old ones are removed
	retention     = time.Hour // from when a run was started or fenced, or from its end if it ran for longer
)

// Record is the recorded state of one run.
type Record struct {
	State  State           `json:"state"`
	Answer *lwstate.Answer `json:"answer,omitempty"`
}

// Table holds the runs of one incarnation of an agent. It is safe for concurrent
// use.
type Table struct {
	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[lwunit.FencingToken]*trackedRun
	queue   []queuedRun         // the records in the order in which their retention ends, without overdue ones
	floor   lwunit.FencingToken // highest token that was removed
}

type queuedRun struct {
	token lwunit.FencingToken
	at    time.Time // when its retention began
}

type trackedRun struct {
	Record
	overdue bool          // it ran on past its retention, and left the queue until it ends
	done    chan struct{} // closed when the run has ended or was fenced
}

// NewTable returns a table without runs.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].records = make(map[lwunit.FencingToken]*trackedRun)
	}
	return t
}

func (t *Table) shardOf(token lwunit.FencingToken) *shard { return &t.shards[token%shards] }

// Start marks a claim's run as started. It fails if the claim may have been
// started or fenced before.
func (t *Table) Start(token lwunit.FencingToken) error {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if token <= s.floor || s.records[token] != nil {
		return lwfault.New(lwfault.Fenced, "claim %d was started or fenced before, or is too old to tell", token)
	}
	s.add(token, &trackedRun{Record: Record{State: Started}, done: make(chan struct{})})
	return nil
}

// Finish records the end of a run. A nil answer means that the answer is not
// known.
func (t *Table) Finish(token lwunit.FencingToken, a *lwstate.Answer) {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.records[token]
	if run == nil || run.State != Started {
		return
	}
	run.State, run.Answer = Finished, a
	if a == nil {
		run.State = AnswerLost
	}
	close(run.done)
	if run.overdue {
		s.add(token, run)
	}
	s.trim()
}

// Settle returns the record of a claim. A claim that was not started is fenced by
// the call and can never start afterwards. One whose record may have been removed
// counts as AnswerLost.
func (t *Table) Settle(token lwunit.FencingToken) Record {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.records[token]
	switch {
	case run != nil:
		return run.Record
	case token <= s.floor:
		return Record{State: AnswerLost}
	default:
		done := make(chan struct{})
		close(done)
		s.add(token, &trackedRun{Record: Record{State: Fenced}, done: done})
		s.trim()
		return Record{State: Fenced}
	}
}

// Wait returns a channel that is closed when a claim's run has ended. It is
// closed already if the claim has no record.
func (t *Table) Wait(token lwunit.FencingToken) <-chan struct{} {
	s := t.shardOf(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.records[token]; run != nil {
		return run.done
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// add stores a run and begins its retention.
func (s *shard) add(token lwunit.FencingToken, run *trackedRun) {
	s.records[token] = run
	s.queue = append(s.queue, queuedRun{token, time.Now()})
}

// trim removes the ended runs whose retention has passed, once the shard holds more
// than trimThreshold. Their tokens stay refused, because floor rises to the highest of
// them. It returns how many runs it has looked at.
func (s *shard) trim() (looked int) {
	if len(s.records) <= trimThreshold {
		return 0
	}
	for len(s.queue) > 0 {
		looked++
		q := s.queue[0]
		if time.Since(q.at) <= retention {
			break
		}
		s.queue = s.queue[1:]
		run := s.records[q.token]
		if run.State == Started {
			run.overdue = true
			continue
		}
		s.floor = max(s.floor, q.token)
		delete(s.records, q.token)
	}
	return looked
}
