package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// losingTime is for how long a server loses the ends of answers.
	losingTime = 6500 * time.Millisecond
	// maxClosed is the number of channels that the rule allows a host to close.
	maxClosed = 3
)

// playLostEnds sends streams on kept channels, while one of three servers runs its requests
// and loses the end of part of its answers, behind the last event. The hosts resume these
// streams at another server, which has no more events and ends an empty stream in order. The
// hosts may close at most three channels without the end of such an answer.
func playLostEnds(l *lab) ([]string, error) {
	if err := l.config(); err != nil {
		return nil, err
	}
	var servers []*backend
	for range 3 {
		b, err := l.addServer()
		if err != nil {
			return nil, err
		}
		b.endsEmpty = true
		servers = append(servers, b)
	}
	if err := l.startHosts(hostCount); err != nil {
		return nil, err
	}
	time.Sleep(boundContact)
	servers[0].losing.Store(l.trouble)
	l.log("server %s loses the end of part of its answers: %t", servers[0].id, l.trouble)
	var mu sync.Mutex
	var all sync.WaitGroup
	closed := map[string]string{}
	for _, h := range l.hosts {
		all.Go(func() {
			for until := time.Now().Add(losingTime); time.Now().Before(until); {
				id, err := l.streamsOnChannel(h, until)
				if err != nil {
					l.log("the channel of %s to %s was closed: %v", id, h.name, err)
					mu.Lock()
					closed[id] = h.name
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	lines := closedAfterSoundRun(servers, closed)
	if len(lines) <= maxClosed {
		return nil, nil
	}
	return lines, nil
}

// streamsOnChannel sends one stream after the other on a channel, until a time or until the
// channel ends. It returns the ID of the last request and how its answer ended.
func (l *lab) streamsOnChannel(h *host, until time.Time) (string, error) {
	c, err := l.dial(h)
	if err != nil {
		return "", err
	}
	defer c.close()
	for time.Now().Before(until) {
		if err := c.send(http.MethodPost, streamPrefix+"12", ""); err != nil {
			return c.id, err
		}
		response, err := c.receive(http.MethodPost)
		if err != nil {
			return c.id, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // it was read to its end
		if err != nil {
			return c.id, err
		}
	}
	return c.id, nil
}

// closedAfterSoundRun returns a line for each request whose channel was closed although a
// sound server, which loses nothing, has answered it to its end.
func closedAfterSoundRun(servers []*backend, closed map[string]string) []string {
	var lines []string
	for _, b := range servers[1:] {
		for _, a := range b.runs() {
			if name, ok := closed[a.id]; ok {
				lines = append(lines, fmt.Sprintf("LOST: request %s, sent to %s, was passed on to the sound server %s, which answered it, and its channel was closed",
					a.id, name, b.id))
			}
		}
	}
	return lines
}
