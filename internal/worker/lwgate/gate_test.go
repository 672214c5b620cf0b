package lwgate_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/worker/lwgate"
)

func acquire(is *is.I, g *lwgate.Gate, timeLeft time.Duration) *lwgate.Slot {
	is.Helper()
	s, err := g.Acquire(context.Background(), time.Now().Add(timeLeft))
	is.NoErr(err)
	return s
}

func expectRefusal(is *is.I, g *lwgate.Gate, timeLeft time.Duration, k lwfault.Kind) *lwfault.Fault {
	is.Helper()
	_, err := g.Acquire(context.Background(), time.Now().Add(timeLeft))
	is.True(err != nil)
	is.Equal(lwfault.KindOf(err), k)
	return lwfault.As(err)
}

func TestSlotsAndQueueAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 2, Queue: 1})
		a := acquire(check, g, time.Minute)
		acquire(check, g, time.Minute)
		var third *lwgate.Slot
		go func() { third = acquire(is.New(t), g, time.Minute) }()
		synctest.Wait()
		f := expectRefusal(check, g, time.Minute, lwfault.Overloaded)
		check.True(f.RetryAfter > 0)
		a.Release()
		synctest.Wait()
		check.True(third != nil)
		check.Equal(g.Load(), lwgate.Load{Busy: 2, Queued: 0, Slots: 2})
	})
}

func TestNearestDeadlineIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := acquire(check, g, time.Minute)
		var mu sync.Mutex
		var order []time.Duration
		for _, timeLeft := range []time.Duration{30 * time.Second, 10 * time.Second, 20 * time.Second} {
			go func() {
				s := acquire(is.New(t), g, timeLeft)
				mu.Lock()
				order = append(order, timeLeft)
				mu.Unlock()
				s.Release()
			}()
		}
		synctest.Wait()
		held.Release()
		synctest.Wait()
		check.Equal(order, []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second})
	})
}

func TestDeadlineInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := acquire(is, g, time.Minute)
		began := time.Now()
		expectRefusal(is, g, time.Second, lwfault.Timeout)
		is.Equal(time.Since(began), time.Second)
		held.Release()
		acquire(is, g, time.Second) // the expired request holds no slot
	})
}

func TestRefusesRequestThatWouldWaitPastItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		first := acquire(is, g, time.Minute)
		time.Sleep(10 * time.Second) // the measured service time is 10 s
		first.Release()
		acquire(is, g, time.Minute)
		began := time.Now()
		expectRefusal(is, g, 2*time.Second, lwfault.Overloaded)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

func TestDrainFinishesAdmittedAndQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := acquire(check, g, time.Minute)
		done := make(chan struct{})
		go func() { acquire(is.New(t), g, time.Minute).Release(); close(done) }()
		synctest.Wait()
		idle := g.Drain()
		expectRefusal(check, g, time.Minute, lwfault.Unavailable)
		select {
		case <-idle:
			t.Fatal("the draining gate is idle with a request in flight")
		default:
		}
		held.Release()
		<-done
		<-idle
	})
}

func TestLowerLimitKeepsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 3})
		slots := []*lwgate.Slot{acquire(is, g, time.Minute), acquire(is, g, time.Minute), acquire(is, g, time.Minute)}
		g.SetLimits(lwgate.Limits{Slots: 1})
		expectRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[0].Release()
		slots[0].Release() // a second call frees nothing
		expectRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[1].Release()
		expectRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[2].Release()
		acquire(is, g, time.Minute)
	})
}
