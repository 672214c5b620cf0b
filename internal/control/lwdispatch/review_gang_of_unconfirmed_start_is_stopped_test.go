package lwdispatch

import (
	"testing"
)

// Guards against a gang whose members wait for one that has not begun on the next incarnation.
func TestGangOfUnconfirmedStartIsStopped(t *testing.T) {
	f := newFixture(t)
	f.join(workerInfo("w1", 1))
	f.join(workerInfo("w2", 1))
	step := tasks(2, 1, testEstimate)
	step.Gang = true
	f.submit("j", step)
	if n := len(f.takeStarts("w1")); n != 1 {
		t.Fatalf("%d starts on w1, want 1", n)
	}
	f.startAll("w2")
	f.restart("w1")
	f.report("w1")
	for _, o := range f.pendingOrders["w2"] {
		if _, ok := o.(StopRun); ok {
			return
		}
	}
	t.Errorf("the other member is not stopped: orders %v", f.pendingOrders["w2"])
}
