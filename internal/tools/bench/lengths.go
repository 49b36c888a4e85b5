package bench

// lengths predicts output lengths from what has ended so far.
type lengths struct {
	known map[string]float64
}

const lengthSmoothing = 0.05

func (l *lengths) key(r *request) string { return r.class.Name + "/" + r.workspace }

func (l *lengths) predict(r *request) int { return int(l.known[l.key(r)]) }

func (l *lengths) learn(r *request) {
	key := l.key(r)
	before, ok := l.known[key]
	if !ok {
		before = float64(r.got)
	}
	l.known[key] = before + lengthSmoothing*(float64(r.got)-before)
}
