package lwstate

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

const (
	// retainedTickets is the least number of ticket records kept for answering
	// repeated tickets. Once records have been removed, a ticket without a record
	// is refused unless its number is higher than all removed ones.
	retainedTickets     = 20000
	defaultJobRetention = 7 * 24 * time.Hour
	taskRetention       = time.Hour                                   // how long the tasks of a finished job are kept, from its end
	maxClockStep        = lwunit.Millis(time.Hour / time.Millisecond) // largest advance of the replicated clock per log entry
	maxKeyClockSkew     = 5 * time.Minute                             // how far the time in a key may be ahead of the replicated clock
)

// contents is everything that a snapshot holds.
type contents struct {
	Version     int                               `json:"version"`
	Revision    lwunit.Revision                   `json:"revision"`
	Clock       lwunit.Millis                     `json:"clock"`
	LastToken   lwunit.FencingToken               `json:"next_token"`
	TicketFloor lwticket.Number                   `json:"ticket_floor"`
	Tickets     map[lwticket.Number]*TicketRecord `json:"tickets"`
	Objects     map[string]*ObjectRecord          `json:"objects"`
	Workers     map[lwunit.WorkerID]*Worker       `json:"workers"`
	Jobs        map[lwunit.JobID]*Job             `json:"jobs"`
	Tasks       map[lwunit.TaskID]*Task           `json:"tasks"`
	Claims      map[string]*Claim                 `json:"claims"`
	ClaimFloors map[string]lwunit.Millis          `json:"claim_floors,omitempty"` // per team and service, the highest Created of the removed claims

	Backends        map[lwunit.BackendServerID]*BackendServer `json:"backends"`
	BackendRevision lwunit.Revision                           `json:"backend_revision"`
	PolicyRevision  lwunit.Revision                           `json:"policy_revision"`

	Queues lwjob.Contents `json:"queues"`

	Evacuations lwevacuation.Table `json:"evacuations,omitempty"`
}

// State is the state after some revision. Concurrent reads are safe; a change
// needs exclusive access.
type State struct {
	c      contents
	queues *lwjob.Table // Snapshot encodes it as contents.Queues; c.Queues is not kept up to date

	// Indexes derived from c, not stored.
	tasksByWorker    map[lwunit.WorkerID]map[lwunit.TaskID]*Task
	queuedTasks      map[lwunit.TaskID]*Task
	usedByWorker     map[lwunit.WorkerID]lwunit.Resources
	usedByTeam       map[lwunit.TeamName]lwunit.Resources
	taskIDsByJob     map[lwunit.JobID][]lwunit.TaskID
	queuedByJob      map[lwunit.JobID]map[lwunit.TaskID]*Task // queued tasks
	workerRevisions  map[lwunit.WorkerID]lwunit.Revision      // revision at which the tasks of a worker last changed
	backendsByWorker map[lwunit.WorkerID][]*BackendServer     // sorted by ID
	workerIDs        []lwunit.WorkerID                        // all workers, sorted

	cachedDeployment *lwticket.DeploymentSpec             // result of Deployment; nil after a ticket changed an object
	cacheMu          sync.Mutex                           // guards cachedDeployment and cachedReserves, which readers fill
	cachedReserves   map[lwunit.WorkerID]lwunit.Resources // results of ServiceReserve; cleared by changes that may affect them
}

// New returns an empty state.
func New() *State {
	s := &State{queues: lwjob.NewTable(), c: contents{
		Version: Version, Tickets: make(map[lwticket.Number]*TicketRecord), Objects: make(map[string]*ObjectRecord),
		Workers: make(map[lwunit.WorkerID]*Worker), Jobs: make(map[lwunit.JobID]*Job), Tasks: make(map[lwunit.TaskID]*Task),
		Claims: make(map[string]*Claim), ClaimFloors: make(map[string]lwunit.Millis), Backends: make(map[lwunit.BackendServerID]*BackendServer),
		Evacuations: make(lwevacuation.Table),
	}}
	s.buildIndexes()
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

// Clone returns a copy that can be encoded while s changes. It shares values that
// are never modified in place and has no indexes, so it serves only Snapshot and
// Hash.
func (s *State) Clone() *State {
	c := s.c
	c.Tickets = cloneMap(s.c.Tickets)
	c.Objects = cloneMap(s.c.Objects)
	c.Workers = cloneMap(s.c.Workers)
	c.Jobs = cloneMap(s.c.Jobs)
	c.Tasks = cloneMap(s.c.Tasks)
	c.Claims = cloneMap(s.c.Claims)
	c.ClaimFloors = maps.Clone(s.c.ClaimFloors)
	c.Backends = cloneMap(s.c.Backends)
	c.Evacuations = s.c.Evacuations.Clone()
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

// Restore returns the state that a snapshot holds. Empty data gives an empty state.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s.c); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.c.Version != Version {
		return nil, lwfault.New(lwfault.Invalid, "the snapshot has format version %d; this program reads version %d", s.c.Version, Version)
	}
	s.queues = lwjob.Restore(s.c.Queues)
	s.buildIndexes()
	return s, nil
}

// buildIndexes derives the indexes from the contents.
func (s *State) buildIndexes() {
	s.tasksByWorker = make(map[lwunit.WorkerID]map[lwunit.TaskID]*Task)
	s.queuedTasks = make(map[lwunit.TaskID]*Task)
	s.usedByWorker = make(map[lwunit.WorkerID]lwunit.Resources)
	s.usedByTeam = make(map[lwunit.TeamName]lwunit.Resources)
	s.taskIDsByJob = make(map[lwunit.JobID][]lwunit.TaskID)
	s.queuedByJob = make(map[lwunit.JobID]map[lwunit.TaskID]*Task)
	s.workerRevisions = make(map[lwunit.WorkerID]lwunit.Revision)
	s.buildBackendIndex()
	s.cachedDeployment = nil
	s.workerIDs = s.workerIDs[:0]
	for id := range s.c.Workers {
		s.workerIDs = append(s.workerIDs, id)
	}
	slices.Sort(s.workerIDs)
	for _, t := range s.c.Tasks {
		s.taskIDsByJob[t.Job] = append(s.taskIDsByJob[t.Job], t.ID)
		s.addToIndexes(t)
	}
	for _, ids := range s.taskIDsByJob {
		slices.SortFunc(ids, compareTaskIDs)
	}
}

// compareTaskIDs orders the tasks of one job by their numbers, the order in which
// submitJob lists them.
func compareTaskIDs(a, b lwunit.TaskID) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// buildBackendIndex lists the backend servers of each worker. It rebuilds the
// whole index, because backend servers change rarely.
func (s *State) buildBackendIndex() {
	s.cachedReserves = make(map[lwunit.WorkerID]lwunit.Resources)
	s.backendsByWorker = make(map[lwunit.WorkerID][]*BackendServer)
	for _, b := range s.c.Backends {
		s.backendsByWorker[b.Worker] = append(s.backendsByWorker[b.Worker], b)
	}
	for _, list := range s.backendsByWorker {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// addToIndexes adds t to the indexes for its phase. To change a task's phase, worker
// or reserve, call removeFromIndexes before and addToIndexes after. A change from
// placed to running needs neither, as both phases are in the same indexes.
func (s *State) addToIndexes(t *Task) {
	switch {
	case t.Phase == TaskQueued:
		s.queuedTasks[t.ID] = t
		if s.queuedByJob[t.Job] == nil {
			s.queuedByJob[t.Job] = make(map[lwunit.TaskID]*Task)
		}
		s.queuedByJob[t.Job][t.ID] = t
	case t.Phase.HoldsResources():
		if s.tasksByWorker[t.Worker] == nil {
			s.tasksByWorker[t.Worker] = make(map[lwunit.TaskID]*Task)
		}
		s.tasksByWorker[t.Worker][t.ID] = t
		s.workerRevisions[t.Worker] = s.c.Revision
		s.usedByWorker[t.Worker] = s.usedByWorker[t.Worker].Add(t.Reserve)
		s.usedByTeam[s.teamOf(t)] = s.usedByTeam[s.teamOf(t)].Add(t.Reserve)
	}
}

// removeFromIndexes removes t from the indexes for its phase.
func (s *State) removeFromIndexes(t *Task) {
	switch {
	case t.Phase == TaskQueued:
		delete(s.queuedTasks, t.ID)
		delete(s.queuedByJob[t.Job], t.ID)
		if len(s.queuedByJob[t.Job]) == 0 {
			delete(s.queuedByJob, t.Job)
		}
	case t.Phase.HoldsResources():
		delete(s.tasksByWorker[t.Worker], t.ID)
		s.workerRevisions[t.Worker] = s.c.Revision
		s.usedByWorker[t.Worker] = s.usedByWorker[t.Worker].Sub(t.Reserve)
		s.usedByTeam[s.teamOf(t)] = s.usedByTeam[s.teamOf(t)].Sub(t.Reserve)
	}
}

func (s *State) teamOf(t *Task) lwunit.TeamName {
	if j, ok := s.c.Jobs[t.Job]; ok {
		return j.Spec.Team
	}
	return ""
}

// Apply applies the command at the given revision; at is the time of the leader's
// clock when it proposed the command.
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
	case SetEvacuation:
		return s.setEvacuation(c)
	case Sweep:
		return s.sweep()
	default:
		return Result{Err: lwfault.New(lwfault.Invalid, "unknown command")}
	}
}

// advanceClock moves the replicated clock. It never moves backwards, and at most
// maxClockStep forwards at a time, so that a leader whose wall clock is far ahead
// cannot end every retention at once.
func (s *State) advanceClock(at lwunit.Millis) {
	if s.c.Clock == 0 {
		s.c.Clock = at
		return
	}
	s.c.Clock = max(s.c.Clock, min(at, s.c.Clock+maxClockStep))
}

// Revision returns the index of the last log entry applied.
func (s *State) Revision() lwunit.Revision { return s.c.Revision }

// SetRevision sets the revision without applying a command: to that of a log entry
// that carries none, or to that of a restored snapshot.
func (s *State) SetRevision(rev lwunit.Revision) { s.c.Revision = rev }

// Clock returns the time of the replicated clock.
func (s *State) Clock() lwunit.Millis { return s.c.Clock }

// PolicyRevision returns the revision at which an object last changed.
func (s *State) PolicyRevision() lwunit.Revision { return s.c.PolicyRevision }

// BackendRevision returns the revision at which a backend server, the spec of a
// worker or the evacuated failure domains last changed.
func (s *State) BackendRevision() lwunit.Revision { return s.c.BackendRevision }

// WorkerRevision returns the revision at which a task on the worker was last
// placed, resized, told to stop or ended. It is not part of a snapshot: a restore
// sets it to the snapshot's revision if tasks hold resources on the worker, and
// otherwise to 0.
func (s *State) WorkerRevision(id lwunit.WorkerID) lwunit.Revision { return s.workerRevisions[id] }
