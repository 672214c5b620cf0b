package lwrun

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Recorder records an answer while it is streamed: its digest and size, and its
// body up to lwstate.MaxAnswerBytes. A resend is answered from the record.
type Recorder struct {
	sum    hash.Hash
	answer lwstate.Answer
}

// NewRecorder returns a recorder for an answer with this status and content type.
func NewRecorder(status int, contentType string) *Recorder {
	return &Recorder{sum: sha256.New(), answer: lwstate.Answer{Status: status, ContentType: contentType, Whole: true}}
}

// Write records a part of the body. It never fails.
func (r *Recorder) Write(data []byte) (int, error) {
	r.sum.Write(data)
	r.answer.Size += int64(len(data))
	if r.answer.Size <= lwstate.MaxAnswerBytes {
		r.answer.Body = append(r.answer.Body, data...)
	} else {
		r.answer.Body, r.answer.Whole = nil, false
	}
	return len(data), nil
}

// Answer returns the record of the answer so far.
func (r *Recorder) Answer() *lwstate.Answer {
	a := r.answer
	a.Digest = hex.EncodeToString(r.sum.Sum(nil))
	return &a
}
