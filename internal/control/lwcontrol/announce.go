package lwcontrol

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const announceTimeout = 300 * time.Millisecond

// Announce sends the addresses of the replicas and of the leader to other
// control processes. A process whose seeds name only VMs without a replica
// learns of the replicas in no other way after a restart.
func (n *Node) Announce(ctx context.Context, addresses []string) {
	r := n.currentReplica()
	if r == nil {
		return
	}
	v := r.currentView()
	m := lwlink.Announcement{ControlAddresses: memberAddresses(v), Leader: v.leaderAddress}
	for _, address := range addresses {
		if address == n.cfg.Address {
			continue
		}
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		if err := n.endpoint.Peer(address).Notify(call, lwlink.MethodAnnounce, m); err != nil {
			n.log.Debug("cannot send the announcement of the replicas", zap.String("address", address), zap.Error(err)) // the caller announces periodically
		}
		cancel()
	}
}

// HandleAnnouncements registers the handler that passes announcements of
// replicas to a client.
func HandleAnnouncements(e *lwrpc.Endpoint, client *lwlink.Client) {
	e.Handle(lwlink.MethodAnnounce, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwlink.Announcement](params)
		if err != nil {
			return nil, err
		}
		client.ApplyAnnouncement(m)
		return nil, nil
	})
}
