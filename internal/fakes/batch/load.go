package batch

import "siskinsaddle/internal/base/clock"

// Load is the load that an engine reports.
type Load struct {
	// AtMilliseconds is when the load was measured, on the engine's clock.
	AtMilliseconds clock.Millis
	Running        int
	Waiting        int
	// BatchMilliseconds is the moving average of the length of an iteration.
	BatchMilliseconds float64
	// CacheUsed is the used fraction of the prefix cache, 0 to 1.
	CacheUsed float64
}

// loadHistory keeps the load reports that are younger than the lag, and the
// latest one that is not: the report that callers see now.
type loadHistory struct {
	lag     clock.Millis
	reports []Load
}

func (b *Batch) recordLoad(now clock.Millis) {
	l := Load{
		AtMilliseconds:    now,
		Running:           len(b.running),
		Waiting:           len(b.waiting),
		BatchMilliseconds: b.mean,
		CacheUsed:         float64(b.cache.used) / float64(b.cache.capacity),
	}
	b.loads.add(l)
}

func (l *loadHistory) add(load Load) {
	if n := len(l.reports); n > 0 && l.reports[n-1].AtMilliseconds == load.AtMilliseconds {
		l.reports[n-1] = load
	} else {
		l.reports = append(l.reports, load)
	}
	for len(l.reports) > 1 && l.reports[1].AtMilliseconds <= load.AtMilliseconds-l.lag {
		l.reports = l.reports[1:]
	}
}

// Load returns the load as it was LoadLag milliseconds ago, the zero value if no
// report is that old.
func (b *Batch) Load(now clock.Millis) Load {
	var found Load
	for _, l := range b.loads.reports {
		if l.AtMilliseconds > now-b.loads.lag {
			break
		}
		found = l
	}
	return found
}
