package lwcontrol

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// newQueueNode returns the node of a group of one replica that leads, with the
// queues /a/ and /b/.
func newQueueNode(t *testing.T) (*Node, *replica, *lwdisk.Memory) {
	t.Helper()
	is := is.New(t)
	disk := lwdisk.NewMemory()
	r := newSoleVoter(t, disk)
	n := &Node{log: zap.NewNop(), decisionLog: lwlog.NewRateLimitedLogger(zap.NewNop(), decisionsPerSecond), cfg: Config{Dispatch: lwdispatch.DefaultConfig()}}
	n.dispatcher = newDispatcher(n)
	r.onApply = n.dispatcher.onApplied
	runReplica(t, r)
	eventually(t, "the replica leads", func() bool {
		if n.dispatcher.lockAsLeader(r) != nil {
			return false
		}
		n.dispatcher.mu.Unlock()
		return true
	})
	doc := lwconfig.Document{Version: 1}
	for _, prefix := range []string{"/a/", "/b/"} {
		doc.Queues = append(doc.Queues, lwconfig.Queue{Key: lwconfig.QueueKey{Host: "h", Prefix: prefix}})
	}
	_, res, err := r.propose(t.Context(), lwstate.Configure{Document: doc})
	is.NoErr(errors.Join(err, res.Err))
	return n, r, disk
}

func submitTestJob(t *testing.T, n *Node, r *replica, path string) error {
	t.Helper()
	spec := lwjob.Spec{Text: path, Steps: []lwjob.Step{{Count: 1}}}
	_, err := n.submitQueueJob(t.Context(), r, nil, lwlink.SubmitQueueJob{Target: lwlink.RequestTarget{Host: "h", Path: path}, Spec: spec})
	return err
}

// Callers choose the ids of jobs for each queue. A job whose id is taken in another
// queue is not stored and must not be answered as accepted.
func TestJobIDTakenInAnotherQueue(t *testing.T) {
	is := is.New(t)
	n, r, _ := newQueueNode(t)
	is.NoErr(submitTestJob(t, n, r, "/a/j"))
	is.Equal(lwfault.KindOf(submitTestJob(t, n, r, "/b/j")), lwfault.Conflict)
	is.NoErr(submitTestJob(t, n, r, "/a/j")) // a resend
	is.NoErr(submitTestJob(t, n, r, "/b/k"))
}

// Two submissions with the same id are admitted before either is committed. The
// commit that comes second must be refused, unless it is a resend.
func TestSubmissionsOfJobIDRace(t *testing.T) {
	cases := []struct {
		name, first, second string
		accepted            int
	}{{"in two queues", "/a/j", "/b/j", 1}, {"in the same queue", "/a/j", "/a/j", 2}}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			n, r, disk := newQueueNode(t)
			stopped, resume := make(chan struct{}), make(chan struct{})
			var once sync.Once
			disk.SetFault(func(int, string, string) lwdisk.Fault {
				once.Do(func() { close(stopped) })
				<-resume
				return lwdisk.Fault{}
			})
			type answer struct {
				path string
				err  error
			}
			answers := make(chan answer, 2)
			submit := func(path string) { answers <- answer{path, submitTestJob(t, n, r, path)} }
			go submit(x.first)
			<-stopped
			go submit(x.second)
			eventually(t, "the second submission is proposed", func() bool { return len(r.events) == 1 })
			close(resume)
			accepted := 0
			for range 2 {
				a := <-answers
				if a.err != nil {
					is.Equal(lwfault.KindOf(a.err), lwfault.Conflict)
					continue
				}
				accepted++
				r.read(func(s *lwstate.State) { is.Equal(s.Queues().Job("j").Spec.Text, a.path) })
			}
			is.Equal(accepted, x.accepted)
		})
	}
}

// Guards against a job that runs although its only submission was answered that there is no such
// queue: its first attempt was carried out, and the queue removed before the second one.
func TestRepeatedSubmissionAfterQueueIsRemoved(t *testing.T) {
	is := is.New(t)
	n, r, _ := newQueueNode(t)
	is.NoErr(submitTestJob(t, n, r, "/a/j"))
	_, res, err := r.propose(t.Context(), lwstate.Configure{Document: lwconfig.Document{Version: 2, Queues: []lwconfig.Queue{{Key: lwconfig.QueueKey{Host: "h", Prefix: "/b/"}}}}})
	is.NoErr(errors.Join(err, res.Err))
	submit := func(host, path string, repeated bool) error {
		_, err := n.submitQueueJob(t.Context(), r, nil, lwlink.SubmitQueueJob{
			Target: lwlink.RequestTarget{Host: host, Path: path}, Spec: lwjob.Spec{Steps: []lwjob.Step{{Count: 1}}}, Repeated: repeated,
		})
		return err
	}
	is.NoErr(submit("h", "/a/j", true))
	is.Equal(lwfault.KindOf(submit("h", "/a/j", false)), lwfault.NotFound) // a new request for a removed queue
	is.Equal(lwfault.KindOf(submit("h", "/a/k", true)), lwfault.NotFound)
	is.Equal(lwfault.KindOf(submit("g", "/a/j", true)), lwfault.NotFound)
}

// Guards against a job that runs although one of its attempts was refused for good: another one was
// in progress then.
func TestRefusalBesideAnotherAttempt(t *testing.T) {
	is := is.New(t)
	n, r, disk := newQueueNode(t)
	stopped, resume := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(resume) })
	t.Cleanup(release)
	var once sync.Once
	disk.SetFault(func(int, string, string) lwdisk.Fault {
		once.Do(func() { close(stopped) })
		<-resume
		return lwdisk.Fault{}
	})
	first := make(chan error, 1)
	go func() { first <- submitTestJob(t, n, r, "/a/j") }()
	<-stopped
	r.diskLow.Store(true)
	is.Equal(lwfault.KindOf(submitTestJob(t, n, r, "/a/j")), lwfault.Unknown)
	is.Equal(lwfault.KindOf(submitTestJob(t, n, r, "/a/k")), lwfault.Overloaded)
	release()
	is.NoErr(<-first)
	is.NoErr(submitTestJob(t, n, r, "/a/j"))
	carriedOutSince := &lwfault.Fault{Kind: lwfault.Overloaded}
	is.NoErr(n.refuseJob(r, lwlink.RequestTarget{Host: "h", Path: "/a/j"}, carriedOutSince))
}

func cancelTestJob(t *testing.T, n *Node, r *replica, path string) error {
	t.Helper()
	_, err := n.cancelQueueJob(t.Context(), r, nil, lwlink.RequestTarget{Host: "h", Path: path})
	return err
}

// Guards against a cancelled job that runs because its submission arrives after the cancellation,
// from an entry that was frozen or cut off.
func TestSubmissionAfterCancellation(t *testing.T) {
	expired := func(err error) bool { return lwfault.KindOf(err) == lwfault.Expired }
	t.Run("is refused, also when it is sent again", func(t *testing.T) {
		is := is.New(t)
		n, r, _ := newQueueNode(t)
		is.True(expired(cancelTestJob(t, n, r, "/a/j")))
		is.True(expired(submitTestJob(t, n, r, "/a/j")))
		is.True(expired(submitTestJob(t, n, r, "/a/j")))
		is.True(expired(cancelTestJob(t, n, r, "/a/j")))
		_, err := n.showQueueJob(t.Context(), r, nil, lwlink.RequestTarget{Host: "h", Path: "/a/j"})
		is.True(expired(err)) // no job that was never accepted is shown
	})
	t.Run("to another queue is accepted", func(t *testing.T) {
		is := is.New(t)
		n, r, _ := newQueueNode(t)
		is.True(expired(cancelTestJob(t, n, r, "/a/j")))
		is.NoErr(submitTestJob(t, n, r, "/b/j"))
		is.True(expired(cancelTestJob(t, n, r, "/a/j")))
		r.read(func(s *lwstate.State) { is.Equal(s.Queues().Job("j").State, lwjob.Queued) })
	})
	t.Run("that was proposed before the cancellation is cancelled", func(t *testing.T) {
		is := is.New(t)
		n, r, disk := newQueueNode(t)
		stopped, resume := make(chan struct{}), make(chan struct{})
		var once sync.Once
		disk.SetFault(func(int, string, string) lwdisk.Fault {
			once.Do(func() { close(stopped) })
			<-resume
			return lwdisk.Fault{}
		})
		submitted, cancelled := make(chan error, 1), make(chan error, 1)
		go func() { submitted <- submitTestJob(t, n, r, "/a/j") }()
		<-stopped
		go func() { cancelled <- cancelTestJob(t, n, r, "/a/j") }()
		select {
		case err := <-cancelled: // acknowledged without a commit
			cancelled <- err
		case <-time.After(50 * time.Millisecond):
		}
		close(resume)
		is.NoErr(<-submitted)
		if err := <-cancelled; err != nil {
			is.True(expired(err))
		}
		r.read(func(s *lwstate.State) { is.Equal(s.Queues().Job("j").State, lwjob.Cancelled) })
	})
}

// Guards against memory and a log that grow with each cancellation of a job that nobody submits.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	is := is.New(t)
	n, r, _ := newQueueNode(t)
	revision := func() (rev lwunit.Revision) {
		r.read(func(s *lwstate.State) { rev = s.Revision() })
		return rev
	}
	r.mu.Lock()
	for i := range lwjob.MaxCancellations - 1 {
		_, _ = r.state.Queues().Cancel(lwconfig.QueueKey{Host: "h", Prefix: "/a/"}, lwunit.JobID(fmt.Sprint(i)), 1)
	}
	r.mu.Unlock()
	is.Equal(lwfault.KindOf(cancelTestJob(t, n, r, "/a/j")), lwfault.Expired)
	once := revision()
	for _, path := range []string{"/a/j", "/a/", "/a/x.y", "/a/" + strings.Repeat("x", 1<<16)} {
		is.Equal(lwfault.KindOf(cancelTestJob(t, n, r, path)), lwfault.Expired)
	}
	is.Equal(revision(), once) // neither a second cancellation nor one of an impossible id is recorded
	is.Equal(lwfault.KindOf(cancelTestJob(t, n, r, "/a/k")), lwfault.Overloaded)
	is.Equal(revision(), once)
	is.NoErr(submitTestJob(t, n, r, "/a/k"))
	is.NoErr(cancelTestJob(t, n, r, "/a/k")) // a job that is known is cancelled all the same
	n.dispatcher.mu.Lock()
	n.dispatcher.jobsRemovedAt = -jobRemovalInterval
	n.dispatcher.removeEndedJobs(t.Context(), r)
	n.dispatcher.mu.Unlock()
	eventually(t, "old cancellations are removed", func() bool { return lwfault.KindOf(cancelTestJob(t, n, r, "/a/l")) == lwfault.Expired })
}
