package lwjob

// Disturbance is what was learned of two images side by side: by how many times
// its undisturbed value the one that fills raises the tail of the one that
// serves, for each share of the worker's processors that it uses.
type Disturbance struct {
	Fills    string  `json:"fills"`
	Serves   string  `json:"serves"`
	Gain     float64 `json:"gain"`
	Variance float64 `json:"variance"`
}

// maxDisturbances bounds what is remembered; images come and go.
const maxDisturbances = 4096

// Learn records what was learned of pairs of images.
func (t *Table) Learn(list []Disturbance) {
	for _, d := range list {
		t.learn(d)
	}
}

func (t *Table) learn(d Disturbance) {
	for i, old := range t.c.Disturbances {
		if old.Fills == d.Fills && old.Serves == d.Serves {
			t.c.Disturbances[i] = d
			return
		}
	}
	if len(t.c.Disturbances) >= maxDisturbances {
		t.c.Disturbances = t.c.Disturbances[1:]
	}
	t.c.Disturbances = append(t.c.Disturbances, d)
}

// Disturbances returns what was learned so far.
func (t *Table) Disturbances() []Disturbance { return t.c.Disturbances }
