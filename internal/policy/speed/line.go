package speed

// lineFade is the share of the past that a line keeps at each timing.
const lineFade = 0.998

// line is a straight line fitted to points by least squares; older points
// fade. Its slope is never negative, since more work is never faster.
type line struct {
	count              int
	n, x, y, xx, xy    float64
	intercept, perUnit float64
}

func (l *line) add(x, y float64) {
	l.count++
	l.n = l.n*lineFade + 1
	l.x = l.x*lineFade + x
	l.y = l.y*lineFade + y
	l.xx = l.xx*lineFade + x*x
	l.xy = l.xy*lineFade + x*y
	spread := l.n*l.xx - l.x*l.x
	l.perUnit = 0
	if spread > l.n {
		l.perUnit = max(0, (l.n*l.xy-l.x*l.y)/spread)
	}
	l.intercept = (l.y - l.perUnit*l.x) / l.n
}

func (l *line) at(x float64) float64 { return l.intercept + l.perUnit*x }
