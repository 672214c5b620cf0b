package lwstate

import (
	"slices"
	"sort"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

func (s *State) registerWorker(c RegisterWorker) Result {
	if c.Spec.ID == "" || c.Spec.Capacity.Negative() {
		return Result{Err: lwfault.New(lwfault.Invalid, "worker: id is required and capacity must not be negative")}
	}
	w, ok := s.c.Workers[c.Spec.ID]
	if !ok {
		w = &Worker{}
		s.c.Workers[c.Spec.ID] = w
		at, _ := slices.BinarySearch(s.workerIDs, c.Spec.ID)
		s.workerIDs = slices.Insert(s.workerIDs, at, c.Spec.ID)
	}
	if ok && w.Spec != c.Spec {
		s.c.BackendRevision = s.c.Revision // entries receive worker addresses together with the backend servers
	}
	if w.Incarnation != c.Incarnation {
		s.dropBackends(c.Spec.ID)
	}
	delete(s.cachedReserves, c.Spec.ID)
	w.Spec, w.Incarnation, w.Lost = c.Spec, c.Incarnation, false
	w.Registered = s.c.Revision
	return Result{}
}

func (s *State) drainWorker(c DrainWorker) Result {
	w, ok := s.c.Workers[c.Worker]
	if !ok {
		return Result{Err: lwfault.New(lwfault.NotFound, "worker %s does not exist", c.Worker)}
	}
	w.Drain = c.Drain
	return Result{}
}

func (s *State) suspectWorker(c SuspectWorker) Result {
	w, ok := s.c.Workers[c.Worker]
	if !ok {
		return Result{Err: lwfault.New(lwfault.NotFound, "worker %s does not exist", c.Worker)}
	}
	w.Suspect = c.Reason
	return Result{}
}

// loseWorker ends every attempt on a worker whose leases have expired.
func (s *State) loseWorker(c LoseWorker) Result {
	w, ok := s.c.Workers[c.Worker]
	if !ok || w.Lost || w.Registered != c.Registered {
		return Result{}
	}
	w.Lost = true
	s.dropBackends(c.Worker)
	for _, task := range s.TasksOnWorker(c.Worker) {
		t := s.c.Tasks[task.ID]
		if t.Stop == StopEvict {
			t.Stop = "" // the stop was not confirmed, so the attempt counts as lost, not as evicted
		}
		if i := slices.IndexFunc(c.Lost, func(x LostAttempt) bool { return x.Task == t.ID }); i >= 0 {
			s.recordLoss(t, c.Lost[i])
			continue
		}
		s.recordStop(t)
	}
	return Result{}
}

// dropBackends removes the backend servers of a worker.
func (s *State) dropBackends(w lwunit.WorkerID) {
	for _, b := range s.backendsByWorker[w] {
		delete(s.c.Backends, b.ID)
		s.c.BackendRevision = s.c.Revision
	}
	delete(s.backendsByWorker, w)
	delete(s.cachedReserves, w)
}

func (s *State) announceBackend(c AnnounceBackend) Result {
	w, ok := s.c.Workers[c.Server.Worker]
	if !ok || w.Incarnation != c.Server.Incarnation {
		return Result{Err: lwfault.New(lwfault.Fenced, "worker %s is not registered with this agent incarnation", c.Server.Worker)}
	}
	if existing, ok := s.c.Backends[c.Server.ID]; ok && *existing == c.Server {
		return Result{}
	}
	b := c.Server
	s.c.Backends[b.ID] = &b
	s.c.BackendRevision = s.c.Revision
	s.buildBackendIndex()
	return Result{}
}

func (s *State) withdrawBackend(c WithdrawBackend) Result {
	b, ok := s.c.Backends[c.ID]
	if !ok || b.Incarnation != c.Incarnation {
		return Result{}
	}
	delete(s.c.Backends, c.ID)
	s.c.BackendRevision = s.c.Revision
	s.buildBackendIndex()
	return Result{}
}

// Free returns the unallocated resources of a worker: its capacity minus what
// tasks hold, including those whose stop is not confirmed yet, and minus
// ServiceReserve.
func (s *State) Free(id lwunit.WorkerID) lwunit.Resources {
	w, ok := s.c.Workers[id]
	if !ok {
		return lwunit.Resources{}
	}
	return w.Spec.Capacity.Sub(s.usedByWorker[id]).Sub(s.ServiceReserve(id))
}

// ServiceReserve returns the resources to keep free on a worker: the reserves of
// the services of its backend servers, once per backend server.
func (s *State) ServiceReserve(id lwunit.WorkerID) lwunit.Resources {
	s.cacheMu.Lock()
	defer s.cacheMu.Unlock()
	sum, ok := s.cachedReserves[id]
	if ok {
		return sum
	}
	for _, b := range s.backendsByWorker[id] {
		if spec, ok := s.Service(s.c.Workers[id].Spec.Region, b.Service); ok {
			sum = sum.Add(spec.Reserve)
		}
	}
	s.cachedReserves[id] = sum
	return sum
}

// Worker returns the worker with the given ID.
func (s *State) Worker(id lwunit.WorkerID) (Worker, bool) {
	w, ok := s.c.Workers[id]
	if !ok {
		return Worker{}, false
	}
	return *w, true
}

// Workers returns all workers, sorted by ID.
func (s *State) Workers() []Worker {
	list := make([]Worker, 0, len(s.workerIDs))
	for _, id := range s.workerIDs {
		list = append(list, *s.c.Workers[id])
	}
	return list
}

// EachBackendOn calls f for each backend server of a worker, in the order of
// their IDs.
func (s *State) EachBackendOn(id lwunit.WorkerID, f func(BackendServer)) {
	for _, b := range s.backendsByWorker[id] {
		f(*b)
	}
}

// HasBackend reports whether a backend server is announced on a worker.
func (s *State) HasBackend(id lwunit.WorkerID) bool { return len(s.backendsByWorker[id]) > 0 }

// EachWorker calls f for each worker, in the order of their IDs. f must not change
// the worker.
func (s *State) EachWorker(f func(*Worker)) {
	for _, id := range s.workerIDs {
		f(s.c.Workers[id])
	}
}

// Backends returns all backend servers, sorted by ID.
func (s *State) Backends() []BackendServer {
	list := make([]BackendServer, 0, len(s.c.Backends))
	for _, b := range s.c.Backends {
		list = append(list, *b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
