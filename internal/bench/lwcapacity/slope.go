package lwcapacity

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// NamedLine is the fit of one quantity.
type NamedLine struct {
	Name string `json:"name"`
	Busy bool   `json:"busy"`
	Line Line   `json:"line"`
}

// quantity is one of the measured quantities of a sample.
type quantity struct {
	name  string
	value func(Sample) float64
}

func quantities() []quantity {
	return []quantity{
		{"rpc bytes/s", func(s Sample) float64 { return s.BytesPerSecond }},
		{"rpc frames/s", func(s Sample) float64 { return s.FramesPerSecond }},
		{"cores", func(s Sample) float64 { return s.Cores }},
		{"heap bytes", func(s Sample) float64 { return float64(s.HeapBytes) }},
	}
}

// Slopes fits each quantity to the number of agents, separately for idle and busy
// agents.
func Slopes(samples []Sample) []NamedLine {
	var lines []NamedLine
	for _, busy := range []bool{false, true} {
		var xs []float64
		var selected []Sample
		for _, s := range samples {
			if s.Busy == busy {
				xs = append(xs, float64(s.Agents))
				selected = append(selected, s)
			}
		}
		if len(xs) < 2 {
			continue
		}
		for _, q := range quantities() {
			ys := make([]float64, len(selected))
			for i, s := range selected {
				ys[i] = q.value(s)
			}
			lines = append(lines, NamedLine{q.name, busy, Fit(xs, ys)})
		}
	}
	return lines
}

// Plot plots RPC bytes a second against the number of agents. The extension of file
// selects SVG or PNG.
func Plot(samples []Sample, file string) error {
	p := plot.New()
	p.Title.Text = "RPC bytes a second, all processes"
	p.X.Label.Text = "agents"
	p.Y.Label.Text = "bytes/s"
	var idle, busy plotter.XYs
	for _, s := range samples {
		point := plotter.XY{X: float64(s.Agents), Y: s.BytesPerSecond}
		if s.Busy {
			busy = append(busy, point)
		} else {
			idle = append(idle, point)
		}
	}
	if err := plotutil.AddLinePoints(p, "idle", idle, "16 tasks a worker", busy); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
