package lwcontrol

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

// A leader whose driver reads no events, since its disk hangs or it has ended, must
// not keep Stop from returning.
func TestStopOfLeaderThatDoesNotRead(t *testing.T) {
	newLeaderNode := func() *Node {
		members := []lwreplica.Member{{ID: "a"}, {ID: "b"}}
		v := view{role: lwreplica.Leader, membership: lwreplica.Membership{Voters: members}}
		for _, m := range members {
			v.progress = append(v.progress, memberProgress{member: m})
		}
		return &Node{replica: &replica{id: "a", events: make(chan event), view: v}, done: make(chan error, 1)}
	}
	t.Run("its queue is full", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			newLeaderNode().transferLeadership(ctx)
		})
	})
	t.Run("it has ended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newLeaderNode()
			n.replica.events = make(chan event, 1)
			n.done <- errors.New("disk error")
			close(n.done)
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			n.transferLeadership(ctx)
			is.New(t).True(time.Since(start) < time.Second)
		})
	})
}
