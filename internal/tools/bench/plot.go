package bench

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"siskinsaddle/internal/base/clock"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotWindow is the number of samples in the attainment's moving average.
	plotWindow = 4
)

// curve is one time series. y returns ok false where it has no value.
type curve struct {
	name  string
	label string
	y     func(series []Sample, at int) (value float64, ok bool)
}

var curves = []curve{
	{"attainment", "share of arrivals within target", attainedAt},
	{"urgent", "share of tier 1 arrivals within target", urgentAt},
	{"waiting", "requests waiting for the first token", waitingAt},
}

// Plot writes each curve as PNG and SVG, to files whose names begin with path.
func (r Report) Plot(path string) error {
	for _, c := range curves {
		p, err := r.draw(c)
		if err != nil {
			return errors.Wrapf(err, "draw %s", c.name)
		}
		for _, kind := range []string{".png", ".svg"} {
			if err := p.Save(plotWidth, plotHeight, path+"-"+c.name+kind); err != nil {
				return errors.Wrapf(err, "write %s", path+"-"+c.name+kind)
			}
		}
	}
	return nil
}

func (r Report) draw(c curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.label
	p.Legend.Top = true
	for i, f := range r.Policies {
		line, err := plotter.NewLine(c.points(f.Series))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(f.Policy), line)
	}
	return p, nil
}

func (c curve) points(series []Sample) plotter.XYs {
	var points plotter.XYs
	for i, s := range series {
		if y, ok := c.y(series, i); ok {
			points = append(points, plotter.XY{X: float64(s.AtMilliseconds) / float64(clock.Second), Y: y})
		}
	}
	return points
}

func lastSamples(series []Sample, at int) []Sample {
	return series[max(0, at-plotWindow+1) : at+1]
}

func attainedAt(series []Sample, at int) (value float64, ok bool) {
	attained, arrived := 0, 0
	for _, s := range lastSamples(series, at) {
		attained += s.Attained
		arrived += s.Arrived
	}
	return share(attained, arrived), arrived > 0
}

func urgentAt(series []Sample, at int) (value float64, ok bool) {
	attained, arrived := 0, 0
	for _, s := range lastSamples(series, at) {
		attained += s.UrgentAttained
		arrived += s.UrgentArrived
	}
	return share(attained, arrived), arrived > 0
}

func waitingAt(series []Sample, at int) (value float64, ok bool) {
	return float64(series[at].Waiting), true
}
