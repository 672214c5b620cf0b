package lwcontrol

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// domains returns the failure domains as operators list them.
func domains(is *is.I, s *lwstate.State) []lwlink.DomainStatus {
	is.Helper()
	reply, err := answerQuery(s, lwlink.Query{Kind: lwlink.QueryDomains})
	is.NoErr(err)
	return reply.Domains
}

func TestDomainsAreListed(t *testing.T) {
	t.Run("with what is on their workers", func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		spec := lwstate.JobSpec{ID: "j", Team: "t", Program: "p", Tasks: 1, Needs: lwunit.Resources{Millicores: 1000, Memory: 1}}
		applyNext(is, s, lwstate.SubmitJob{Spec: spec})
		applyNext(is, s, lwstate.PlaceTasks{Placements: []lwstate.Placement{{Task: "j/0", Worker: "wa", Reserve: spec.Needs}}})
		applyNext(is, s, setEvacuation(s, "b", true))
		is.Equal(domains(is, s), []lwlink.DomainStatus{
			{Name: "a", Workers: 1, Backends: 1, Tasks: 1},
			{Name: "b", Workers: 1, Backends: 1, Record: s.Evacuations()["b"]},
			{Name: "c", Workers: 1},
		})
		is.True(s.Evacuations()["b"].Evacuated)
	})
	t.Run("also without workers while they are evacuated", func(t *testing.T) {
		is := is.New(t)
		s := newDomainState(is)
		applyNext(is, s, setEvacuation(s, "c", true))
		applyNext(is, s, lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "wc", Domain: "a"}, Incarnation: "i2"})
		list := domains(is, s)
		is.Equal(len(list), 3)
		is.Equal(list[2], lwlink.DomainStatus{Name: "c", Record: s.Evacuations()["c"]})
	})
}

// Which domains exist is not in the settings of a deployment of the project: it follows
// from the workers.
func TestDomainsOfWorkersMayBeEvacuated(t *testing.T) {
	newNode := func(t *testing.T) *Node {
		t.Helper()
		n := leadingEvacuationNode(t, zap.NewNop())
		n.cfg.Evacuations = Evacuations{Agreed: true, OfWorkers: true}
		_, err := n.commit(t.Context(), n.replica, lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w", Domain: "a"}, Incarnation: "i"})
		is.New(t).NoErr(err)
		return n
	}
	t.Run("a domain with a worker", func(t *testing.T) {
		is := is.New(t)
		n := newNode(t)
		is.True(setDomain(t, n, "a", true).Evacuated)
		is.True(!setDomain(t, n, "a", false).Evacuated)
	})
	t.Run("a domain without workers is not found", func(t *testing.T) {
		is := is.New(t)
		n := newNode(t)
		_, err := n.evacuation(t.Context(), n.replica, nil, "b")
		is.Equal(lwfault.KindOf(err), lwfault.NotFound)
	})
	t.Run("an evacuated domain whose worker has moved can be restored", func(t *testing.T) {
		is := is.New(t)
		n := newNode(t)
		setDomain(t, n, "a", true)
		_, err := n.commit(t.Context(), n.replica, lwstate.RegisterWorker{Spec: lwstate.WorkerSpec{ID: "w", Domain: "b"}, Incarnation: "i"})
		is.NoErr(err)
		is.True(!setDomain(t, n, "a", false).Evacuated)
	})
}
