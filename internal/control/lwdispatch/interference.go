package lwdispatch

import (
	"math"
	"time"

	"lavenderweir.example/lavenderweir/internal/control/lwjob"
)

// The model of interference: the tail latency of a serving task is its value
// without interference (base tail) times one plus, for each image of filling work
// on the worker, a gain times the share of the worker's processors that the image
// uses. Workers smooth the tail latencies that they report, so the shares are
// smoothed in the same way. A Kalman filter with a diagonal covariance estimates
// the base tail of each run and the gain of each pair of images; the gains are
// common to all workers.
const (
	gainPrior             = 3.0  // gain of a pair without samples
	gainPriorStdDev       = 12.0 // standard deviation of gainPrior
	gainDrift             = 1.0  // standard deviation of the change of a gain in a second
	maxGain               = 200.0
	baseTailStdDev        = 0.5                    // relative standard deviation of the base tail at the first sample
	baseTailDrift         = 0.15                   // relative standard deviation of the change of a base tail in a second
	sampleNoise           = 0.12                   // relative standard deviation of a sample
	smoothingTime         = 400 * time.Millisecond // time constant with which workers smooth tail latencies
	lowInterferenceFactor = 1.3                    // predicted ratio of tail latency to base tail, below which a run updates the mean base tail of its image
	maxBaseTailDrop       = 2.0                    // largest ratio of the mean base tail of an image to the base tail of a run
	minImageLoad          = 0.004                  // share of the processors below which the use of an image is ignored
	unmeasuredTailFactor  = 1.5                    // ratio to the mean base tail of its image, assumed of a run without samples
	typicalShare          = 0.1                    // share of a worker's processors that one filling run uses
	typicalHeadroom       = 0.7                    // headroom assumed of a serving run whose image has no samples
	unmeasuredRisk        = 0.15                   // fraction of pairs with no or few samples that are assumed to be incompatible
	baseTailWeight        = 0.2                    // weight of a new base tail in the mean of an image
)

// imagePair identifies an image of filling work and an image of serving tasks.
type imagePair struct{ filling, serving string }

// gain is the estimate of the gain of one pair.
type gain struct {
	mean         float64
	variance     float64
	updatedAt    time.Duration // when drift was last added to variance
	recordedMean float64       // mean when the gain was last recorded
	recorded     bool
}

// pairGains holds the gains of all pairs with samples.
type pairGains map[imagePair]*gain

// get returns the gain of a pair, created if it is new.
func (p pairGains) get(k imagePair, now time.Duration) *gain {
	g := p[k]
	if g == nil {
		g = &gain{mean: gainPrior, variance: gainPriorStdDev * gainPriorStdDev, updatedAt: now}
		p[k] = g
	}
	return g
}

// mean returns the expected gain of a pair.
func (p pairGains) mean(k imagePair) float64 {
	if g := p[k]; g != nil {
		return g.mean
	}
	return gainPrior
}

// risk returns the probability that the filling image of a pair may not run on a
// worker with the serving one.
func (p pairGains) risk(k imagePair) float64 {
	g := p[k]
	if g == nil || g.variance > gainPriorStdDev*gainPriorStdDev/2 {
		return unmeasuredRisk
	}
	return min(1, g.mean*typicalShare/typicalHeadroom)
}

// updateImageLoad smooths the CPU use of each filling image in the way in which
// the worker smooths tail latencies.
func (w *worker) updateImageLoad(now time.Duration) {
	weight := 1 - math.Exp(-float64(now-w.imageLoadAt)/float64(smoothingTime))
	w.imageLoadAt = now
	using := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase == runListed {
			using[r.task.step.spec.Image] += float64(r.status.Gauge) / w.millicores()
		}
	}
	for image, share := range using {
		w.imageLoad[image] += weight * (share - w.imageLoad[image])
	}
	for image := range w.imageLoad {
		if _, ok := using[image]; !ok {
			w.imageLoad[image] *= 1 - weight
		}
		if w.imageLoad[image] < minImageLoad && using[image] == 0 {
			delete(w.imageLoad, image)
		}
	}
}

func (w *worker) millicores() float64 { return max(1, float64(w.info.Capacity.Millicores)) }

// updateTailModel updates the base tail and the gains of a serving run by its
// newest sample.
func (c *Core) updateTailModel(w *worker, r *run) {
	image, tail := r.task.step.spec.Image, float64(r.status.Gauge)
	elapsed := (c.now - r.lastSampleAt).Seconds()
	if r.baseTail == 0 {
		r.baseTail, r.baseTailVariance, elapsed = c.initialBaseTail(w, image, tail, r), baseTailStdDev*baseTailStdDev, 0
	}
	r.lastSampleAt = c.now
	r.baseTailVariance += baseTailDrift * baseTailDrift * elapsed
	factor, residualVariance := 1.0, 0.0
	for filling, share := range w.imageLoad {
		if share < minImageLoad {
			continue
		}
		g := c.gains.get(imagePair{filling, image}, c.now)
		g.variance = min(gainPriorStdDev*gainPriorStdDev, g.variance+gainDrift*gainDrift*(c.now-g.updatedAt).Seconds())
		g.updatedAt = c.now
		factor += g.mean * share
		residualVariance += g.variance * share * share
	}
	noise := sampleNoise*factor + 0.5/r.baseTail // samples are rounded to whole milliseconds
	residualVariance += r.baseTailVariance*factor*factor + noise*noise
	residual := tail/r.baseTail - factor
	for filling, share := range w.imageLoad {
		if g := c.gains[imagePair{filling, image}]; g != nil && share >= minImageLoad {
			k := g.variance * share / residualVariance
			g.mean = min(maxGain, max(0, g.mean+k*residual))
			g.variance *= 1 - k*share
		}
	}
	k := r.baseTailVariance * factor / residualVariance
	r.baseTail = max(1, r.baseTail*(1+max(-0.5, k*residual)))
	r.baseTailVariance *= 1 - k*factor
	if factor < lowInterferenceFactor {
		c.meanBaseTails[image] += baseTailWeight * (r.baseTail - c.meanBaseTails[image])
	}
	r.baseTail = max(r.baseTail, c.meanBaseTails[image]/maxBaseTailDrop)
}

// initialBaseTail estimates the base tail of a run at its first sample.
func (c *Core) initialBaseTail(w *worker, image string, tail float64, r *run) float64 {
	if len(w.imageLoad) == 0 || c.meanBaseTails[image] == 0 {
		baseTail := min(tail, 0.5*float64(r.task.step.spec.TailTarget.Std().Milliseconds()))
		if len(w.imageLoad) == 0 {
			baseTail = tail
		}
		if c.meanBaseTails[image] == 0 {
			c.meanBaseTails[image] = baseTail
		}
		return max(1, baseTail)
	}
	return max(1, c.meanBaseTails[image])
}

// headroom returns the interference at which the tail latency of a run reaches a
// fraction of its target, given its base tail. It is negative if the base tail
// alone exceeds that fraction.
func (r *run) headroom(fraction, baseTail float64) float64 {
	target := float64(r.task.step.spec.TailTarget.Std().Milliseconds())
	return fraction*target/max(1, baseTail) - 1
}

// cpuShare returns the share of its worker's processors that a filling run may use
// under its current limit: the declared amount, or little more than the measured
// one if that is lower.
func (r *run) cpuShare(now time.Duration) float64 {
	millicores := float64(r.task.step.spec.Need.Millicores) * float64(r.cpuPercent) / fullPercent
	if r.phase == runListed && r.status.Gauge > 0 && now-r.orderedAt >= settleTime && now-r.cpuPercentSetAt >= settleTime {
		millicores = min(millicores, float64(r.status.Gauge)*1.2) // it may use more once other runs use less
	}
	return millicores / r.worker.millicores()
}

// imageShares returns the share of a worker's processors that each filling image
// may use.
func (w *worker) imageShares(now time.Duration) map[string]float64 {
	shares := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.spec.Filling && r.phase != runStopping {
			shares[r.task.step.spec.Image] += r.cpuShare(now)
		}
	}
	return shares
}

// interference returns the predicted interference with a serving image, as the sum
// of gains times CPU shares.
func (c *Core) interference(shares map[string]float64, serving string) float64 {
	sum := 0.0
	for filling, share := range shares {
		sum += c.gains.mean(imagePair{filling, serving}) * share
	}
	return sum
}

// allowedShare returns the further share of a worker's processors that the image of
// a step may use while every tail latency stays within a fraction of its target.
func (c *Core) allowedShare(s *step, w *worker, fraction float64) float64 {
	shares := w.imageShares(c.now)
	allowed := 1.0
	for _, r := range w.runs {
		if r.task.step.spec.TailTarget <= 0 || r.phase == runStopping {
			continue
		}
		serving := r.task.step.spec.Image
		if g := c.gains.mean(imagePair{s.spec.Image, serving}); g > 0 {
			allowed = min(allowed, max(0, c.headroomOf(r, fraction)-c.interference(shares, serving))/g)
		}
	}
	return allowed
}

// headroomOf returns the headroom of a run, which may have no samples yet.
func (c *Core) headroomOf(r *run, fraction float64) float64 {
	baseTail := r.baseTail
	if baseTail == 0 {
		baseTail = c.meanBaseTails[r.task.step.spec.Image] * unmeasuredTailFactor
	}
	if baseTail == 0 {
		return typicalHeadroom
	}
	return r.headroom(fraction, baseTail)
}

// allowedStartPercent returns the CPU share, in percent of its declared processors,
// with which a task of a filling step may begin on a worker.
func (c *Core) allowedStartPercent(s *step, w *worker) float64 {
	share, ok := w.allowedShares[s.spec.Image]
	if !ok {
		share = c.allowedShare(s, w, placementTargetShare)
		w.allowedShares[s.spec.Image] = share
	}
	return min(fullPercent, fullPercent*share*w.millicores()/max(1, float64(s.spec.Need.Millicores)))
}

// invalidate drops the values that are cached for a worker and marks it changed.
func (w *worker) invalidate() {
	clear(w.allowedShares)
	w.fillingUse = -1
	w.dirty = true
}

// recordThreshold is the relative change of a gain from which it is recorded again,
// if the gain has also changed by at least 1.
const recordThreshold = 0.3

// ChangedInterference returns the gains that were never recorded or have changed
// considerably since they were. InterferenceRecorded marks them as recorded.
func (c *Core) ChangedInterference() []lwjob.Interference {
	var list []lwjob.Interference
	for k, g := range c.gains {
		if g.recorded && math.Abs(g.mean-g.recordedMean) < max(1, recordThreshold*g.recordedMean) {
			continue
		}
		list = append(list, lwjob.Interference{FillingImage: k.filling, ServingImage: k.serving, Gain: g.mean, Variance: g.variance})
	}
	return list
}

// InterferenceRecorded tells the core that gains are committed.
func (c *Core) InterferenceRecorded(list []lwjob.Interference) {
	for _, pair := range list {
		if g := c.gains[imagePair{pair.FillingImage, pair.ServingImage}]; g != nil {
			g.recordedMean, g.recorded = pair.Gain, true
		}
	}
}

// restore loads the gains that an earlier leader recorded.
func (p pairGains) restore(list []lwjob.Interference, now time.Duration) {
	for _, pair := range list {
		p[imagePair{pair.FillingImage, pair.ServingImage}] = &gain{mean: pair.Gain, variance: pair.Variance, updatedAt: now, recordedMean: pair.Gain, recorded: true}
	}
}
