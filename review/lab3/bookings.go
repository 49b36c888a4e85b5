package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// failingTime is for how long a server fails part of its requests.
	failingTime = 6500 * time.Millisecond
	// bookingPause is the time between two bookings at a host.
	bookingPause = 250 * time.Millisecond
)

// playFailedBookings sends bookings, which may run once, while one of three servers fails
// part of them after it has run them, with 503 and without the field that says that it has
// not run them. A caller that is told 503 books once more. No booking that is answered 503 or
// 429 may have run.
func playFailedBookings(l *lab) ([]string, error) {
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
	servers[0].failing.Store(l.trouble)
	l.log("server %s fails part of its requests: %t", servers[0].id, l.trouble)
	var all sync.WaitGroup
	for i, h := range l.hosts {
		all.Go(func() {
			for n, until := 0, time.Now().Add(failingTime); time.Now().Before(until); n++ {
				l.book(h, l.hosts[(i+1)%len(l.hosts)], fmt.Sprintf("%s%d-%d", unsafePrefix, i, n))
				time.Sleep(bookingPause)
			}
		})
	}
	all.Wait()
	servers[0].failing.Store(false)
	return l.falseRefusals(servers), nil
}

// book sends a booking, and once more to another host if the first answer promises that it
// has not run.
func (l *lab) book(h, other *host, path string) {
	if c := l.call(h, http.MethodPost, path); promisesNotRun(c.status) {
		l.call(other, http.MethodPost, path)
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// falseRefusals returns a line for each request that has run although its answer promises
// that it has not.
func (l *lab) falseRefusals(servers []*backend) []string {
	ran := map[string]string{}
	for _, b := range servers {
		for _, a := range b.runs() {
			ran[a.id] = a.server
		}
	}
	var lines []string
	for _, c := range l.calls {
		if server, ok := ran[c.id]; ok && promisesNotRun(c.status) {
			lines = append(lines, fmt.Sprintf("REFUSED: request %s, sent to %s, was answered %d and has run at %s", c.id, c.host.name, c.status, server))
		}
	}
	return lines
}
