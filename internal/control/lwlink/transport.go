package lwlink

import (
	"context"

	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

// transport reaches the control replicas by their RPC addresses.
type transport interface {
	// Call is lwrpc.Peer.Call for the replica at address.
	Call(ctx context.Context, address, method string, params, result any) error
}

type endpointTransport struct{ endpoint *lwrpc.Endpoint }

func (t endpointTransport) Call(ctx context.Context, address, method string, params, result any) error {
	return t.endpoint.Peer(address).Call(ctx, method, params, result)
}
