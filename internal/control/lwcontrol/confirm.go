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
	confirmRounds  = lwmetric.Counter("control_confirm_rounds_total")
	confirmedReads = lwmetric.Counter("control_confirmed_reads_total")
)

// confirmer batches concurrent reads into one read-index round with the
// quorum, so that the leader's load grows with the number of replicas and not
// with the number of nodes that read.
type confirmer struct {
	node *Node

	mu      sync.Mutex
	waiting []chan error
	running bool
}

// waitConfirmed waits until this replica's state includes everything that was
// committed when the call began, as confirmed by a quorum.
func (c *confirmer) waitConfirmed(ctx context.Context, r *replica) error {
	confirmedReads.Add(1)
	done := make(chan error, 1)
	c.mu.Lock()
	c.waiting = append(c.waiting, done)
	if !c.running {
		c.running = true
		go c.runRounds(r)
	}
	c.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no quorum confirmed the read in time", Cause: ctx.Err()}
	}
}

// runRounds runs rounds while reads wait. A read takes part only in a round
// that begins after it: an earlier round could confirm an older index.
func (c *confirmer) runRounds(r *replica) {
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
		err := c.runRound(r)
		for _, done := range batch {
			done <- err
		}
	}
}

// runRound confirms an index with the quorum, through the leader if another
// replica leads, and waits until the index is applied here.
func (c *confirmer) runRound(r *replica) error {
	confirmRounds.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	index, err := r.confirm(ctx)
	if f := lwfault.As(err); err != nil && f.Kind == lwfault.NotLeader {
		index, err = c.confirmAtLeader(ctx, f.Leader)
	}
	if err != nil {
		return fmt.Errorf("confirm with a quorum: %w", err)
	}
	return r.waitApplied(ctx, index)
}

func (c *confirmer) confirmAtLeader(ctx context.Context, address string) (lwreplica.Index, error) {
	if address == "" {
		return 0, &lwfault.Fault{Kind: lwfault.Unavailable, Detail: "no leader is known", RetryAfter: time.Second}
	}
	var index lwreplica.Index
	err := c.node.endpoint.Peer(address).Call(ctx, methodConfirm, struct{}{}, &index)
	return index, err
}
