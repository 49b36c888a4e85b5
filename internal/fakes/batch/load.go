package batch

import "siskinsaddle/internal/base/clock"

// Load is an engine's report of its own load.
type Load struct {
	// AtMilliseconds is when the report was true, on the engine's clock.
	AtMilliseconds clock.Millis
	Running        int
	Waiting        int
	// BatchMilliseconds is the mean length of the last iterations.
	BatchMilliseconds float64
	// CacheUsed is the used share of the prefix cache.
	CacheUsed float64
}

// loads keeps reports until they are older than the lag.
type loads struct {
	lag  clock.Millis
	past []Load
}

func (b *Batch) report(now clock.Millis) {
	l := Load{
		AtMilliseconds:    now,
		Running:           len(b.running),
		Waiting:           len(b.waiting),
		BatchMilliseconds: b.mean,
		CacheUsed:         float64(b.cache.used) / float64(b.cache.limit),
	}
	b.loads.add(l)
}

func (l *loads) add(load Load) {
	if n := len(l.past); n > 0 && l.past[n-1].AtMilliseconds == load.AtMilliseconds {
		l.past[n-1] = load
	} else {
		l.past = append(l.past, load)
	}
	for len(l.past) > 1 && l.past[1].AtMilliseconds <= load.AtMilliseconds-l.lag {
		l.past = l.past[1:]
	}
}

// Load returns the report as it was LoadLag ago. An engine that has no report
// that old gives an empty one.
func (b *Batch) Load(now clock.Millis) Load {
	var found Load
	for _, l := range b.loads.past {
		if l.AtMilliseconds > now-b.loads.lag {
			break
		}
		found = l
	}
	return found
}
