package lwcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

var (
	confirmRounds = lwmetric.Counter("control_confirm_rounds_total")
	confirmReads  = lwmetric.Counter("control_confirmed_reads_total")
)

// confirmer lets reads that wait at one time share one round with the quorum,
// so that the leader's load follows the number of replicas and not of nodes.
type confirmer struct {
	node *Node

	mu      sync.Mutex
	waiting []chan error
	running bool
}

// confirmed waits until this replica's state includes everything that was
// committed when the call began, as a quorum confirms.
func (c *confirmer) confirmed(ctx context.Context, r *replica) error {
	confirmReads.Add(1)
	done := make(chan error, 1)
	c.mu.Lock()
	c.waiting = append(c.waiting, done)
	if !c.running {
		c.running = true
		go c.serve(r)
	}
	c.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no quorum confirmed in time", Cause: ctx.Err()}
	}
}

// serve runs rounds while reads wait. A read joins only a round that begins
// after the read did.
func (c *confirmer) serve(r *replica) {
	for {
		c.mu.Lock()
		batch := c.waiting
		c.waiting = nil
		if len(batch) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		err := c.round(r)
		for _, done := range batch {
			done <- err
		}
	}
}

func (c *confirmer) round(r *replica) error {
	confirmRounds.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	index, err := r.confirm(ctx)
	if f := lwfault.As(err); err != nil && f.Kind == lwfault.NotLeader {
		index, err = c.askLeader(ctx, f.Leader)
	}
	if err != nil {
		return fmt.Errorf("confirm with a quorum: %w", err)
	}
	return r.waitApplied(ctx, index)
}

func (c *confirmer) askLeader(ctx context.Context, address string) (lwreplica.Index, error) {
	if address == "" {
		return 0, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no leader is known", RetryAfter: time.Second}
	}
	var index lwreplica.Index
	err := c.node.endpoint.Peer(address).Call(ctx, methodConfirm, struct{}{}, &index)
	return index, err
}
