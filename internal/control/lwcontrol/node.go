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
	methodStatus      = "replica.status"
	methodInit        = "replica.init"
	methodJoin        = "replica.join"
	joinRetryInterval = 300 * time.Millisecond
	peerCallTimeout   = time.Second
	replicaIDBytes    = 8

	rejoinInterval       = 500 * time.Millisecond
	rejoinAfterIntervals = 4 // intervals without a leader; an election takes less
	// voterLostAfter is the time without an answer of a voter after which a learner
	// that has caught up may replace it: longer than a restart takes, shorter
	// than the time in which the next VM may be lost.
	voterLostAfter = 1500 * time.Millisecond

	decisionsPerSecond = 1000 // lines of one kind in the decision log
)

// Config configures a control node.
type Config struct {
	Name    string               // of the process
	Address string               // RPC address that other replicas use
	Domain  lwunit.FailureDomain // in which the process runs
	Folder  string               // data folder
	// SnapshotSize is the size of the applied log entries from which a snapshot is
	// written; 0 is defaultSnapshotSize.
	SnapshotSize lwunit.Bytes
	Seeds        []string // RPC addresses of control processes to ask at the start; without Voters, of all first members
	Lease        lwlease.Config
	Placement    lwplacement.Config
	Dispatch     lwdispatch.Config
	Advisor      Advisor // nil if no queue asks the advice service
	JoinOnly     bool    // the group exists already, so this node never bootstraps one
	Voters       int     // in the group; 0 makes all of Seeds voters
	Evacuations  Evacuations
	Seed         uint64 // of the random numbers for elections, together with the start time
}

// Node is one control replica in this process.
type Node struct {
	cfg      Config
	log      *zap.Logger
	endpoint *lwrpc.Endpoint
	folder   *lwdisk.Folder
	wal      *lwwal.Log
	contents lwwal.Contents   // changes under mu when the node joins a group
	id       lwunit.ReplicaID // of this replica; the rest of contents.Identity changes when the node joins a group

	mu           sync.RWMutex
	replica      *replica               // nil until the node belongs to a group
	replacements map[string]replacement // by address of the learner
	lastRemoval  removal

	knowEvacuations map[lwunit.ReplicaID]bool // replicas that have answered that they can apply lwstate.SetEvacuation

	initialMembership chan lwreplica.Membership // saved by onInit; ends join
	watchers          *watchers
	leader            *leader
	confirmer         *confirmer
	dispatcher        *dispatcher
	submissions       submissions
	decisionLog       *lwlog.RateLimitedLogger
	cancel            context.CancelFunc
	done              chan error
}

// Start opens the data folder, registers the handlers and starts the node. The
// node joins or bootstraps its group in the background.
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
		initialMembership: make(chan lwreplica.Membership, 1), watchers: newWatchers(), cancel: cancel, done: make(chan error, 1),
	}
	n.leader = newLeader(n)
	n.dispatcher = newDispatcher(n)
	n.decisionLog = lwlog.NewRateLimitedLogger(log, decisionsPerSecond)
	n.confirmer = &confirmer{node: n}
	n.registerHandlers()
	n.registerQueueHandlers()
	if cfg.Voters > 0 && !cfg.JoinOnly && cfg.Address == bootstrapSeed(cfg.Seeds) && n.contents.Identity.Cluster == "" {
		go newBootstrapper(e, cfg.Voters, log).run(ctx)
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
		return "", fmt.Errorf("generate identity: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

// Done returns a channel that receives the error with which the node ended, nil
// after Stop, and is then closed.
func (n *Node) Done() <-chan error { return n.done }

// Stop transfers leadership, ends the node and closes the data folder.
func (n *Node) Stop(ctx context.Context) {
	n.transferLeadership(ctx)
	n.cancel()
	select {
	case <-n.done:
	case <-ctx.Done():
	}
	_ = n.wal.Close()
	_ = n.folder.Close()
}

// transferLeadership moves leadership, if this replica has it, to the voter
// whose log matches the leader's furthest. It returns early if the node ends.
func (n *Node) transferLeadership(ctx context.Context) {
	r := n.currentReplica()
	if r == nil {
		return
	}
	v := r.currentView()
	if v.role != lwreplica.Leader || len(v.membership.Voters) < 2 {
		return
	}
	var others []memberProgress
	for _, m := range v.progress {
		if m.member.ID != r.id && v.membership.IsVoter(m.member.ID) {
			others = append(others, m)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].match > others[j].match })
	if len(others) == 0 {
		return
	}
	select {
	case r.events <- event{body: lwreplica.TransferLeadership{To: others[0].member.ID}}:
	case <-n.done:
		return
	case <-ctx.Done():
		return
	}
	for r.currentView().role == lwreplica.Leader {
		select {
		case <-n.done:
			return // the view is no longer updated
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// Ready reports whether this replica belongs to a group with a leader.
func (n *Node) Ready() error {
	r := n.currentReplica()
	if r == nil {
		return lwfault.New(lwfault.Unavailable, "this replica has not joined a group")
	}
	if r.currentView().leader == "" {
		return lwfault.New(lwfault.Unavailable, "no leader is known")
	}
	return nil
}

// Leads reports whether this replica is the leader, whether or not it holds its
// lease.
func (n *Node) Leads() bool {
	r := n.currentReplica()
	return r != nil && r.currentView().role == lwreplica.Leader
}

func (n *Node) currentReplica() *replica {
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
	r, err := newReplica(n.log, n.wal, n.contents, n.endpoint, n.folder.FreeSpace, cfg)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.replica = r
	n.mu.Unlock()
	if n.cfg.SnapshotSize > 0 {
		r.snapshotSize = n.cfg.SnapshotSize
	}
	r.onApply = n.dispatcher.onApplied
	go n.leader.run(ctx, r)
	go n.dispatcher.run(ctx, r)
	if n.cfg.Advisor != nil {
		go n.dispatcher.runAdvice(ctx, r)
	}
	go n.rejoinIfRemoved(ctx, r)
	return r.run(ctx)
}
