package lwcontrol

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
)

// A leader must not act under its lease once TimeoutNow may have left, even while
// the disk holds up the step that sent it: the target is elected meanwhile.
func TestLeaseEndsBeforeTimeoutNowIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		disk := lwdisk.NewMemory()
		wal, contents, err := lwwal.Open(disk, lwwal.Identity{Replica: "r"})
		is.NoErr(err)
		own, target, joining := lwreplica.Member{ID: "r"}, lwreplica.Member{ID: "s"}, lwreplica.Member{ID: "x"}
		contents.State.Snapshot.Membership = lwreplica.Membership{Voters: []lwreplica.Member{own}, Learners: []lwreplica.Member{target}}
		r, err := newReplica(zap.NewNop(), wal, contents, nil, func() (lwunit.Bytes, error) { return minFreeDisk, nil }, lwreplica.DefaultConfig("r", 1))
		is.NoErr(err)
		sent := make(chan lwreplica.Envelope, sendQueueLength)
		r.senders["s"], r.senders["x"] = &sender{queue: sent}, &sender{queue: make(chan lwreplica.Envelope, sendQueueLength)}
		ctx, cancel := context.WithCancel(t.Context())
		step := func(events ...lwreplica.Event) {
			var batch []event
			for _, e := range events {
				batch = append(batch, event{body: e})
			}
			if err := r.step(ctx, batch); ctx.Err() == nil {
				is.NoErr(err)
			}
		}
		answer := func() {
			for len(sent) > 0 {
				if m, ok := (<-sent).Body.(lwreplica.AppendRequest); ok {
					res := lwreplica.AppendResponse{Term: m.Term, Match: m.PrevIndex + lwreplica.Index(len(m.Entries)), Round: m.Round, SentAt: m.SentAt}
					step(lwreplica.Receive{Envelope: lwreplica.Envelope{From: "s", To: "r", Body: res}})
				}
			}
		}
		for r.currentView().role != lwreplica.Leader {
			time.Sleep(tickInterval)
			step(lwreplica.Tick{})
		}
		answer()
		voters := []lwreplica.Member{own, target}
		step(lwreplica.ChangeMembership{Membership: lwreplica.Membership{Voters: voters}})
		answer()
		term := r.currentView().term
		is.True(r.stillLeads(term))
		disk.SetFault(func(_ int, kind, _ string) lwdisk.Fault {
			if kind == "write" {
				return lwdisk.Fault{Err: syscall.ENOSPC}
			}
			return lwdisk.Fault{}
		})
		change := lwreplica.ChangeMembership{Membership: lwreplica.Membership{Voters: voters, Learners: []lwreplica.Member{joining}}}
		go step(lwreplica.TransferLeadership{To: "s"}, change)
		synctest.Wait()
		is.Equal((<-sent).Body, lwreplica.Message(lwreplica.TimeoutNow{Term: term}))
		is.True(!r.stillLeads(term))
		cancel()
		synctest.Wait()
	})
}
