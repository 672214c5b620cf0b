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

// Announce tells other control processes which replicas there are and which
// one leads. Seeds may name only VMs without a replica, which know of none
// after a restart.
func (n *Node) Announce(ctx context.Context, addresses []string) {
	r := n.current()
	if r == nil {
		return
	}
	v := r.current()
	m := lwlink.Announcement{Control: memberAddresses(v), Leader: v.leaderAddr}
	for _, address := range addresses {
		if address == n.cfg.Address {
			continue
		}
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		if err := n.endpoint.Peer(address).Notify(call, lwlink.MethodAnnounce, m); err != nil {
			n.log.Debug("not announced", zap.String("address", address), zap.Error(err)) // the next one follows soon
		}
		cancel()
	}
}

// HearAnnouncements lets a client learn of the replicas that announce
// themselves to this process.
func HearAnnouncements(e *lwrpc.Endpoint, client *lwlink.Client) {
	e.Handle(lwlink.MethodAnnounce, func(_ context.Context, _ *lwrpc.Session, params json.RawMessage) (any, error) {
		m, err := lwlink.Decode[lwlink.Announcement](params)
		if err != nil {
			return nil, err
		}
		client.Hear(m)
		return nil, nil
	})
}
