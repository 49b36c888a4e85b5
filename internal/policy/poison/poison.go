// Package poison finds the prompt segments that crash backend servers. It is made for
// the load of prompts that share one segment, of which each ends the server that begins
// to answer it, beside sound prompts that share their other segments.
//
// A prompt is a suspect of a crash if its connection broke before its answer had gone on
// for SurviveTime. A segment counts as poisoned once it was in suspects of Threshold crashes
// and no prompt with it survived in between. It takes more crashes if prompts with the
// segment survived before them. Crashes close to one another count as one:
// servers that fail together, such as with their power, show nothing. A server that
// answers soon after has not crashed.
//
// Of several segments the one in most crashes is taken first, and the crashes that
// it explains no longer count against the segments of other prompts. Of segments that
// always came together it is the last one, which fewer prompts have.
//
// The code is pure: the caller passes in the time and the events of all requests that it
// knows of, and observations from other hosts.
//
// # Usage
//
//	t := poison.New(poison.Defaults())
//	t.Granted(now, poison.Request{ID: id, Server: server, Segments: names, Until: deadline})
//	t.Started(now, id)
//	t.Ended(now, id, place.OutcomeBroken)
//	<-clk.After(poison.Defaults().SettleTime)
//	for _, segment := range t.Detect(clk.Now()) { refuse(segment) }
package poison

import (
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// Settings are the parameters of the decisions. Times are in milliseconds.
type Settings struct {
	// Threshold is the number of crashes after which a segment counts as poisoned. Of two segments with
	// equally many crashes neither counts below TieThreshold, unless they always
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

// Observations is what one host has found out and others may need.
type Observations struct {
	Crashes []Crash
	// Survived are segments of prompts that went on for long enough. Alive are servers
	// that answered after their supposed crash.
	Survived []string
	Alive    []string
}

// Empty reports whether the observations says nothing.
func (e Observations) Empty() bool {
	return len(e.Crashes)+len(e.Survived)+len(e.Alive) == 0
}

// crash is a supposed crash.
type crash struct {
	Crash
	at clock.Millis
}

// Detector collects the observations about one service. Create it with New; it is not safe
// for concurrent use.
type Detector struct {
	settings Settings
	open     map[string]*openRequest
	crashes  []*crash
	poisoned map[string]bool
	// survivors maps the segments of prompts that survived to when they last did.
	survivors map[string]clock.Millis
	// prunedAt is when expired requests and survivors were last dropped.
	prunedAt clock.Millis
	// unsent are the observations since the last call of TakeObservations.
	unsent Observations
}

// New returns a Detector without observations.
func New(s Settings) *Detector {
	return &Detector{settings: s, open: map[string]*openRequest{}, poisoned: map[string]bool{}, survivors: map[string]clock.Millis{}}
}

// Granted records that a request is sent to its server.
func (d *Detector) Granted(now clock.Millis, r Request) {
	d.prune(now)
	if len(d.open) < d.settings.MaxOpen && len(r.Segments) > 0 {
		d.open[r.ID] = &openRequest{Request: r}
	}
}

// prunePeriod is the time between two calls of prune that do something, in milliseconds.
const prunePeriod = 10 * clock.Second

// prune drops the requests whose hosts never reported their end, and survivors that no
// longer count.
func (d *Detector) prune(now clock.Millis) {
	if now < d.prunedAt+prunePeriod {
		return
	}
	d.prunedAt = now
	for id, r := range d.open {
		if now > r.Until {
			delete(d.open, id)
		}
	}
	for name, at := range d.survivors {
		if now > at+d.settings.Window {
			delete(d.survivors, name)
		}
	}
}

// Started records the first event of a request.
func (d *Detector) Started(now clock.Millis, id string) {
	r := d.open[id]
	if r == nil || r.startedAt != 0 {
		return
	}
	r.startedAt = now
	d.answered(now, r.Server)
}

// answered withdraws the crash of a server that answers after it.
func (d *Detector) answered(now clock.Millis, server string) {
	for _, k := range d.crashes {
		if k.Server == server && now > k.at+d.settings.SettleTime && now <= k.at+d.settings.ReportTime {
			d.withdraw(now, server)
			d.unsent.Alive = append(d.unsent.Alive, server)
			return
		}
	}
}

// withdraw removes the last crash of a server.
func (d *Detector) withdraw(now clock.Millis, server string) {
	d.crashes = slices.DeleteFunc(d.crashes, func(k *crash) bool {
		return k.Server == server && now <= k.at+2*d.settings.ReportTime
	})
}

// Ended records how a request ended. It reports whether the request is a suspect of a
// crash, so that Detect is due after SettleTime.
func (d *Detector) Ended(now clock.Millis, id string, o place.Outcome) bool {
	r := d.open[id]
	if r == nil {
		return false
	}
	delete(d.open, id)
	if o == place.OutcomeServed {
		d.answered(now, r.Server)
		d.clear(now, r.Segments)
		return false
	}
	if d.survives(now, r) {
		return false
	}
	if o != place.OutcomeBroken {
		return false
	}
	d.addCrash(now, Crash{Server: r.Server, Suspects: [][]string{r.Segments}})
	d.unsent.Crashes = append(d.unsent.Crashes, Crash{Server: r.Server, Suspects: [][]string{r.Segments}})
	return true
}

// survives clears the segments of a request whose answer has gone on for long enough.
func (d *Detector) survives(now clock.Millis, r *openRequest) bool {
	if r.startedAt == 0 || now < r.startedAt+d.settings.SurviveTime {
		return false
	}
	if !r.survived {
		r.survived = true
		d.clear(now, r.Segments)
	}
	return true
}

// clear withdraws the suspicion against segments.
func (d *Detector) clear(now clock.Millis, segments []string) {
	for _, name := range segments {
		d.addSurvivor(now, name)
		if d.unsuspect(name) {
			d.unsent.Survived = append(d.unsent.Survived, name)
		}
	}
}

func (d *Detector) addSurvivor(now clock.Millis, name string) {
	if _, ok := d.survivors[name]; ok || len(d.survivors) < d.settings.MaxOpen {
		d.survivors[name] = now
	}
}

// threshold returns the number of crashes after which a segment counts as poisoned.
func (d *Detector) threshold(now clock.Millis, name string) int {
	if at, ok := d.survivors[name]; ok && now <= at+d.settings.Window {
		return d.settings.SurvivorThreshold
	}
	return d.settings.Threshold
}

// unsuspect removes a segment from the suspects of all crashes, unless it was poisoned.
func (d *Detector) unsuspect(name string) bool {
	found := false
	if d.poisoned[name] {
		return false
	}
	for _, k := range d.crashes {
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
func (d *Detector) addCrash(now clock.Millis, added Crash) {
	for _, k := range d.crashes {
		if k.Server == added.Server && now <= k.at+d.settings.ReportTime {
			k.Suspects = append(k.Suspects, added.Suspects...)
			return
		}
	}
	if len(d.crashes) >= d.settings.MaxCrashes {
		d.crashes = d.crashes[1:]
	}
	d.crashes = append(d.crashes, &crash{Crash: Crash{Server: added.Server, Suspects: slices.Clone(added.Suspects)}, at: now})
}

// TakeObservations returns the observations since the last call, without what Add added.
func (d *Detector) TakeObservations() Observations {
	unsent := d.unsent
	d.unsent = Observations{}
	return unsent
}

// Add adds observations from another host.
func (d *Detector) Add(now clock.Millis, e Observations) {
	for _, k := range e.Crashes {
		d.addCrash(now, k)
	}
	for _, name := range e.Survived {
		d.addSurvivor(now, name)
		d.unsuspect(name)
	}
	for _, server := range e.Alive {
		d.withdraw(now, server)
	}
}

// SetPoisoned records a segment that another host has poisoned.
func (d *Detector) SetPoisoned(segment string) { d.poisoned[segment] = true }

// Forget takes a segment off the poisoned ones.
func (d *Detector) Forget(segment string) {
	delete(d.poisoned, segment)
	d.unsuspect(segment)
}

// Detect returns the segments that the observations show to be poisoned, and that were not
// known yet.
func (d *Detector) Detect(now clock.Millis) []string {
	d.crashes = slices.DeleteFunc(d.crashes, func(k *crash) bool { return now > k.at+d.settings.Window })
	for _, r := range d.open {
		d.survives(now, r)
	}
	var all []string
	for {
		name, ok := d.detectOne(now)
		if !ok {
			return all
		}
		d.poisoned[name] = true
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

// detectOne returns the segment that explains most of the unexplained crashes, if that
// is enough for one.
func (d *Detector) detectOne(now clock.Millis) (string, bool) {
	var unexplained []*crash
	for _, k := range d.crashes {
		if now >= k.at+d.settings.SettleTime && !d.explained(k) {
			unexplained = append(unexplained, k)
		}
	}
	ranked := slices.DeleteFunc(d.rank(unexplained), func(c *candidate) bool {
		return c.episodes < d.threshold(now, c.name)
	})
	if len(ranked) == 0 {
		return "", false
	}
	best := ranked[0]
	for _, other := range ranked[1:] {
		if other.episodes == best.episodes && best.episodes < d.settings.TieThreshold && !alwaysWith(unexplained, best.name, other.name) {
			return "", false
		}
	}
	return best.name, true
}

// explained reports whether a poisoned segment is among the suspects of a crash.
func (d *Detector) explained(k *crash) bool {
	for _, s := range k.Suspects {
		for _, name := range s {
			if d.poisoned[name] {
				return true
			}
		}
	}
	return false
}

// rank returns the segments of all suspects, those of most crashes first, and the one of
// fewest suspects first among these.
func (d *Detector) rank(crashes []*crash) []*candidate {
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
				if k.at >= c.lastAt+d.settings.EpisodeGap {
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
