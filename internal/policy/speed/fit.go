package speed

// lineDecay is the factor by which the weight of earlier samples decays at each
// new sample.
const lineDecay = 0.998

// linearFit is an exponentially weighted least-squares linear fit. Its slope is
// clamped at 0, since more work never takes less time.
type linearFit struct {
	count              int
	n, x, y, xx, xy    float64
	intercept, perUnit float64
}

func (l *linearFit) add(x, y float64) {
	l.count++
	l.n = l.n*lineDecay + 1
	l.x = l.x*lineDecay + x
	l.y = l.y*lineDecay + y
	l.xx = l.xx*lineDecay + x*x
	l.xy = l.xy*lineDecay + x*y
	spread := l.n*l.xx - l.x*l.x
	l.perUnit = 0
	if spread > l.n {
		l.perUnit = max(0, (l.n*l.xy-l.x*l.y)/spread)
	}
	l.intercept = (l.y - l.perUnit*l.x) / l.n
}

func (l *linearFit) at(x float64) float64 { return l.intercept + l.perUnit*x }
