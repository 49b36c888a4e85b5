// Package poison finds the prompt segments that crash backend servers. It is made for
// the load of prompts that share one segment, of which each ends the server that begins
// to answer it, beside sound prompts that share their other segments.
//
// A prompt is a suspect of a crash if its connection broke before its answer had gone on
// for SurviveTime. A segment is convicted once it was in suspects of Threshold crashes
// and no prompt with it survived in between. It takes more crashes if prompts with the
// segment survived before them. Crashes close to one another count as one:
// servers that fail together, such as with their power, convict nothing. A server that
// answers soon after has not crashed.
//
// Of several segments the one in most crashes is convicted first, and the crashes that
// it explains no longer count against the segments of other prompts. Of segments that
// always came together it is the last one, which fewer prompts have.
//
// The code is pure: the caller passes in the time and the events of all requests that it
// knows of, and evidence from other hosts.
//
// # Usage
//
//	t := poison.New(poison.Defaults())
//	t.Granted(now, poison.Request{ID: id, Server: server, Segments: names, Until: deadline})
//	t.Started(now, id)
//	t.Ended(now, id, place.OutcomeBroken)
//	<-clk.After(poison.Defaults().SettleTime)
//	for _, segment := range t.Convict(clk.Now()) { refuse(segment) }
package poison

import (
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// Settings are the parameters of the decisions. Times are in milliseconds.
type Settings struct {
	// Threshold is the number of crashes that convict a segment. Of two segments with
	// equally many crashes neither is convicted below TieThreshold, unless they always
	// came together.
	Threshold    int
	TieThreshold int
	// SurvivorThreshold is the number of crashes for a segment of which a prompt survived
	// within Window before them.
	SurvivorThreshold int
	// SurviveTime is the time after the first event by which a prompt that crashes its
	// server has done so.
	SurviveTime clock.Millis
	// EpisodeGap is the least time between two crashes that both count.
	EpisodeGap clock.Millis
	// ReportTime is the time after a crash in which suspects are added to it, and in which
	// a server that answers shows that it has not crashed. Later it may have started
	// again, under the same name too.
	ReportTime clock.Millis
	// SettleTime is the time in which most hosts have reported the suspects of a crash.
	SettleTime clock.Millis
	// Window is the time after which a crash is forgotten.
	Window clock.Millis
	// MaxCrashes bounds the number of crashes that are kept.
	MaxCrashes int
	// MaxOpen bounds the number of requests, and of surviving segments, that are tracked.
	MaxOpen int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Threshold:         3,
		TieThreshold:      4,
		SurvivorThreshold: 5,
		SurviveTime:       500,
		EpisodeGap:        50,
		ReportTime:        clock.Second,
		SettleTime:        50,
		Window:            10 * clock.Minute,
		MaxCrashes:        250,
		MaxOpen:           20_000,
	}
}

// Request is a prompt that was sent to a server.
type Request struct {
	ID string
	// Server names one incarnation of a server.
	Server string
	// Segments are the names of the prefix segments in order.
	Segments []string
	// Until is the caller's deadline.
	Until clock.Millis
}

// openRequest is a request that has not ended.
type openRequest struct {
	Request
	grantedAt clock.Millis
	// startedAt is the time of the first event, 0 before it.
	startedAt clock.Millis
	survived  bool
}

// Crash is the end of a server with the suspects known so far.
type Crash struct {
	Server string
	// Suspects holds the prefix segments of each suspect.
	Suspects [][]string
}

// Evidence is what one host has found out and others may need.
type Evidence struct {
	Crashes []Crash
	// Survived are segments of prompts that went on for long enough. Alive are servers
	// that answered after their supposed crash.
	Survived []string
	Alive    []string
}

// Empty reports whether the evidence says nothing.
func (e Evidence) Empty() bool {
	return len(e.Crashes)+len(e.Survived)+len(e.Alive) == 0
}

// crash is a supposed crash.
type crash struct {
	Crash
	at clock.Millis
}

// Tracker collects the evidence about one service. Create it with New; it is not safe for
// concurrent use.
type Tracker struct {
	settings  Settings
	open      map[string]*openRequest
	crashes   []*crash
	convicted map[string]bool
	// survivors maps the segments of prompts that survived to when they last did.
	survivors map[string]clock.Millis
	// news is the evidence since the last call of TakeEvidence.
	news Evidence
}

// New returns a Tracker without evidence.
func New(s Settings) *Tracker {
	return &Tracker{settings: s, open: map[string]*openRequest{}, convicted: map[string]bool{}, survivors: map[string]clock.Millis{}}
}

// Granted records that a request is sent to its server.
func (t *Tracker) Granted(now clock.Millis, r Request) {
	if len(t.open) >= t.settings.MaxOpen {
		t.dropExpired(now)
	}
	if len(t.open) < t.settings.MaxOpen && len(r.Segments) > 0 {
		t.open[r.ID] = &openRequest{Request: r, grantedAt: now}
	}
}

// dropExpired drops the requests whose hosts never reported their end.
func (t *Tracker) dropExpired(now clock.Millis) {
	for id, r := range t.open {
		if now > r.Until {
			delete(t.open, id)
		}
	}
}

// Started records the first event of a request.
func (t *Tracker) Started(now clock.Millis, id string) {
	r := t.open[id]
	if r == nil || r.startedAt != 0 {
		return
	}
	r.startedAt = now
	t.answered(now, r.Server)
}

// answered withdraws the crash of a server that answers after it.
func (t *Tracker) answered(now clock.Millis, server string) {
	for _, k := range t.crashes {
		if k.Server == server && now > k.at+t.settings.SettleTime && now <= k.at+t.settings.ReportTime {
			t.withdraw(now, server)
			t.news.Alive = append(t.news.Alive, server)
			return
		}
	}
}

// withdraw removes the last crash of a server.
func (t *Tracker) withdraw(now clock.Millis, server string) {
	t.crashes = slices.DeleteFunc(t.crashes, func(k *crash) bool {
		return k.Server == server && now <= k.at+2*t.settings.ReportTime
	})
}

// Ended records how a request ended. It reports whether the request is a suspect of a
// crash, so that Convict is due after SettleTime.
func (t *Tracker) Ended(now clock.Millis, id string, o place.Outcome) bool {
	r := t.open[id]
	if r == nil {
		return false
	}
	delete(t.open, id)
	if o == place.OutcomeServed {
		t.answered(now, r.Server)
		t.clear(now, r.Segments)
		return false
	}
	if t.survives(now, r) {
		return false
	}
	if o != place.OutcomeBroken {
		return false
	}
	t.addCrash(now, Crash{Server: r.Server, Suspects: [][]string{r.Segments}})
	t.news.Crashes = append(t.news.Crashes, Crash{Server: r.Server, Suspects: [][]string{r.Segments}})
	return true
}

// survives clears the segments of a request whose answer has gone on for long enough.
func (t *Tracker) survives(now clock.Millis, r *openRequest) bool {
	if r.startedAt == 0 || now < r.startedAt+t.settings.SurviveTime {
		return false
	}
	if !r.survived {
		r.survived = true
		t.clear(now, r.Segments)
	}
	return true
}

// clear withdraws the suspicion against segments.
func (t *Tracker) clear(now clock.Millis, segments []string) {
	for _, name := range segments {
		t.addSurvivor(now, name)
		if t.unsuspect(name) {
			t.news.Survived = append(t.news.Survived, name)
		}
	}
}

func (t *Tracker) addSurvivor(now clock.Millis, name string) {
	if len(t.survivors) >= t.settings.MaxOpen {
		for old, at := range t.survivors {
			if now > at+t.settings.Window {
				delete(t.survivors, old)
			}
		}
	}
	if len(t.survivors) < t.settings.MaxOpen {
		t.survivors[name] = now
	}
}

// threshold returns the number of crashes that convict a segment.
func (t *Tracker) threshold(now clock.Millis, name string) int {
	if at, ok := t.survivors[name]; ok && now <= at+t.settings.Window {
		return t.settings.SurvivorThreshold
	}
	return t.settings.Threshold
}

// unsuspect removes a segment from the suspects of all crashes, unless it was convicted.
func (t *Tracker) unsuspect(name string) bool {
	found := false
	if t.convicted[name] {
		return false
	}
	for _, k := range t.crashes {
		for i, s := range k.Suspects {
			if slices.Contains(s, name) {
				found = true
				k.Suspects[i] = slices.DeleteFunc(slices.Clone(s), func(other string) bool { return other == name })
			}
		}
	}
	return found
}

// addCrash adds suspects to the crash of a server, which may be known.
func (t *Tracker) addCrash(now clock.Millis, added Crash) {
	for _, k := range t.crashes {
		if k.Server == added.Server && now <= k.at+t.settings.ReportTime {
			k.Suspects = append(k.Suspects, added.Suspects...)
			return
		}
	}
	if len(t.crashes) >= t.settings.MaxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, &crash{Crash: Crash{Server: added.Server, Suspects: slices.Clone(added.Suspects)}, at: now})
}

// TakeEvidence returns the evidence since the last call, without what Add added.
func (t *Tracker) TakeEvidence() Evidence {
	news := t.news
	t.news = Evidence{}
	return news
}

// Add adds evidence from another host.
func (t *Tracker) Add(now clock.Millis, e Evidence) {
	for _, k := range e.Crashes {
		t.addCrash(now, k)
	}
	for _, name := range e.Survived {
		t.addSurvivor(now, name)
		t.unsuspect(name)
	}
	for _, server := range e.Alive {
		t.withdraw(now, server)
	}
}

// SetConvicted records a segment that another host has convicted.
func (t *Tracker) SetConvicted(segment string) { t.convicted[segment] = true }

// Forget withdraws a conviction.
func (t *Tracker) Forget(segment string) {
	delete(t.convicted, segment)
	t.unsuspect(segment)
}

// Convict returns the segments that the evidence convicts now.
func (t *Tracker) Convict(now clock.Millis) []string {
	t.crashes = slices.DeleteFunc(t.crashes, func(k *crash) bool { return now > k.at+t.settings.Window })
	for _, r := range t.open {
		t.survives(now, r)
	}
	var all []string
	for {
		name, ok := t.convictOne(now)
		if !ok {
			return all
		}
		t.convicted[name] = true
		all = append(all, name)
	}
}

// candidate is a segment with the number of unexplained crashes and of suspects that
// have it.
type candidate struct {
	name     string
	episodes int
	lastAt   clock.Millis
	suspects int
	// position is the position of the segment in its last suspect.
	position int
}

// convictOne returns the segment that explains most of the unexplained crashes, if that
// is enough to convict it.
func (t *Tracker) convictOne(now clock.Millis) (string, bool) {
	var unexplained []*crash
	for _, k := range t.crashes {
		if now >= k.at+t.settings.SettleTime && !t.explained(k) {
			unexplained = append(unexplained, k)
		}
	}
	ranked := slices.DeleteFunc(t.rank(unexplained), func(c *candidate) bool {
		return c.episodes < t.threshold(now, c.name)
	})
	if len(ranked) == 0 {
		return "", false
	}
	best := ranked[0]
	for _, other := range ranked[1:] {
		if other.episodes == best.episodes && best.episodes < t.settings.TieThreshold && !alwaysWith(unexplained, best.name, other.name) {
			return "", false
		}
	}
	return best.name, true
}

// explained reports whether a convicted segment is among the suspects of a crash.
func (t *Tracker) explained(k *crash) bool {
	for _, s := range k.Suspects {
		for _, name := range s {
			if t.convicted[name] {
				return true
			}
		}
	}
	return false
}

// rank returns the segments of all suspects, those of most crashes first, and the one of
// fewest suspects first among these.
func (t *Tracker) rank(crashes []*crash) []*candidate {
	byName := map[string]*candidate{}
	var ranked []*candidate
	for _, k := range crashes {
		for _, s := range k.Suspects {
			for i, name := range s {
				c := byName[name]
				if c == nil {
					c = &candidate{name: name, lastAt: k.at, episodes: 1}
					byName[name] = c
					ranked = append(ranked, c)
				}
				if k.at >= c.lastAt+t.settings.EpisodeGap {
					c.episodes, c.lastAt = c.episodes+1, k.at
				}
				c.suspects, c.position = c.suspects+1, i
			}
		}
	}
	sort.SliceStable(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		switch {
		case a.episodes != b.episodes:
			return a.episodes > b.episodes
		case a.suspects != b.suspects:
			return a.suspects < b.suspects
		default:
			return a.position > b.position
		}
	})
	return ranked
}

// alwaysWith reports whether each suspect that has one segment has the other one too.
func alwaysWith(crashes []*crash, name, other string) bool {
	for _, k := range crashes {
		for _, s := range k.Suspects {
			if slices.Contains(s, name) && !slices.Contains(s, other) {
				return false
			}
		}
	}
	return true
}
