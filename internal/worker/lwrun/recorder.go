package lwrun

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// Recorder takes in an answer as it passes and keeps what a resend needs: its
// digest and size, and the body while it is small.
type Recorder struct {
	sum    hash.Hash
	answer lwstate.Answer
}

// NewRecorder returns a recorder of an answer that begins with this status.
func NewRecorder(status int, contentType string) *Recorder {
	return &Recorder{sum: sha256.New(), answer: lwstate.Answer{Status: status, ContentType: contentType, Whole: true}}
}

// Write takes in a part of the body; it never fails.
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

// Answer returns the record of what was taken in.
func (r *Recorder) Answer() *lwstate.Answer {
	a := r.answer
	a.Digest = hex.EncodeToString(r.sum.Sum(nil))
	return &a
}
