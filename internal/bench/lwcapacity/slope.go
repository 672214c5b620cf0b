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

// NamedLine is the slope of one quantity.
type NamedLine struct {
	Name string `json:"name"`
	Busy bool   `json:"busy"`
	Line Line   `json:"line"`
}

// quantity is one measured value of a sample.
type quantity struct {
	name string
	of   func(Sample) float64
}

func quantities() []quantity {
	return []quantity{
		{"rpc bytes/s", func(s Sample) float64 { return s.BytesOut }},
		{"rpc frames/s", func(s Sample) float64 { return s.Frames }},
		{"cores", func(s Sample) float64 { return s.CPU }},
		{"heap bytes", func(s Sample) float64 { return float64(s.Heap) }},
	}
}

// Slopes fits each quantity to the number of agents, idle and busy apart.
func Slopes(samples []Sample) []NamedLine {
	var lines []NamedLine
	for _, busy := range []bool{false, true} {
		var xs []float64
		var picked []Sample
		for _, s := range samples {
			if s.Busy == busy {
				xs = append(xs, float64(s.Agents))
				picked = append(picked, s)
			}
		}
		if len(xs) < 2 {
			continue
		}
		for _, q := range quantities() {
			ys := make([]float64, len(picked))
			for i, s := range picked {
				ys[i] = q.of(s)
			}
			lines = append(lines, NamedLine{q.name, busy, Fit(xs, ys)})
		}
	}
	return lines
}

// Plot writes RPC bytes a second against agents as an SVG or PNG file.
func Plot(samples []Sample, file string) error {
	p := plot.New()
	p.Title.Text = "RPC bytes a second, all processes"
	p.X.Label.Text = "agents"
	p.Y.Label.Text = "bytes/s"
	var idle, busy plotter.XYs
	for _, s := range samples {
		point := plotter.XY{X: float64(s.Agents), Y: s.BytesOut}
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
