package lwjob

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// WaveID numbers upkeep waves, as the operator chose.
type WaveID int64

// MachineID names a machine of the platform; a worker is one life of it.
type MachineID string

// Wave is an order to have machines maintained, a few at a time.
type Wave struct {
	ID       WaveID          `json:"id"`
	Machines []MachineID     `json:"machines"`
	Within   lwunit.Duration `json:"within"` // time that the whole wave may take
	Cap      int             `json:"cap"`    // machines down for it at one time
	Began    lwunit.Millis   `json:"began"`
	Begun    []MachineID     `json:"begun,omitempty"` // machines whose upkeep has begun
}

// Left returns the machines whose upkeep has not begun.
func (w *Wave) Left() []MachineID {
	var left []MachineID
	for _, m := range w.Machines {
		if !slices.Contains(w.Begun, m) {
			left = append(left, m)
		}
	}
	return left
}

// StartWave adds a wave; the same number again changes nothing.
func (t *Table) StartWave(w Wave) {
	if t.c.Waves[w.ID] == nil {
		t.c.Waves[w.ID] = &w
	}
}

// Wave returns a wave, or nil.
func (t *Table) Wave(id WaveID) *Wave { return t.c.Waves[id] }

// Waves returns every wave in order.
func (t *Table) Waves() []*Wave {
	list := make([]*Wave, 0, len(t.c.Waves))
	for _, w := range t.c.Waves {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *Wave) int { return int(a.ID - b.ID) })
	return list
}

// BeginUpkeep notes that the upkeep of a machine has begun.
func (t *Table) BeginUpkeep(id WaveID, m MachineID) {
	if w := t.c.Waves[id]; w != nil && !slices.Contains(w.Begun, m) {
		w.Begun = append(w.Begun, m)
	}
}
