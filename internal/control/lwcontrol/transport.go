package lwcontrol

import (
	"context"
	"encoding/json"
	"fmt"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwmetric"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
	"lavenderweir.example/lavenderweir/internal/net/lwrpc"
)

const (
	methodReplica   = "replica.messages"
	sendQueueLength = 256
	sendBatch       = 64
)

var (
	replicaDropped = lwmetric.Counter("replica_messages_dropped_total")
	replicaSent    = lwmetric.Counter("replica_messages_sent_total")
)

// wireEnvelope is an Envelope on the wire.
type wireEnvelope struct {
	From lwunit.ReplicaID `json:"from"`
	To   lwunit.ReplicaID `json:"to"`
	Kind string           `json:"kind"`
	Body json.RawMessage  `json:"body"`
}

func encodeEnvelope(e lwreplica.Envelope) (wireEnvelope, error) {
	kind := ""
	switch e.Body.(type) {
	case lwreplica.VoteRequest:
		kind = "vote_request"
	case lwreplica.VoteResponse:
		kind = "vote_response"
	case lwreplica.AppendRequest:
		kind = "append_request"
	case lwreplica.AppendResponse:
		kind = "append_response"
	case lwreplica.SnapshotChunk:
		kind = "snapshot_chunk"
	case lwreplica.SnapshotAck:
		kind = "snapshot_ack"
	case lwreplica.TimeoutNow:
		kind = "timeout_now"
	}
	body, err := json.Marshal(e.Body)
	if err != nil {
		return wireEnvelope{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return wireEnvelope{e.From, e.To, kind, body}, nil
}

func decodeEnvelope(w wireEnvelope) (lwreplica.Envelope, error) {
	body, err := decodeMessage(w)
	if err != nil {
		return lwreplica.Envelope{}, fmt.Errorf("decode %s: %w", w.Kind, err)
	}
	return lwreplica.Envelope{From: w.From, To: w.To, Body: body}, nil
}

func decodeMessage(w wireEnvelope) (lwreplica.Message, error) {
	switch w.Kind {
	case "vote_request":
		return decodeAs[lwreplica.VoteRequest](w.Body)
	case "vote_response":
		return decodeAs[lwreplica.VoteResponse](w.Body)
	case "append_request":
		return decodeAs[lwreplica.AppendRequest](w.Body)
	case "append_response":
		return decodeAs[lwreplica.AppendResponse](w.Body)
	case "snapshot_chunk":
		return decodeAs[lwreplica.SnapshotChunk](w.Body)
	case "snapshot_ack":
		return decodeAs[lwreplica.SnapshotAck](w.Body)
	case "timeout_now":
		return decodeAs[lwreplica.TimeoutNow](w.Body)
	default:
		return nil, lwfault.New(lwfault.Invalid, "unknown message kind %q", w.Kind)
	}
}

func decodeAs[M lwreplica.Message](body json.RawMessage) (lwreplica.Message, error) {
	var m M
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// sender delivers messages to one replica in order. A full queue drops, which
// the protocol tolerates; it never holds back the other replicas.
type sender struct {
	peer  *lwrpc.Peer
	queue chan wireEnvelope
}

func newSender(ctx context.Context, peer *lwrpc.Peer) *sender {
	s := &sender{peer: peer, queue: make(chan wireEnvelope, sendQueueLength)}
	go s.run(ctx)
	return s
}

func (s *sender) send(e wireEnvelope) {
	select {
	case s.queue <- e:
	default:
		replicaDropped.Add(1)
	}
}

func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			s.deliver(ctx, s.gather(first))
		}
	}
}

func (s *sender) gather(first wireEnvelope) []wireEnvelope {
	batch := []wireEnvelope{first}
	for len(batch) < sendBatch {
		select {
		case e := <-s.queue:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

func (s *sender) deliver(ctx context.Context, batch []wireEnvelope) {
	if err := s.peer.Notify(ctx, methodReplica, batch); err != nil {
		replicaDropped.Add(int64(len(batch)))
		return
	}
	replicaSent.Add(int64(len(batch)))
}
