package lwstate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

const (
	// ticketsKept bounds how many answers to tickets are kept; a lower number
	// than all of them is refused.
	ticketsKept         = 20000
	defaultJobRetention = 7 * 24 * time.Hour
	taskRetention       = time.Hour // of the tasks of a finished job
	maxClockStep        = lwunit.Millis(time.Hour / time.Millisecond)
	keyFutureAllowance  = 5 * time.Minute
)

// contents is everything a snapshot holds.
type contents struct {
	Version     int                               `json:"version"`
	Revision    lwunit.Revision                   `json:"revision"`
	Clock       lwunit.Millis                     `json:"clock"`
	NextToken   lwunit.FencingToken               `json:"next_token"`
	TicketFloor lwticket.Number                   `json:"ticket_floor"`
	Tickets     map[lwticket.Number]*TicketRecord `json:"tickets"`
	Objects     map[string]*ObjectRecord          `json:"objects"`
	Workers     map[lwunit.WorkerID]*Worker       `json:"workers"`
	Jobs        map[lwunit.JobID]*Job             `json:"jobs"`
	Tasks       map[lwunit.TaskID]*Task           `json:"tasks"`
	Claims      map[string]*Claim                 `json:"claims"`

	Backends        map[lwunit.BackendServerID]*BackendServer `json:"backends"`
	BackendRevision lwunit.Revision                           `json:"backend_revision"`
	PolicyRevision  lwunit.Revision                           `json:"policy_revision"`

	Queues lwjob.Contents `json:"queues"`
}

// State is the state after some revision. It is not safe for concurrent use.
type State struct {
	c      contents
	queues *lwjob.Table // its contents join c in a snapshot

	// Derived from contents, never stored.
	onWorker map[lwunit.WorkerID]map[lwunit.TaskID]*Task
	queued   map[lwunit.TaskID]*Task
	used     map[lwunit.WorkerID]lwunit.Resources
	teamUsed map[lwunit.TeamName]lwunit.Resources
	jobTasks map[lwunit.JobID][]lwunit.TaskID
	waiting  map[lwunit.JobID]map[lwunit.TaskID]*Task // queued tasks by job
	changed  map[lwunit.WorkerID]lwunit.Revision      // when a worker's tasks last changed
	serving  map[lwunit.WorkerID][]*BackendServer     // backend servers by worker
	sorted   []lwunit.WorkerID                        // all workers, in order

	deployment *lwticket.DeploymentSpec             // found last; nil after a ticket
	cacheMu    sync.Mutex                           // guards deployment and reserves, which readers fill
	reserves   map[lwunit.WorkerID]lwunit.Resources // of services, as asked for; emptied by what may change them
}

// New returns the empty state.
func New() *State {
	s := &State{queues: lwjob.NewTable(), c: contents{
		Version: Version, Tickets: make(map[lwticket.Number]*TicketRecord), Objects: make(map[string]*ObjectRecord),
		Workers: make(map[lwunit.WorkerID]*Worker), Jobs: make(map[lwunit.JobID]*Job), Tasks: make(map[lwunit.TaskID]*Task),
		Claims: make(map[string]*Claim), Backends: make(map[lwunit.BackendServerID]*BackendServer),
	}}
	s.index()
	return s
}

// Snapshot encodes the state; equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	c := s.c
	c.Queues = s.queues.Contents()
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Clone returns a copy for reading. It shares what is never changed in place.
func (s *State) Clone() *State {
	c := s.c
	c.Tickets = cloneMap(s.c.Tickets)
	c.Objects = cloneMap(s.c.Objects)
	c.Workers = cloneMap(s.c.Workers)
	c.Jobs = cloneMap(s.c.Jobs)
	c.Tasks = cloneMap(s.c.Tasks)
	c.Claims = cloneMap(s.c.Claims)
	c.Backends = cloneMap(s.c.Backends)
	return &State{c: c, queues: s.queues.Clone()}
}

func cloneMap[K comparable, V any](m map[K]*V) map[K]*V {
	values := make([]V, 0, len(m))
	out := make(map[K]*V, len(m))
	for k, v := range m {
		values = append(values, *v)
		out[k] = &values[len(values)-1]
	}
	return out
}

// Hash returns the SHA-256 of the snapshot in hexadecimal.
func (s *State) Hash() (string, error) {
	data, err := s.Snapshot()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Restore returns the state that a snapshot holds; an empty one is New.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s.c); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.c.Version != Version {
		return nil, lwfault.New(lwfault.Invalid, "the snapshot has version %d; this program reads %d", s.c.Version, Version)
	}
	s.queues = lwjob.Restore(s.c.Queues)
	s.index()
	return s, nil
}

func (s *State) index() {
	s.onWorker = make(map[lwunit.WorkerID]map[lwunit.TaskID]*Task)
	s.queued = make(map[lwunit.TaskID]*Task)
	s.used = make(map[lwunit.WorkerID]lwunit.Resources)
	s.teamUsed = make(map[lwunit.TeamName]lwunit.Resources)
	s.jobTasks = make(map[lwunit.JobID][]lwunit.TaskID)
	s.waiting = make(map[lwunit.JobID]map[lwunit.TaskID]*Task)
	s.changed = make(map[lwunit.WorkerID]lwunit.Revision)
	s.indexBackends()
	s.deployment = nil
	s.sorted = s.sorted[:0]
	for id := range s.c.Workers {
		s.sorted = append(s.sorted, id)
	}
	slices.Sort(s.sorted)
	for _, t := range s.c.Tasks {
		s.jobTasks[t.Job] = append(s.jobTasks[t.Job], t.ID)
		s.enter(t)
	}
	for id := range s.jobTasks {
		sort.Slice(s.jobTasks[id], func(i, j int) bool { return s.jobTasks[id][i] < s.jobTasks[id][j] })
	}
}

// indexBackends lists the backend servers of each worker. They change seldom.
func (s *State) indexBackends() {
	s.reserves = make(map[lwunit.WorkerID]lwunit.Resources)
	s.serving = make(map[lwunit.WorkerID][]*BackendServer)
	for _, b := range s.c.Backends {
		s.serving[b.Worker] = append(s.serving[b.Worker], b)
	}
	for _, list := range s.serving {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// enter adds t to the indexes of its phase; leave removes it. Every change of
// a task's phase, worker or reserve stands between leave and enter.
func (s *State) enter(t *Task) {
	switch {
	case t.Phase == TaskQueued:
		s.queued[t.ID] = t
		if s.waiting[t.Job] == nil {
			s.waiting[t.Job] = make(map[lwunit.TaskID]*Task)
		}
		s.waiting[t.Job][t.ID] = t
	case t.Phase.Held():
		if s.onWorker[t.Worker] == nil {
			s.onWorker[t.Worker] = make(map[lwunit.TaskID]*Task)
		}
		s.onWorker[t.Worker][t.ID] = t
		s.changed[t.Worker] = s.c.Revision
		s.used[t.Worker] = s.used[t.Worker].Add(t.Reserve)
		s.teamUsed[s.teamOf(t)] = s.teamUsed[s.teamOf(t)].Add(t.Reserve)
	}
}

func (s *State) leave(t *Task) {
	switch {
	case t.Phase == TaskQueued:
		delete(s.queued, t.ID)
		delete(s.waiting[t.Job], t.ID)
		if len(s.waiting[t.Job]) == 0 {
			delete(s.waiting, t.Job)
		}
	case t.Phase.Held():
		delete(s.onWorker[t.Worker], t.ID)
		s.changed[t.Worker] = s.c.Revision
		s.used[t.Worker] = s.used[t.Worker].Sub(t.Reserve)
		s.teamUsed[s.teamOf(t)] = s.teamUsed[s.teamOf(t)].Sub(t.Reserve)
	}
}

func (s *State) teamOf(t *Task) lwunit.TeamName {
	if j, ok := s.c.Jobs[t.Job]; ok {
		return j.Spec.Team
	}
	return ""
}

// Apply changes the state by the command at the given revision, proposed when
// the leader's clock read at.
func (s *State) Apply(rev lwunit.Revision, at lwunit.Millis, c Command) Result {
	s.c.Revision = rev
	s.advanceClock(at)
	if res, ok := s.applyQueue(c); ok {
		return res
	}
	switch c := c.(type) {
	case ApplyTicket:
		return s.applyTicket(c)
	case SubmitJob:
		return s.submitJob(c)
	case CancelJob:
		return s.cancelJob(c)
	case RejectJob:
		return s.rejectJob(c)
	case RegisterWorker:
		return s.registerWorker(c)
	case DrainWorker:
		return s.drainWorker(c)
	case SuspectWorker:
		return s.suspectWorker(c)
	case LoseWorker:
		return s.loseWorker(c)
	case PlaceTasks:
		return s.placeTasks(c)
	case ResizeTasks:
		return s.resizeTasks(c)
	case StopTasks:
		return s.stopTasks(c)
	case ReportTasks:
		return s.reportTasks(c)
	case AnnounceBackend:
		return s.announceBackend(c)
	case WithdrawBackend:
		return s.withdrawBackend(c)
	case BindClaim:
		return s.bindClaim(c)
	case CloseClaim:
		return s.closeClaim(c)
	case Sweep:
		return s.sweep()
	default:
		return Result{Err: lwfault.New(lwfault.Invalid, "unknown command")}
	}
}

// advanceClock moves the replicated clock. It never runs backwards, and a
// leader whose wall clock is far ahead cannot end every retention at once.
func (s *State) advanceClock(at lwunit.Millis) {
	if s.c.Clock == 0 {
		s.c.Clock = at
		return
	}
	s.c.Clock = max(s.c.Clock, min(at, s.c.Clock+maxClockStep))
}

// Revision returns the index of the last command applied.
func (s *State) Revision() lwunit.Revision { return s.c.Revision }

// SkipTo notes a log entry that carries no command.
func (s *State) SkipTo(rev lwunit.Revision) { s.c.Revision = rev }

// Clock returns the replicated clock.
func (s *State) Clock() lwunit.Millis { return s.c.Clock }

// PolicyRevision returns the revision at which an object last changed.
func (s *State) PolicyRevision() lwunit.Revision { return s.c.PolicyRevision }

// BackendRevision returns the revision at which a backend server last changed.
func (s *State) BackendRevision() lwunit.Revision { return s.c.BackendRevision }

// WorkerRevision returns the revision at which the tasks of a worker last
// changed, as far as this replica remembers.
func (s *State) WorkerRevision(id lwunit.WorkerID) lwunit.Revision { return s.changed[id] }
