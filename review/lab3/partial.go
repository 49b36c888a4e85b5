package main

import "time"

// The times of playPartialOutage, from the beginning of a cycle.
const (
	// outageTime is the length of an outage of the table of servers.
	outageTime = 3500 * time.Millisecond
	// removalDelay is the time from the end of the outage to the removal of an entry. The
	// store is stable again by then.
	removalDelay = boundContact + 50*time.Millisecond
	// quietTime is the time without calls after the removal.
	quietTime = boundDrain + 300*time.Millisecond
	// probePeriod is the time between two rounds of calls after it.
	probePeriod  = 400 * time.Millisecond
	probes       = 4
	restTime     = 600 * time.Millisecond
	outageCycles = 8
	hostCount    = 7
)

// playPartialOutage makes the table of servers unavailable for some seconds, while the rest
// of the store answers. When the store has been stable again for contact_ms, a server
// leaves without a word: its entry is removed, and it goes on serving for a while. No call
// may reach it later than drain_ms after that.
func playPartialOutage(l *lab) ([]string, error) {
	if err := l.config(); err != nil {
		return nil, err
	}
	var servers []*backend
	for range 3 {
		b, err := l.addServer()
		if err != nil {
			return nil, err
		}
		servers = append(servers, b)
	}
	if err := l.startHosts(hostCount); err != nil {
		return nil, err
	}
	time.Sleep(boundContact)
	var broken []string
	for range outageCycles {
		lines, fresh, err := l.outageCycle(servers[0])
		if err != nil {
			return nil, err
		}
		broken = append(broken, lines...)
		servers = append(servers[1:], fresh)
	}
	return broken, nil
}

// outageCycle plays one outage, after which a server leaves. It returns the server that
// replaces it.
func (l *lab) outageCycle(leaver *backend) ([]string, *backend, error) {
	l.callAll(3)
	if l.trouble {
		l.log("store: the table of servers is unavailable")
		l.store.setDown(registry, true)
	}
	time.Sleep(outageTime)
	if l.trouble {
		l.store.setDown(registry, false)
		l.log("store: the table of servers answers again")
	}
	time.Sleep(removalDelay - 500*time.Millisecond)
	fresh, err := l.addServer()
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(350 * time.Millisecond)
	go l.callAll(3)
	time.Sleep(150 * time.Millisecond)
	leaver.leaving.Store(true)
	l.store.remove(registry, leaver.id)
	left := time.Now()
	l.log("store accepts: the entry of %s is removed; it goes on serving for a while", leaver.id)
	time.Sleep(quietTime)
	for range probes {
		go l.callAll(3)
		time.Sleep(probePeriod)
	}
	time.Sleep(restTime)
	leaver.end()
	l.log("server %s has ended", leaver.id)
	return l.lateRuns(leaver, left, left.Add(boundDrain+boundMargin)), fresh, nil
}
