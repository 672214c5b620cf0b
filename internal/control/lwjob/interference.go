package lwjob

// Interference is the measured interference of an image of filling work with an
// image of serving tasks on the same worker. Gain is the increase of the tail latency
// of the serving tasks, relative to its value without interference, if the filling
// work uses all processors of the worker; with a smaller share of the processors the
// increase is proportionally smaller.
type Interference struct {
	FillingImage string  `json:"fills"`
	ServingImage string  `json:"serves"`
	Gain         float64 `json:"gain"`
	Variance     float64 `json:"variance"` // of the estimate of Gain
}

// maxInterferencePairs limits the stored pairs, since images change over time. Beyond
// it the pair that was added first is dropped.
const maxInterferencePairs = 4096

// RecordInterference records the measured interference of pairs of images.
func (t *Table) RecordInterference(list []Interference) {
	for _, pair := range list {
		t.recordPair(pair)
	}
}

func (t *Table) recordPair(pair Interference) {
	for i, recorded := range t.contents.Interference {
		if recorded.FillingImage == pair.FillingImage && recorded.ServingImage == pair.ServingImage {
			t.contents.Interference[i] = pair
			return
		}
	}
	if len(t.contents.Interference) >= maxInterferencePairs {
		t.contents.Interference = t.contents.Interference[1:]
	}
	t.contents.Interference = append(t.contents.Interference, pair)
}

// Interference returns the recorded interference of pairs of images.
func (t *Table) Interference() []Interference { return t.contents.Interference }
