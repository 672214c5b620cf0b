package lwrunner

import (
	"errors"
	"testing"
	"time"
)

// Guards against a start that is sent to the next incarnation with the same id because an answer
// of the ended one arrives after a call has found the connection broken.
func TestEarlierAnswerDoesNotShowThatWorkerIsTheSame(t *testing.T) {
	withRunner(t, func(t *testing.T, r *Runner, w *fakeWorker, _ *fakeLeader) {
		c := Call{testIncarnation, testToken}
		sentAt := r.clock.Now()
		time.Sleep(time.Millisecond)
		lists := RunLists{Clock: w.clock() + 1, StartedAt: testIncarnation.StartedAt}
		time.Sleep(time.Millisecond)
		r.noteAnswer(c, errors.New("connection reset"))
		if _, ok := r.leaseForStart(c); ok {
			t.Fatal("a start is sent after a broken connection")
		}
		r.applyLists(c, lists, sentAt)
		if _, ok := r.leaseForStart(c); ok {
			t.Error("a start is sent after an answer to a poll that was sent before the connection broke")
		}
	})
}
