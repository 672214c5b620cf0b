package lwjob_test

import (
	"testing"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// Each leader builds every task of every occurrence of a job that is stored. A job with
// more of them than fit in memory ends one leader after the other.
func TestJobWithTooManyTasksIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		counts   []int
		repeats  int
		accepted bool
	}{
		"one task, very often":              {[]int{1}, 1 << 40, false},
		"the number of tasks overflows":     {[]int{20000}, 1 << 62, false},
		"one task each minute for a month":  {[]int{1}, 60 * 24 * 31, true},
		"many tasks once":                   {[]int{20000}, 1, true},
		"many tasks a few times":            {[]int{20000}, 2, true},
		"many tasks often":                  {[]int{20000}, 3, false},
		"the number of all steps overflows": {[]int{1 << 62, 1 << 62, 1 << 62, 1 << 62, 1}, 0, false},
		"one step over the range":           {[]int{20000, 1<<63 - 1}, 0, false},
		"two steps at the limit":            {[]int{10000, 10000}, 0, true},
		"two steps over the limit":          {[]int{10000, 10001}, 0, false},
		"not recurring":                     {[]int{1}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := lwjob.Spec{ID: "j", Repeats: c.repeats, Interval: 1}
			for _, n := range c.counts {
				s.Steps = append(s.Steps, lwjob.Step{Count: n})
			}
			err := s.Check()
			if (err == nil) != c.accepted || (err != nil && lwfault.KindOf(err) != lwfault.Invalid) {
				t.Errorf("steps of %d tasks %d times: %v", c.counts, c.repeats, err)
			}
		})
	}
}
