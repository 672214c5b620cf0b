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

func enter(is *is.I, g *lwgate.Gate, left time.Duration) *lwgate.Slot {
	is.Helper()
	s, err := g.Enter(context.Background(), time.Now().Add(left))
	is.NoErr(err)
	return s
}

func wantRefusal(is *is.I, g *lwgate.Gate, left time.Duration, k lwfault.Kind) *lwfault.Fault {
	is.Helper()
	_, err := g.Enter(context.Background(), time.Now().Add(left))
	is.True(err != nil)
	is.Equal(lwfault.KindOf(err), k)
	return lwfault.As(err)
}

func TestSlotsAndQueueHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 2, Queue: 1})
		a := enter(check, g, time.Minute)
		enter(check, g, time.Minute)
		var third *lwgate.Slot
		go func() { third = enter(is.New(t), g, time.Minute) }()
		synctest.Wait()
		f := wantRefusal(check, g, time.Minute, lwfault.Overloaded)
		check.True(f.RetryAfter > 0)
		a.Leave()
		synctest.Wait()
		check.True(third != nil)
		check.Equal(g.Load(), lwgate.Load{Busy: 2, Queued: 0, Slots: 2})
	})
}

func TestNearestDeadlineGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := enter(check, g, time.Minute)
		var mu sync.Mutex
		var order []time.Duration
		for _, left := range []time.Duration{30 * time.Second, 10 * time.Second, 20 * time.Second} {
			go func() {
				s := enter(is.New(t), g, left)
				mu.Lock()
				order = append(order, left)
				mu.Unlock()
				s.Leave()
			}()
		}
		synctest.Wait()
		held.Leave()
		synctest.Wait()
		check.Equal(order, []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second})
	})
}

func TestDeadlineInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := enter(is, g, time.Minute)
		began := time.Now()
		wantRefusal(is, g, time.Second, lwfault.Timeout)
		is.Equal(time.Since(began), time.Second)
		held.Leave()
		enter(is, g, time.Second) // the slot was not given to the one that left
	})
}

func TestRefusesEarlyWhatWouldWaitPastItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		first := enter(is, g, time.Minute)
		time.Sleep(10 * time.Second) // the gate learns that requests take 10 s
		first.Leave()
		enter(is, g, time.Minute)
		began := time.Now()
		wantRefusal(is, g, 2*time.Second, lwfault.Overloaded)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

func TestDrainRefusesAtOnceAndFinishesWhatIsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 1, Queue: 10})
		held := enter(check, g, time.Minute)
		done := make(chan struct{})
		go func() { enter(is.New(t), g, time.Minute).Leave(); close(done) }()
		synctest.Wait()
		idle := g.Drain()
		wantRefusal(check, g, time.Minute, lwfault.Unavailable)
		select {
		case <-idle:
			t.Fatal("idle with a request in flight")
		default:
		}
		held.Leave()
		<-done
		<-idle
	})
}

func TestLowerLimitCutsNothingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := lwgate.New(lwgate.Limits{Slots: 3})
		slots := []*lwgate.Slot{enter(is, g, time.Minute), enter(is, g, time.Minute), enter(is, g, time.Minute)}
		g.SetLimits(lwgate.Limits{Slots: 1})
		wantRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[0].Leave()
		slots[0].Leave() // twice frees one slot only
		wantRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[1].Leave()
		wantRefusal(is, g, time.Minute, lwfault.Overloaded)
		slots[2].Leave()
		enter(is, g, time.Minute)
	})
}
