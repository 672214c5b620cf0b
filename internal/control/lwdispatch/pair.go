package lwdispatch

import (
	"math"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

const (
	pairBad      = 1.0  // share of a target above which a task counts as disturbed
	pairFine     = 0.75 // share below which it counts as undisturbed
	pairPrior    = 0.15 // assumed share of disturbed samples of a pair never seen
	pairWeight   = 2    // samples that the assumption is worth
	pairToxic    = 0.35 // share of disturbed samples from which a pair is kept apart
	pairMemory   = 30   // samples remembered
	samplesToSay = 1.5  // blame from which on a pair may be kept apart
)

// pairKey names an image that fills and an image that serves.
type pairKey struct{ fills, serves string }

// pairStat counts what was seen of a pair.
type pairStat struct {
	samples, bad float64
	saved        pairCount // as it was recorded last
}

type pairCount struct{ samples, bad float64 }

// pairs learns which images disturb which from the tails of tasks that serve.
// Several images may be beside a disturbed task: each is blamed in proportion
// to what is known of it.
type pairs map[pairKey]*pairStat

// risk returns the expected share of samples in which one disturbs the other.
func (p pairs) risk(k pairKey) float64 {
	s := p[k]
	if s == nil {
		return pairPrior
	}
	return (s.bad + pairPrior*pairWeight) / (s.samples + pairWeight)
}

// toxic reports whether a pair is to be kept apart.
func (p pairs) toxic(k pairKey) bool {
	s := p[k]
	return s != nil && s.bad >= samplesToSay && p.risk(k) >= pairToxic
}

func (p pairs) add(k pairKey, bad float64) {
	s := p[k]
	if s == nil {
		s = &pairStat{}
		p[k] = s
	}
	if s.samples >= pairMemory {
		s.samples *= 0.5
		s.bad *= 0.5
	}
	s.samples++
	s.bad += bad
}

// learn takes in one tail beside filling runs.
func (p pairs) learn(fillers []*run, serves string, ratio float64) {
	images := imagesOf(fillers)
	if len(images) == 0 || (ratio > pairFine && ratio < pairBad) {
		return
	}
	total := 0.0
	for _, image := range images {
		total += p.risk(pairKey{image, serves})
	}
	for _, image := range images {
		k := pairKey{image, serves}
		blame := 0.0
		if ratio >= pairBad {
			blame = p.risk(k) / total
		}
		p.add(k, blame)
	}
}

// suspects returns the runs whose image most likely disturbs another; all of
// them if none stands out.
func (p pairs) suspects(fillers []*run, serves string) []*run {
	worst := 0.0
	for _, r := range fillers {
		worst = max(worst, p.risk(pairKey{r.task.step.spec.Image, serves}))
	}
	var list []*run
	for _, r := range fillers {
		if p.risk(pairKey{r.task.step.spec.Image, serves}) >= worst/2 {
			list = append(list, r)
		}
	}
	return list
}

func imagesOf(runs []*run) []string {
	var list []string
	seen := make(map[string]bool)
	for _, r := range runs {
		if image := r.task.step.spec.Image; !seen[image] {
			seen[image] = true
			list = append(list, image)
		}
	}
	return list
}

// disturbance returns how much a filling step would likely disturb what serves
// on a worker, and whether the two must be kept apart.
func (c *Core) disturbance(s *step, w *worker) (risk float64, toxic bool) {
	for _, r := range w.runs {
		if r.task.step.spec.TailTarget <= 0 {
			continue
		}
		k := pairKey{s.spec.Image, r.task.step.spec.Image}
		risk = max(risk, c.pairs.risk(k))
		toxic = toxic || c.pairs.toxic(k)
	}
	return risk, toxic
}

// savedChange is how much the risk of a pair must have changed to be recorded
// again.
const savedChange = 0.1

// Learned returns the pairs whose risk has changed since it was recorded last,
// and marks them as recorded.
func (c *Core) Learned() []lwjob.Disturbance {
	var list []lwjob.Disturbance
	for k, s := range c.pairs {
		before := (s.saved.bad + pairPrior*pairWeight) / (s.saved.samples + pairWeight)
		if math.Abs(c.pairs.risk(k)-before) < savedChange {
			continue
		}
		s.saved = pairCount{s.samples, s.bad}
		list = append(list, lwjob.Disturbance{Fills: k.fills, Serves: k.serves, Samples: s.samples, Bad: s.bad})
	}
	return list
}

// recall takes over what an earlier leader had learned.
func (p pairs) recall(list []lwjob.Disturbance) {
	for _, d := range list {
		p[pairKey{d.Fills, d.Serves}] = &pairStat{samples: d.Samples, bad: d.Bad, saved: pairCount{d.Samples, d.Bad}}
	}
}
