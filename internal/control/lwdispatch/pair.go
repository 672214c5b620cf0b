package lwdispatch

import (
	"math"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// The tail of a task that serves is taken as its undisturbed value times one
// plus, for each image that fills beside it, a gain times the share of the
// worker's processors that the image uses. The figures are smoothed by the
// worker, so the shares are smoothed alike. A Kalman filter with a diagonal
// covariance estimates the undisturbed value of each run and the gain of each
// pair of images, which all workers share.
const (
	gainPrior    = 3.0  // assumed of a pair never seen
	gainSpread   = 12.0 // standard deviation of that assumption
	gainDrift    = 1.0  // by which a gain may change in a second
	gainMost     = 200.0
	baseSpread   = 0.5                    // relative, of a run's undisturbed tail before it is seen
	baseDrift    = 0.15                   // relative, by which it may change in a second
	tailNoise    = 0.12                   // relative, of a figure
	figureMemory = 400 * time.Millisecond // time constant with which workers smooth tails
	nearlyAlone  = 1.3                    // factor up to which a tail tells of the undisturbed value of its image
	baseSwing    = 2.0                    // times that an undisturbed tail may be below the mean of its image
	leastFelt    = 0.004                  // share of the processors below which an image is not felt
	peakUnseen   = 1.5                    // times the mean of its image, assumed of a tail that was not seen yet
	typicalShare = 0.1                    // of a worker's processors, used by one filling run
	typicalRoom  = 0.7                    // sum of gains times shares that a tail typically bears
	unseenRisk   = 0.15                   // assumed share of pairs that do not go together
	imageWeight  = 0.2                    // weight of a new figure in the mean of an image
)

// pairKey names an image that fills and an image that serves.
type pairKey struct{ fills, serves string }

// gain is what is known of one pair.
type gain struct {
	mean     float64
	variance float64
	at       time.Duration // of the last update
	saved    float64       // mean as it was recorded last
	recorded bool
}

// pairs holds the gains of all pairs that were seen.
type pairs map[pairKey]*gain

// of returns the gain of a pair, made if it is new.
func (p pairs) of(k pairKey, now time.Duration) *gain {
	g := p[k]
	if g == nil {
		g = &gain{mean: gainPrior, variance: gainSpread * gainSpread, at: now}
		p[k] = g
	}
	return g
}

// mean returns the expected gain of a pair.
func (p pairs) mean(k pairKey) float64 {
	if g := p[k]; g != nil {
		return g.mean
	}
	return gainPrior
}

// risk returns how likely it is, from 0 to 1, that one image cannot fill beside
// the other.
func (p pairs) risk(k pairKey) float64 {
	g := p[k]
	if g == nil || g.variance > gainSpread*gainSpread/2 {
		return unseenRisk
	}
	return min(1, g.mean*typicalShare/typicalRoom)
}

// feel smooths what each image uses of a worker as the worker smooths tails.
func (w *worker) feel(now time.Duration) {
	weight := 1 - math.Exp(-float64(now-w.feltAt)/float64(figureMemory))
	w.feltAt = now
	using := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase == runListed {
			using[r.task.step.spec.Image] += float64(r.row.Gauge) / w.cores()
		}
	}
	for image, share := range using {
		w.felt[image] += weight * (share - w.felt[image])
	}
	for image := range w.felt {
		if _, ok := using[image]; !ok {
			w.felt[image] *= 1 - weight
		}
		if w.felt[image] < leastFelt && using[image] == 0 {
			delete(w.felt, image)
		}
	}
}

func (w *worker) cores() float64 { return max(1, float64(w.info.Capacity.Millicores)) }

// learnTail takes in the tail of one run that serves.
func (c *Core) learnTail(w *worker, r *run) {
	image, tail := r.task.step.spec.Image, float64(r.row.Gauge)
	passed := (c.now - r.fitAt).Seconds()
	if r.base == 0 {
		r.base, r.baseVariance, passed = c.firstBase(w, image, tail, r), baseSpread*baseSpread, 0
	}
	r.fitAt = c.now
	r.baseVariance += baseDrift * baseDrift * passed
	factor, spread := 1.0, 0.0
	for fills, share := range w.felt {
		if share < leastFelt {
			continue
		}
		g := c.pairs.of(pairKey{fills, image}, c.now)
		g.variance = min(gainSpread*gainSpread, g.variance+gainDrift*gainDrift*(c.now-g.at).Seconds())
		g.at = c.now
		factor += g.mean * share
		spread += g.variance * share * share
	}
	noise := tailNoise*factor + 0.5/r.base // figures are whole milliseconds
	spread += r.baseVariance*factor*factor + noise*noise
	off := tail/r.base - factor
	for fills, share := range w.felt {
		if g := c.pairs[pairKey{fills, image}]; g != nil && share >= leastFelt {
			k := g.variance * share / spread
			g.mean = min(gainMost, max(0, g.mean+k*off))
			g.variance *= 1 - k*share
		}
	}
	k := r.baseVariance * factor / spread
	r.base = max(1, r.base*(1+max(-0.5, k*off)))
	r.baseVariance *= 1 - k*factor
	if factor < nearlyAlone {
		c.bases[image] += imageWeight * (r.base - c.bases[image])
	}
	r.base = max(r.base, c.bases[image]/baseSwing)
}

// firstBase guesses the undisturbed tail of a run from its first figure.
func (c *Core) firstBase(w *worker, image string, tail float64, r *run) float64 {
	if len(w.felt) == 0 || c.bases[image] == 0 {
		base := min(tail, 0.5*float64(r.task.step.spec.TailTarget.Std().Milliseconds()))
		if len(w.felt) == 0 {
			base = tail
		}
		if c.bases[image] == 0 {
			c.bases[image] = base
		}
		return max(1, base)
	}
	return max(1, c.bases[image])
}

// room returns which sum of gains times shares a run's tail bears while it
// stays within a share of its target, if its undisturbed tail is base.
func (r *run) room(share, base float64) float64 {
	target := float64(r.task.step.spec.TailTarget.Std().Milliseconds())
	return share*target/max(1, base) - 1
}

// use returns which share of its worker's processors a filling run takes at
// its present pace.
func (r *run) use(now time.Duration) float64 {
	asked := float64(r.task.step.spec.Need.Millicores) * float64(r.pace) / fullPace
	if r.phase == runListed && r.row.Gauge > 0 && now-r.began >= settleTime && now-r.pacedAt >= settleTime {
		asked = min(asked, float64(r.row.Gauge)*1.2) // others may leave it more later
	}
	return asked / r.worker.cores()
}

// uses returns what each image that fills a worker takes of its processors.
func (w *worker) uses(now time.Duration) map[string]float64 {
	list := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase != runStopping {
			list[r.task.step.spec.Image] += r.use(now)
		}
	}
	return list
}

// burden returns the sum of gains times shares on a serving image.
func (c *Core) burden(uses map[string]float64, serves string) float64 {
	sum := 0.0
	for fills, share := range uses {
		sum += c.pairs.mean(pairKey{fills, serves}) * share
	}
	return sum
}

// bearable returns which further share of a worker's processors a step's image
// may use while every tail stays within a share of its target.
func (c *Core) bearable(s *step, w *worker, within float64) float64 {
	uses := w.uses(c.now)
	most := 1.0
	for _, r := range w.runs {
		if r.task.step.spec.TailTarget <= 0 || r.phase == runStopping {
			continue
		}
		serves := r.task.step.spec.Image
		if g := c.pairs.mean(pairKey{s.spec.Image, serves}); g > 0 {
			most = min(most, max(0, c.roomOf(r, within)-c.burden(uses, serves))/g)
		}
	}
	return most
}

// roomOf returns the room of a run whose tail may not have been seen yet.
func (c *Core) roomOf(r *run, within float64) float64 {
	base := r.base
	if base == 0 {
		base = c.bases[r.task.step.spec.Image] * peakUnseen
	}
	if base == 0 {
		return typicalRoom
	}
	return r.room(within, base)
}

// startPace returns at which pace a filling step's task could begin on a
// worker, in percent.
func (c *Core) startPace(s *step, w *worker) float64 {
	share, ok := w.bears[s.spec.Image]
	if !ok {
		share = c.bearable(s, w, placeShare)
		w.bears[s.spec.Image] = share
	}
	return min(fullPace, fullPace*share*w.cores()/max(1, float64(s.spec.Need.Millicores)))
}

// changed forgets what was computed of a worker from its runs.
func (w *worker) changed() {
	clear(w.bears)
	w.asked = -1
	w.dirty = true
}

// savedChange is the share by which a gain must have changed to be recorded
// again.
const savedChange = 0.3

// Learned returns the pairs whose gain has changed since it was recorded last,
// and marks them as recorded.
func (c *Core) Learned() []lwjob.Disturbance {
	var list []lwjob.Disturbance
	for k, g := range c.pairs {
		if g.recorded && math.Abs(g.mean-g.saved) < max(1, savedChange*g.saved) {
			continue
		}
		g.saved, g.recorded = g.mean, true
		list = append(list, lwjob.Disturbance{Fills: k.fills, Serves: k.serves, Gain: g.mean, Variance: g.variance})
	}
	return list
}

// recall takes over what an earlier leader had learned.
func (p pairs) recall(list []lwjob.Disturbance, now time.Duration) {
	for _, d := range list {
		p[pairKey{d.Fills, d.Serves}] = &gain{mean: d.Gain, variance: d.Variance, at: now, saved: d.Gain, recorded: true}
	}
}
