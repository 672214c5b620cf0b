package lwcontrol

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	methodMessages   = "replica.messages"
	sendQueueLength  = 256
	maxBatchMessages = 64
	maxBatchBytes    = 1 << 20 // of log entries or state, after which a frame takes no further message; base64 adds a third
)

var (
	messagesDropped = lwmetric.Counter("replica_messages_dropped_total")
	messagesSent    = lwmetric.Counter("replica_messages_sent_total")
)

// wireBatch carries envelopes in one JSON-RPC notification. They are encoded in
// CBOR, since the bytes of log entries would grow in JSON at each layer.
type wireBatch struct {
	Envelopes []byte `json:"envelopes"`
}

// wireEnvelope is the encoded form of an Envelope.
type wireEnvelope struct {
	From lwunit.ReplicaID `cbor:"1,keyasint"`
	To   lwunit.ReplicaID `cbor:"2,keyasint"`
	Kind messageKind      `cbor:"3,keyasint"`
	Body cbor.RawMessage  `cbor:"4,keyasint"`
}

type messageKind uint8

const (
	kindVoteRequest messageKind = iota + 1
	kindVoteResponse
	kindAppendRequest
	kindAppendResponse
	kindSnapshotChunk
	kindSnapshotAck
	kindTimeoutNow
)

func kindOf(m lwreplica.Message) messageKind {
	switch m.(type) {
	case lwreplica.VoteRequest:
		return kindVoteRequest
	case lwreplica.VoteResponse:
		return kindVoteResponse
	case lwreplica.AppendRequest:
		return kindAppendRequest
	case lwreplica.AppendResponse:
		return kindAppendResponse
	case lwreplica.SnapshotChunk:
		return kindSnapshotChunk
	case lwreplica.SnapshotAck:
		return kindSnapshotAck
	default:
		return kindTimeoutNow
	}
}

func encodeBatch(batch []lwreplica.Envelope) (wireBatch, error) {
	list := make([]wireEnvelope, 0, len(batch))
	for _, e := range batch {
		body, err := cbor.Marshal(e.Body)
		if err != nil {
			return wireBatch{}, fmt.Errorf("encode message: %w", err)
		}
		list = append(list, wireEnvelope{e.From, e.To, kindOf(e.Body), body})
	}
	data, err := cbor.Marshal(list)
	if err != nil {
		return wireBatch{}, fmt.Errorf("encode batch: %w", err)
	}
	return wireBatch{data}, nil
}

func decodeBatch(w wireBatch) ([]lwreplica.Envelope, error) {
	var list []wireEnvelope
	if err := cbor.Unmarshal(w.Envelopes, &list); err != nil {
		return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "malformed batch of messages", Cause: err}
	}
	batch := make([]lwreplica.Envelope, 0, len(list))
	for _, e := range list {
		body, err := decodeMessage(e)
		if err != nil {
			return nil, &lwfault.Fault{Kind: lwfault.Invalid, Detail: "message", Cause: err}
		}
		batch = append(batch, lwreplica.Envelope{From: e.From, To: e.To, Body: body})
	}
	return batch, nil
}

func decodeMessage(w wireEnvelope) (lwreplica.Message, error) {
	switch w.Kind {
	case kindVoteRequest:
		return decodeAs[lwreplica.VoteRequest](w.Body)
	case kindVoteResponse:
		return decodeAs[lwreplica.VoteResponse](w.Body)
	case kindAppendRequest:
		return decodeAs[lwreplica.AppendRequest](w.Body)
	case kindAppendResponse:
		return decodeAs[lwreplica.AppendResponse](w.Body)
	case kindSnapshotChunk:
		return decodeAs[lwreplica.SnapshotChunk](w.Body)
	case kindSnapshotAck:
		return decodeAs[lwreplica.SnapshotAck](w.Body)
	case kindTimeoutNow:
		return decodeAs[lwreplica.TimeoutNow](w.Body)
	default:
		return nil, lwfault.New(lwfault.Invalid, "unknown message kind %d", w.Kind)
	}
}

func decodeAs[M lwreplica.Message](body cbor.RawMessage) (lwreplica.Message, error) {
	var m M
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// sender sends messages to one replica in order. Messages beyond a full queue are
// dropped, which the protocol tolerates, so that a slow replica does not delay
// the others.
type sender struct {
	peer           *lwrpc.Peer
	queue          chan lwreplica.Envelope
	onDisconnected func() // called when the connection has closed
}

func newSender(ctx context.Context, peer *lwrpc.Peer, onDisconnected func()) *sender {
	s := &sender{peer: peer, queue: make(chan lwreplica.Envelope, sendQueueLength), onDisconnected: onDisconnected}
	go s.run(ctx)
	return s
}

func (s *sender) enqueue(e lwreplica.Envelope) {
	select {
	case s.queue <- e:
	default:
		messagesDropped.Add(1)
	}
}

func (s *sender) run(ctx context.Context) {
	var disconnected <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-disconnected:
			disconnected = nil
			s.onDisconnected()
		case first := <-s.queue:
			s.deliver(ctx, s.gather(first))
			if disconnected == nil {
				disconnected = s.peer.Disconnected()
			}
		}
	}
}

// gather returns the queued messages, up to the limits of one batch.
func (s *sender) gather(first lwreplica.Envelope) []lwreplica.Envelope {
	batch := []lwreplica.Envelope{first}
	size := payloadBytes(first.Body)
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case e := <-s.queue:
			batch = append(batch, e)
			size += payloadBytes(e.Body)
		default:
			return batch
		}
	}
	return batch
}

// payloadBytes returns how many bytes of log or state a message carries.
func payloadBytes(m lwreplica.Message) int {
	switch m := m.(type) {
	case lwreplica.AppendRequest:
		n := 0
		for _, e := range m.Entries {
			n += len(e.Data)
		}
		return n
	case lwreplica.SnapshotChunk:
		return len(m.Data)
	default:
		return 0
	}
}

func (s *sender) deliver(ctx context.Context, batch []lwreplica.Envelope) {
	w, err := encodeBatch(batch)
	if err == nil {
		err = s.peer.Notify(ctx, methodMessages, w)
	}
	if err != nil {
		messagesDropped.Add(int64(len(batch)))
		return
	}
	messagesSent.Add(int64(len(batch)))
}
