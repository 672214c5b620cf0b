package lwcontrol

import (
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwreplica"
)

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	members := lwreplica.Membership{Voters: []lwreplica.Member{{ID: "a", Address: "x", Domain: "d"}}}
	batch := []lwreplica.Envelope{
		{From: "a", To: "b", Body: lwreplica.VoteRequest{Term: 3, LastIndex: 7, LastTerm: 2, Pre: true}},
		{From: "a", To: "b", Body: lwreplica.VoteResponse{Term: 3, Granted: true}},
		{From: "a", To: "b", Body: lwreplica.AppendRequest{Term: 3, PrevIndex: 6, Entries: []lwreplica.Entry{{Index: 7, Term: 3, Data: []byte{0, 1, 255}}}, Commit: 5, Round: 9, SentAt: 11}},
		{From: "a", To: "b", Body: lwreplica.AppendResponse{Term: 3, Reject: true, Match: 4, Round: 9, SentAt: 11}},
		{From: "a", To: "b", Body: lwreplica.SnapshotChunk{Term: 3, Index: 5, Membership: members, Offset: 10, Total: 20, Data: []byte("xyz")}},
		{From: "a", To: "b", Body: lwreplica.SnapshotAck{Term: 3, Index: 5, Offset: 13}},
		{From: "a", To: "b", Body: lwreplica.TimeoutNow{Term: 3}},
	}
	w, err := encodeBatch(batch)
	is.NoErr(err)
	back, err := decodeBatch(w)
	is.NoErr(err)
	is.Equal(back, batch)
}

func FuzzDecodeBatch(f *testing.F) {
	w, err := encodeBatch([]lwreplica.Envelope{{From: "a", To: "b", Body: lwreplica.TimeoutNow{Term: 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(w.Envelopes)
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0x81, 0xa4, 0x01, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeBatch(wireBatch{data}) // must not panic
	})
}

// A replica that is far behind is sent many large messages at once. Together they
// must not exceed the frame limit.
func TestGatherKeepsFramesSmall(t *testing.T) {
	s := &sender{queue: make(chan lwreplica.Envelope, sendQueueLength)}
	message := func() lwreplica.Envelope {
		return lwreplica.Envelope{Body: lwreplica.AppendRequest{Entries: []lwreplica.Entry{{Data: make([]byte, 200<<10)}}}}
	}
	for range 40 {
		s.queue <- message()
	}
	batch := s.gather(message())
	w, err := encodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	const frameLimit = 8 << 20 // of lwrpc
	if len(w.Envelopes)*4/3 > frameLimit || len(batch) < 2 {
		t.Errorf("a batch of %d messages is encoded in %d bytes; want at least 2 messages that fit in one frame", len(batch), len(w.Envelopes))
	}
}
