package lwrun

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwstate"
)

// finishRuns starts and finishes runs of the tokens of one shard from first on.
func finishRuns(is *is.I, t *Table, first lwunit.FencingToken, n int) {
	is.Helper()
	for i := range n {
		token := first + lwunit.FencingToken(i*shards)
		is.NoErr(t.Start(token))
		t.Finish(token, &lwstate.Answer{Status: 200})
	}
}

// An agent that has finished many runs within the retention must not look at all of
// them at each further one, which costs it more time the busier it is.
func TestTrimLooksAtRemovedRunsOnly(t *testing.T) {
	const n = 3 * trimThreshold
	t.Run("none is old", func(t *testing.T) {
		is := is.New(t)
		r := NewTable()
		finishRuns(is, r, 1, n)
		is.True(r.shardOf(1).trim() <= 1) // runs looked at
		is.Equal(len(r.shardOf(1).records), n)
	})
	t.Run("all are old", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := NewTable()
			finishRuns(is, r, 1, n)
			time.Sleep(retention + time.Second)
			const next = 1 + n*shards
			is.NoErr(r.Start(next))
			is.True(r.shardOf(1).trim() <= n+1)
			is.Equal(len(r.shardOf(1).records), 1)
			is.Equal(r.Settle(1).State, AnswerLost)
			is.Equal(lwfault.KindOf(r.Start(1)), lwfault.Fenced)
			is.Equal(r.Settle(next).State, Started)
		})
	})
	t.Run("one has run for longer than the retention", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := NewTable()
			is.NoErr(r.Start(1))
			finishRuns(is, r, 1+shards, n)
			time.Sleep(retention + time.Second)
			finishRuns(is, r, 1+(n+1)*shards, n)
			is.Equal(len(r.shardOf(1).records), n+1) // the old ones are gone, but for the one that runs
			is.Equal(r.Settle(1).State, Started)
			is.True(r.shardOf(1).trim() <= 1)
			r.Finish(1, &lwstate.Answer{Status: 200})
			is.Equal(r.Settle(1).State, Finished) // its sender can still get the answer
			time.Sleep(retention + time.Second)
			r.shardOf(1).trim()
			is.Equal(r.Settle(1).State, AnswerLost)
		})
	})
}
