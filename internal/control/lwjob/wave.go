package lwjob

import (
	"slices"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
)

// WaveID identifies a maintenance wave; the operator chooses it.
type WaveID int64

// MachineID identifies a machine of the platform. Each start of a machine is a new
// incarnation of a worker.
type MachineID string

// Wave is an order for the maintenance of machines, a few at a time.
type Wave struct {
	ID               WaveID          `json:"id"`
	Machines         []MachineID     `json:"machines"`
	TimeLimit        lwunit.Duration `json:"within"` // time limit of the whole wave
	MaxMachinesDown  int             `json:"cap"`    // limit of machines that are down for the wave at one time
	StartedAt        lwunit.Millis   `json:"began"`
	MaintenanceBegun []MachineID     `json:"begun,omitempty"` // machines whose maintenance has begun
}

// MachinesLeft returns the machines whose maintenance has not begun.
func (w *Wave) MachinesLeft() []MachineID {
	var left []MachineID
	for _, m := range w.Machines {
		if !slices.Contains(w.MaintenanceBegun, m) {
			left = append(left, m)
		}
	}
	return left
}

// StartWave adds a wave. It does not change a wave that exists.
func (t *Table) StartWave(w Wave) {
	if t.contents.Waves[w.ID] == nil {
		t.contents.Waves[w.ID] = &w
	}
}

// Wave returns a wave, or nil.
func (t *Table) Wave(id WaveID) *Wave { return t.contents.Waves[id] }

// Waves returns all waves in the order of their ids.
func (t *Table) Waves() []*Wave {
	list := make([]*Wave, 0, len(t.contents.Waves))
	for _, w := range t.contents.Waves {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *Wave) int { return int(a.ID - b.ID) })
	return list
}

// BeginMaintenance records that the maintenance of a machine has begun.
func (t *Table) BeginMaintenance(id WaveID, m MachineID) {
	if w := t.contents.Waves[id]; w != nil && !slices.Contains(w.MaintenanceBegun, m) {
		w.MaintenanceBegun = append(w.MaintenanceBegun, m)
	}
}
