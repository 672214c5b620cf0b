package lwdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwblame"
	"lavenderweir.example/lavenderweir/internal/control/lwconfig"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// setEvacuated commits the evacuation or the restoring of a domain and returns how many
// starts were withdrawn.
func (f *fixture) setEvacuated(d lwunit.FailureDomain, evacuate bool) int {
	f.clock++
	f.evacuations.Apply(lwevacuation.Order{Domain: d, Evacuate: evacuate, Expected: f.evacuations[d].Revision}, lwunit.Revision(f.clock), f.wallClock)
	f.core.Advance(f.now, f.wallClock)
	n := f.core.SetEvacuations(f.evacuations.Clone())
	f.step()
	return n
}

func workerInDomain(id string, cores int, d lwunit.FailureDomain) WorkerInfo {
	info := workerInfo(id, cores)
	info.Domain = d
	return info
}

func expectWithdrawn(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%d starts were withdrawn, want %d", got, want)
	}
}

// stepKinds are steps that each take another way through placement.
func stepKinds() map[string]lwjob.Step {
	kinds := map[string]lwjob.Step{}
	for name, change := range map[string]func(*lwjob.Step){
		"plain":        func(*lwjob.Step) {},
		"long-running": func(s *lwjob.Step) { s.LongRunning = true },
		"serving":      func(s *lwjob.Step) { s.LongRunning, s.TailTarget = true, lwunit.Duration(250*time.Millisecond) },
		"filling":      func(s *lwjob.Step) { s.Filling = true },
		"gang":         func(s *lwjob.Step) { s.Gang = true },
		"gang of rack": func(s *lwjob.Step) { s.Gang, s.RackSensitive = true, true },
		"speculative":  func(s *lwjob.Step) { s.Speculative = true },
	} {
		s := tasks(2, 1, time.Second)
		change(&s)
		kinds[name] = s
	}
	return kinds
}

// Any way through placement that misses the check would start tasks in a domain that is
// about to be switched off.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	for name, s := range stepKinds() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInDomain("w1", 8, "a"))
			f.join(workerInDomain("w2", 8, "b"))
			f.setEvacuated("a", true)
			f.submit("j", s)
			expectStarts(t, f.takeStarts("w1"))
			expectStarts(t, f.takeStarts("w2"), "j.0.0.0/1", "j.0.0.1/1")
		})
		t.Run(name+", with all domains evacuated, after which it waits until one is restored", func(t *testing.T) {
			f := newFixture(t)
			f.join(workerInDomain("w1", 8, "a"))
			f.setEvacuated("a", true)
			f.submit("j", s)
			for range 5 {
				f.advance(time.Second) // past the delay after which a starved job starts despite interference
				f.report("w1")
			}
			expectStarts(t, f.takeStarts("w1"))
			f.setEvacuated("a", false)
			expectStarts(t, f.takeStarts("w1")) // its agent would refuse them until it is told
			f.report("w1")
			expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1", "j.0.0.1/1")
		})
	}
	t.Run("a task under which workers have crashed", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.setEvacuated("a", true)
		f.submit("j", tasks(1, 1, time.Second))
		x := f.core.findTask("j.0.0.0")
		x.step.hasSuspects = true
		x.crashes = []lwjob.Crash{{Run: 1, Worker: lwjob.WorkerIncarnation{Worker: "w9", StartedAt: 1}, Age: 1, Evidence: lwblame.Evidence(1e6)}}
		f.advance(time.Second)
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("the probe of a suspected worker", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.core.suspect(f.core.sortedWorkers[0], "test")
		f.submit("j", tasks(1, 1, time.Second))
		f.setEvacuated("a", true)
		f.advance(3 * time.Second)
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("a worker that joins an evacuated domain", func(t *testing.T) {
		f := newFixture(t)
		f.setEvacuated("a", true)
		f.submit("j", tasks(1, 1, time.Second))
		f.join(workerInDomain("w1", 8, "a"))
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("no advice is asked about its workers", func(t *testing.T) {
		f := newFixture(t)
		f.queue.Advice = &lwconfig.Advice{CallTime: lwunit.Duration(time.Second), TicketLifetime: lwunit.Duration(3 * time.Second)}
		f.join(workerInDomain("w1", 8, "a"))
		f.setEvacuated("a", true)
		f.submit("j", tasks(1, 1, time.Second))
		if len(f.questions) != 0 {
			t.Errorf("the advice service is asked %v", f.questions)
		}
	})
}

func TestEvacuationOfDomainWithRuns(t *testing.T) {
	t.Run("starts that no list has shown are withdrawn, and runs go on", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.submit("runs", tasks(1, 1, time.Minute))
		f.startAll("w1")
		f.submit("ordered", tasks(2, 1, time.Minute))
		expectWithdrawn(t, f.setEvacuated("a", true), 2)
		stops := ordered[StopRun](f, "w1")
		if len(stops) != 2 || stops[0].Task != "ordered.0.0.0" || stops[1].Task != "ordered.0.0.1" {
			t.Errorf("stops %v were ordered", stops)
		}
		expectWithdrawn(t, f.setEvacuated("a", true), 0)
	})
	t.Run("a withdrawn start is not sent again, and the task starts elsewhere", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.submit("j", tasks(1, 1, time.Minute))
		f.setEvacuated("a", true)
		f.takeStarts("w1")
		f.join(workerInDomain("w2", 8, "b"))
		f.advance(2 * time.Second)
		f.core.AgentReconnected(f.infos["w1"].Incarnation)
		f.step()
		expectStarts(t, f.takeStarts("w1"))
		expectStarts(t, f.takeStarts("w2")) // the withdrawn run may have begun
		info := f.infos["w1"]
		token, _ := f.core.TokenAndCursor(info.Incarnation)
		f.core.Report(Report{Info: info, Token: token, Refused: []Refusal{{Task: "j.0.0.0", Run: 1, Reason: RefusedStopped}}})
		f.step()
		expectStarts(t, f.takeStarts("w2"), "j.0.0.0/2")
	})
	t.Run("a long-running task whose placement awaits its record is not started after it", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		s := tasks(1, 1, 0)
		s.LongRunning = true
		j := lwjob.Job{Spec: lwjob.Spec{ID: "j", Queue: f.queue.Key, Steps: []lwjob.Step{s}}, Queue: f.queue, Term: testTerm, PlacementsRecorded: true}
		f.table.Accept(j)
		f.core.JobAccepted(f.table.Job("j"))
		f.core.Schedule()
		placed := f.core.TakeEffects().Placements
		expectWithdrawn(t, f.setEvacuated("a", true), 1)
		for _, p := range placed {
			f.core.PlacementRecorded(p)
		}
		f.step()
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("a new leader knows the evacuation before its first decision", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.submit("j", tasks(1, 1, time.Minute))
		f.takeStarts("w1") // the start is lost with the leader
		f.evacuations.Apply(lwevacuation.Order{Domain: "a", Evacuate: true}, 1, f.wallClock)
		f.startTerm(testTerm + 1) // the old leader ended before it took the evacuation in
		f.join(f.infos["w1"])
		f.advance(10 * time.Second)
		f.join(f.infos["w1"])
		f.submit("k", tasks(1, 1, time.Minute))
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("a worker whose agent was not told of a short evacuation is used at once after it", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.setEvacuated("a", true)
		f.submit("j", tasks(1, 1, time.Second))
		f.setEvacuated("a", false)
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1")
	})
	t.Run("the agent is told with each grant", func(t *testing.T) {
		f := newFixture(t)
		f.join(workerInDomain("w1", 8, "a"))
		f.join(workerInDomain("w2", 8, "b"))
		f.setEvacuated("a", true)
		for id, want := range map[lwunit.WorkerID]bool{"w1": true, "w2": false} {
			if g := f.core.Report(Report{Info: f.infos[id]}); g.Evacuated != want || g.Lease == 0 {
				t.Errorf("%s is granted %+v, want evacuated %v", id, g, want)
			}
		}
	})
	t.Run("a waiting task is logged once with its cause", func(t *testing.T) {
		f := newFixture(t)
		f.now = time.Minute
		f.join(workerInDomain("w1", 8, "a"))
		f.join(workerInDomain("w2", 1, "b"))
		f.setEvacuated("a", true)
		f.submit("fits nowhere", tasks(1, 20, time.Second))
		waits := func() (list []string) {
			for _, x := range f.lastEffects.Decisions {
				if x.Kind == DecidedWait {
					list = append(list, fmt.Sprint(x.Task, ": ", x.Reason))
				}
			}
			return list
		}
		if got := waits(); len(got) != 0 {
			t.Errorf("logged %v", got)
		}
		f.submit("j", tasks(1, 4, time.Second))
		if got := waits(); !slices.Equal(got, []string{"j.0.0.0: domain a is evacuated"}) {
			t.Errorf("logged %v", got)
		}
		f.advance(3 * time.Second)
		if got := waits(); len(got) != 0 {
			t.Errorf("logged %v again", got)
		}
	})
}

// Capacity that may not be used would make the others look less loaded than they are, and
// starved jobs would start where they are throttled.
func TestEvacuatedCapacityIsNotCounted(t *testing.T) {
	f := newFixture(t)
	f.join(workerInDomain("w1", 8, "a"))
	f.join(workerInDomain("w2", 4, "b"))
	f.setEvacuated("a", true)
	f.submit("j", tasks(3, 1, time.Second))
	reserved, capacity := f.core.serviceReservation("press")
	if reserved.Millicores != 3000 || capacity.Millicores != 4000 {
		t.Errorf("%d of %d millicores are reserved, want 3000 of 4000", reserved.Millicores, capacity.Millicores)
	}
}

// coldWorker returns a worker with a warm-up of 20 s, of which some time is left.
func coldWorker(id string, d lwunit.FailureDomain, left time.Duration, seq int64) WorkerInfo {
	info := workerInDomain(id, 10, d)
	info.WarmupTimeLeft, info.Seq = lwunit.Duration(left), seq
	return info
}

// Workers of a domain that was switched off come back cold. All waiting work at once
// would give them more than they bear.
func TestRestoredDomainRampsUp(t *testing.T) {
	restored := func(t *testing.T, slack int) *fixture {
		f := newFixture(t)
		f.config.ColdOverage, f.config.ColdSlack = 1.5, slack
		f.startTerm(testTerm)
		f.setEvacuated("a", true)
		f.join(coldWorker("w1", "a", 20*time.Second, 1))
		f.setEvacuated("a", false)
		f.report("w1")
		return f
	}
	t.Run("what a cold worker is given rises with the time it has been warming up", func(t *testing.T) {
		f := restored(t, 5)
		f.submit("j", tasks(10, 1, time.Hour))
		started := len(f.startAll("w1"))
		if started != 1 {
			t.Errorf("%d tasks were started at once", started)
		}
		for i := 2; i <= 10; i++ {
			f.now += 2 * time.Second
			f.wallClock = f.wallClock.Add(2 * time.Second)
			f.infos["w1"] = coldWorker("w1", "a", 20*time.Second-time.Duration(i-1)*2*time.Second, int64(i))
			f.report("w1")
			f.advance(0)
			started += len(f.startAll("w1"))
			if bears := max(1, i-1); started > bears {
				t.Errorf("%d tasks of 1 core run on 10 cores after %d s of 20 s", started, (i-1)*2)
			}
		}
		if started != 9 {
			t.Errorf("%d of 10 tasks run after 18 s of 20 s, want 9", started)
		}
	})
	t.Run("a provider without slack allows no task at first", func(t *testing.T) {
		f := restored(t, 0)
		f.submit("j", tasks(1, 1, time.Hour))
		expectStarts(t, f.takeStarts("w1"))
	})
	t.Run("members of a gang do not exceed it together", func(t *testing.T) {
		f := restored(t, 5)
		f.now += 3500 * time.Millisecond // it bears less than 2 cores
		f.report("w1")
		gang := tasks(3, 1, time.Hour)
		gang.Gang = true
		f.submit("j", gang)
		expectStarts(t, f.takeStarts("w1"))
		f.now += 4 * time.Second
		f.report("w1")
		expectStarts(t, f.takeStarts("w1"), "j.0.0.0/1", "j.0.0.1/1", "j.0.0.2/1")
	})
	t.Run("workers elsewhere take all that fits", func(t *testing.T) {
		f := restored(t, 5)
		f.join(coldWorker("w2", "b", 20*time.Second, 1))
		f.submit("j", tasks(10, 1, time.Hour))
		n, other := len(f.takeStarts("w1")), len(f.takeStarts("w2"))
		if n != 1 || other != 9 {
			t.Errorf("%d tasks were started in the restored domain and %d elsewhere, want 1 and 9", n, other)
		}
	})
	t.Run("a warm worker and one that joins long after are not limited", func(t *testing.T) {
		f := restored(t, 5)
		f.join(workerInDomain("w2", 10, "a"))
		f.submit("j", tasks(10, 1, time.Hour))
		if n := len(f.takeStarts("w2")); n < 9 {
			t.Errorf("%d tasks were started on the warm worker", n)
		}
		f.now += maxRampTime
		f.join(coldWorker("w3", "a", 20*time.Second, 1))
		f.submit("k", tasks(10, 1, time.Hour))
		if n := len(f.takeStarts("w3")); n < 2 {
			t.Errorf("%d tasks were started on the worker that joined late", n)
		}
	})
}

// A cold worker was used like any other before there were evacuations.
func TestColdWorkerIsNotLimitedWithoutEvacuation(t *testing.T) {
	f := newFixture(t)
	f.config.ColdOverage, f.config.ColdSlack = 1.5, 5
	f.startTerm(testTerm)
	f.join(coldWorker("w1", "a", 20*time.Second, 1))
	f.submit("j", tasks(10, 1, time.Hour))
	if n := len(f.takeStarts("w1")); n != 10 {
		t.Errorf("%d tasks were started, want 10", n)
	}
}

// No order of a start may leave a leader for an evacuated domain, whatever happened
// before: changes of leader, reconnections, refusals, lost answers, workers that leave.
func TestNoStartIsOrderedInEvacuatedDomains(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t)
		term, jobs, inEvacuated, elsewhere := uint64(testTerm), 0, 0, 0
		domains := []lwunit.FailureDomain{"a", "b", "c"}
		ids := []lwunit.WorkerID{"w0", "w1", "w2", "w3", "w4", "w5"}
		for i, id := range ids {
			f.join(workerInDomain(string(id), 4, domains[i%3]))
		}
		var names []string
		kinds := stepKinds()
		for name := range kinds {
			names = append(names, name)
		}
		slices.Sort(names)
		for range 300 {
			id := ids[rng.IntN(len(ids))]
			switch rng.IntN(9) {
			case 0:
				f.setEvacuated(domains[rng.IntN(3)], rng.IntN(2) == 0)
			case 1:
				term++
				f.startTerm(term)
			case 2, 3:
				jobs++
				f.submit(fmt.Sprint("j", jobs), kinds[names[rng.IntN(len(names))]])
			case 4:
				f.core.AgentReconnected(f.infos[id].Incarnation)
				f.step()
			case 5:
				if n := len(f.lists[id]); n > 0 {
					x := f.lists[id][rng.IntN(n)]
					f.endRun(id, StartRun{Task: x.Task, Run: x.Run}, lwjob.EndDone)
				}
			case 6:
				for i := range ids {
					f.join(f.infos[ids[i]])
				}
				f.advance(time.Duration(rng.IntN(1500)) * time.Millisecond)
			default:
				f.advance(time.Duration(rng.IntN(300)) * time.Millisecond)
				f.join(f.infos[id])
			}
			for i, id := range ids {
				n := len(ordered[StartRun](f, id))
				if f.evacuations.Evacuated(domains[i%3]) {
					inEvacuated += n
				} else {
					elsewhere += n
				}
				f.startAll(id)
			}
			clear(f.pendingOrders) // orders that the reports above caused are lost
		}
		if inEvacuated > 0 || elsewhere == 0 {
			t.Fatalf("seed %d: %d starts were ordered in evacuated domains and %d elsewhere", seed, inEvacuated, elsewhere)
		}
	}
}
