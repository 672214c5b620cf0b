package lwcontrol

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwdisk"
	"lavenderweir.example/lavenderweir/internal/control/lwdispatch"
	"lavenderweir.example/lavenderweir/internal/control/lwlease"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/control/lwwal"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	methodStatus     = "replica.status"
	methodInit       = "replica.init"
	methodJoin       = "replica.join"
	bootstrapPause   = 300 * time.Millisecond
	bootstrapTimeout = time.Second
	replicaIDBytes   = 8

	rejoinInterval = 500 * time.Millisecond
	rejoinAfter    = 4 // intervals without a leader; elections end sooner
	// lostAfter is how long a voter must be silent until a learner that has
	// caught up may take its place: longer than a restart, shorter than it may
	// take until the next VM is lost.
	lostAfter = 1500 * time.Millisecond

	decisionsPerSecond = 1000 // lines of one kind in the decision log
)

// Config sets up a control node.
type Config struct {
	Name      string               // of the process
	Address   string               // RPC address that other replicas use
	Domain    lwunit.FailureDomain // where it runs
	Folder    string               // data folder
	Replicas  []string             // RPC addresses of the first members, own one included
	Lease     lwlease.Config
	Placement lwplacement.Config
	Dispatch  lwdispatch.Config
	Advisor   Advisor // nil where no queue needs one
	JoinOnly  bool    // never founds a group: one exists already
	Voters    int     // of the group; 0 makes every one of Replicas a voter
	Seed      uint64
}

// Node is one control replica in this process.
type Node struct {
	cfg      Config
	log      *zap.Logger
	endpoint *lwrpc.Endpoint
	folder   *lwdisk.Folder
	wal      *lwwal.Log
	contents lwwal.Contents
	id       lwunit.ReplicaID // of this replica; the rest of its identity may change

	mu        sync.RWMutex
	replica   *replica                  // nil until the node belongs to a group
	replacing map[string]string         // addresses: of a learner, to that of the voter it follows
	promoting map[lwunit.ReplicaID]bool // learners on their way to a vote

	initial    chan lwreplica.Membership // an accepted init
	watchers   *watchers
	leader     *leader
	confirmer  *confirmer
	dispatcher *dispatcher
	decisions  *lwlog.Limited
	cancel     context.CancelFunc
	done       chan error
}

// Start opens the data folder and begins to serve.
func Start(cfg Config, e *lwrpc.Endpoint, log *zap.Logger) (*Node, error) {
	folder, err := lwdisk.OpenFolder(cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("start control: %w", err)
	}
	id, err := randomID()
	if err != nil {
		return nil, err
	}
	wal, contents, err := lwwal.Open(folder, lwwal.Identity{Replica: lwunit.ReplicaID(id)})
	if err != nil {
		_ = folder.Close()
		return nil, fmt.Errorf("start control: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: log, endpoint: e, folder: folder, wal: wal, contents: contents, id: contents.Identity.Replica,
		initial: make(chan lwreplica.Membership, 1), watchers: newWatchers(), cancel: cancel, done: make(chan error, 1),
	}
	n.leader = newLeader(n)
	n.dispatcher = newDispatcher(n)
	n.decisions = lwlog.Limit(log, decisionsPerSecond)
	n.confirmer = &confirmer{node: n}
	n.handle()
	n.handleQueues()
	if cfg.Voters > 0 && !cfg.JoinOnly && cfg.Address == firstSeed(cfg.Replicas) && n.contents.Identity.Cluster == "" {
		go newFounder(e, cfg.Voters, log).run(ctx)
	}
	go func() {
		n.done <- n.run(ctx)
		close(n.done)
	}()
	return n, nil
}

func randomID() (string, error) {
	raw := make([]byte, replicaIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("draw identity: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

// Done yields the error that ended the node, if one did.
func (n *Node) Done() <-chan error { return n.done }

// Stop hands over leadership and closes the data folder.
func (n *Node) Stop(ctx context.Context) {
	n.handOver(ctx)
	n.cancel()
	select {
	case <-n.done:
	case <-ctx.Done():
	}
	_ = n.wal.Close()
	_ = n.folder.Close()
}

// handOver moves leadership to the voter whose log is longest.
func (n *Node) handOver(ctx context.Context) {
	r := n.current()
	if r == nil {
		return
	}
	v := r.current()
	if v.role != lwreplica.Leader || len(v.membership.Voters) < 2 {
		return
	}
	var others []matchOf
	for _, m := range v.matches {
		if m.member.ID != r.id && v.membership.IsVoter(m.member.ID) {
			others = append(others, m)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].match > others[j].match })
	if len(others) == 0 {
		return
	}
	r.events <- event{body: lwreplica.TransferLeadership{To: others[0].member.ID}}
	for r.current().role == lwreplica.Leader {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// Ready reports whether this replica belongs to a group with a leader.
func (n *Node) Ready() error {
	r := n.current()
	if r == nil {
		return lwfault.New(lwfault.Unavailable, "this replica has not joined a group")
	}
	if r.current().leader == "" {
		return lwfault.New(lwfault.Unavailable, "no leader is known")
	}
	return nil
}

// Leads reports whether this replica leads.
func (n *Node) Leads() bool {
	r := n.current()
	return r != nil && r.current().role == lwreplica.Leader
}

func (n *Node) current() *replica {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.replica
}

func (n *Node) run(ctx context.Context) error {
	if n.contents.Identity.Cluster == "" {
		if err := n.join(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	cfg := lwreplica.DefaultConfig(n.id, n.cfg.Seed^uint64(time.Now().UnixNano()))
	r, err := newReplica(n.log, n.wal, n.contents, n.endpoint, n.folder.Free, cfg)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.replica = r
	n.mu.Unlock()
	r.observer = n.dispatcher.applied
	go n.leader.run(ctx, r)
	go n.dispatcher.run(ctx, r)
	if n.cfg.Advisor != nil {
		go n.dispatcher.advise(ctx, r)
	}
	go n.stayMember(ctx, r)
	return r.run(ctx)
}
