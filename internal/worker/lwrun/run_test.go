package lwrun_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/worker/lwrun"
)

func TestClaimStartsAtMostOnce(t *testing.T) {
	t.Run("started twice", func(t *testing.T) {
		is := is.New(t)
		r := lwrun.NewTable()
		is.NoErr(r.Start(1))
		is.Equal(lwfault.KindOf(r.Start(1)), lwfault.Fenced)
	})
	t.Run("fenced by Settle, then started", func(t *testing.T) {
		is := is.New(t)
		r := lwrun.NewTable()
		is.Equal(r.Settle(1).State, lwrun.Fenced)
		is.Equal(lwfault.KindOf(r.Start(1)), lwfault.Fenced)
	})
	t.Run("settled while it runs, then after it has ended", func(t *testing.T) {
		is := is.New(t)
		r := lwrun.NewTable()
		is.NoErr(r.Start(1))
		is.Equal(r.Settle(1).State, lwrun.Started)
		r.Finish(1, &lwstate.Answer{Status: 200})
		is.Equal(r.Settle(1).Answer.Status, 200)
		r.Finish(1, nil) // the first end counts
		is.Equal(r.Settle(1).State, lwrun.Finished)
	})
	t.Run("ended without a known answer", func(t *testing.T) {
		is := is.New(t)
		r := lwrun.NewTable()
		is.NoErr(r.Start(1))
		r.Finish(1, nil)
		is.Equal(r.Settle(1).State, lwrun.AnswerLost)
	})
}

func TestRecorderKeepsSmallAnswersOnly(t *testing.T) {
	is := is.New(t)
	small, large := lwrun.NewRecorder(200, "text/plain"), lwrun.NewRecorder(200, "")
	_, _ = small.Write([]byte("ab"))
	_, _ = small.Write([]byte("c"))
	is.Equal(string(small.Answer().Body), "abc")
	is.True(small.Answer().Whole)
	_, _ = large.Write(bytes.Repeat([]byte("x"), lwstate.MaxAnswerBytes+1))
	is.True(!large.Answer().Whole && large.Answer().Body == nil)
	is.Equal(large.Answer().Size, int64(lwstate.MaxAnswerBytes+1))
	is.True(large.Answer().Digest != small.Answer().Digest)
}
