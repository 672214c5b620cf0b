package lwjob

import (
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
)

// MaxCancellations is the largest number of recorded cancellations of jobs that are not
// known. Anyone can cancel ids that nobody submits.
const MaxCancellations = 20000

const cancellationRetryAfter = time.Second

// Cancellation records that a job was cancelled while its queue had no such job. The
// submission may still be on its way.
type Cancellation struct {
	Queue lwconfig.QueueKey `json:"queue"`
	Job   lwunit.JobID      `json:"job"`
	At    lwunit.Millis     `json:"at"`
}

type cancelledKey struct {
	queue lwconfig.QueueKey
	job   lwunit.JobID
}

func (x Cancellation) key() cancelledKey { return cancelledKey{x.Queue, x.Job} }

// CancelledBefore reports whether a cancellation is recorded of a job that was not known.
func (t *Table) CancelledBefore(queue lwconfig.QueueKey, id lwunit.JobID) bool {
	return t.cancelled[cancelledKey{queue, id}]
}

// Cancel cancels a job unless it has ended, and reports whether the queue has the job. If
// it has not, Cancel records the cancellation. It fails with kind Overloaded, without
// effect, if MaxCancellations are recorded. A zero queue stands for that of the job.
func (t *Table) Cancel(queue lwconfig.QueueKey, id lwunit.JobID, at lwunit.Millis) (known bool, err error) {
	j, anyQueue := t.contents.Jobs[id], queue == lwconfig.QueueKey{}
	if j != nil && (anyQueue || j.Spec.Queue == queue) {
		if !j.State.Final() {
			t.endJob(j, Cancelled, at)
		}
		return true, nil
	}
	if anyQueue || t.CancelledBefore(queue, id) {
		return false, nil
	}
	if err := t.CheckCancellations(); err != nil {
		return false, err
	}
	x := Cancellation{Queue: queue, Job: id, At: at}
	t.contents.Cancellations = append(t.contents.Cancellations, x)
	t.cancelled[x.key()] = true
	return false, nil
}

// CheckCancellations fails with kind Overloaded if no further cancellation can be recorded.
func (t *Table) CheckCancellations() error {
	if len(t.contents.Cancellations) < MaxCancellations {
		return nil
	}
	return &lwfault.Fault{Kind: lwfault.Overloaded, Detail: "too many cancellations of unknown jobs are recorded", RetryAfter: cancellationRetryAfter}
}

// Cancellations returns the recorded cancellations of jobs that were not known, the oldest
// first.
func (t *Table) Cancellations() []Cancellation { return t.contents.Cancellations }

func (t *Table) removeCancellations(before lwunit.Millis) {
	list := t.contents.Cancellations
	for len(list) > 0 && list[0].At < before {
		delete(t.cancelled, list[0].key())
		list = list[1:]
	}
	if len(list) == 0 {
		list = nil // as a restored replica has it
	}
	t.contents.Cancellations = list
}
