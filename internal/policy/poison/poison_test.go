package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// simulation sends prompts to servers, each of which crashes on the segment "poison" and
// is then a new incarnation.
type simulation struct {
	detector *Detector
	now      clock.Millis
	sent     int
	restarts int
	// open are the requests at each server.
	open map[string][]string
}

func newSimulation() *simulation {
	return &simulation{detector: New(Defaults()), open: map[string][]string{}}
}

func (s *simulation) send(server string, segments ...string) string {
	s.sent++
	id := fmt.Sprint("r", s.sent)
	s.detector.Granted(s.now, Request{ID: id, Server: server, Segments: segments, Until: s.now + 10*clock.Second})
	s.open[server] = append(s.open[server], id)
	return id
}

// crash breaks all requests at a server.
func (s *simulation) crash(server string) {
	for _, id := range s.open[server] {
		s.detector.Ended(s.now, id, place.OutcomeBroken)
	}
	delete(s.open, server)
}

func (s *simulation) serve(server string, segments ...string) {
	id := s.send(server, segments...)
	s.detector.Started(s.now, id)
	s.detector.Ended(s.now, id, place.OutcomeServed)
}

// detect returns the poisoned segments once all crashes are settled.
func (s *simulation) detect() []string {
	s.now += Defaults().SettleTime
	return s.detector.Detect(s.now)
}

func TestThirdCrashShowsOnlyThePoisonedSegment(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for i := range 3 {
		server := fmt.Sprint("s", i)
		c.Assert(s.detect(), qt.HasLen, 0)
		s.send(server, "shared", fmt.Sprint("topic", i))
		s.send(server, "shared", "poison")
		s.crash(server)
		s.now += clock.Second
		if i < 2 {
			s.serve("healthy", "shared", "another topic")
		}
	}
	c.Assert(s.detect(), qt.DeepEquals, []string{"poison"})
	// Further crashes are explained by it.
	for i := range 4 {
		server := fmt.Sprint("later", i)
		s.send(server, "shared", "topic")
		s.send(server, "other", "poison")
		s.crash(server)
		s.now += clock.Second
	}
	c.Assert(s.detect(), qt.HasLen, 0)
}

// All servers fail at one moment, three times, with prompts of the same segments.
func TestMassCrashShowsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for n := range 3 {
		for i := range 12 {
			s.send(fmt.Sprint("s", n, i), "shared", fmt.Sprint("topic", i%3))
		}
		for i := range 12 {
			s.crash(fmt.Sprint("s", n, i))
			s.now++
		}
		c.Assert(s.detect(), qt.HasLen, 0)
		s.now += 10 * clock.Second
		for i := range 3 {
			s.serve("back", "shared", fmt.Sprint("topic", i))
		}
	}
}

// Servers are replaced one after the other and cut off what they run, which has been
// answered for a while or survives elsewhere.
func TestReleaseShowsNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		s := newSimulation()
		for i := range 20 {
			s.serve("new", fmt.Sprint("topic", i))
		}
		for n := range 12 {
			old := fmt.Sprint("old", n)
			for range 4 {
				id := s.send(old, fmt.Sprint("shared", random.IntN(4)), fmt.Sprint("topic", random.IntN(20)))
				s.detector.Started(s.now, id)
				s.now += 100
			}
			s.now += clock.Millis(random.IntN(1_000))
			for i := range 44 {
				s.serve("new", fmt.Sprint("shared", i%4), fmt.Sprint("topic", random.IntN(20)))
			}
			s.crash(old)
			if got := s.detect(); len(got) > 0 {
				rt.Fatalf("detected %v", got)
			}
		}
	})
}

// A host that was frozen, or whose connections were reset, reports broken connections to
// servers that go on answering.
func TestServerThatAnswersLaterHasNotCrashed(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for i := range 6 {
		server := fmt.Sprint("s", i)
		other := s.send(server, "other")
		s.open[server] = nil
		s.send(server, "only", "topic")
		s.crash(server)
		s.now += 600
		s.detector.Started(s.now, other)
		s.now += clock.Second
		c.Assert(s.detect(), qt.HasLen, 0)
	}
}

// The only server of a service is back under its old name after each crash.
func TestCrashesOfOneServerCount(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for i := range 3 {
		s.send("s", "poison")
		s.crash("s")
		s.now += 3 * clock.Second
		s.serve("s", "sound")
		if i < 2 {
			c.Assert(s.detect(), qt.HasLen, 0)
		}
	}
	c.Assert(s.detect(), qt.DeepEquals, []string{"poison"})
}

func TestLastOfSegmentsThatAlwaysComeTogetherIsTaken(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for i := range 3 {
		s.send(fmt.Sprint("s", i), "first", "second")
		s.crash(fmt.Sprint("s", i))
		s.now += clock.Second
	}
	c.Assert(s.detect(), qt.DeepEquals, []string{"second"})
}

// Two segments are in each of three crashes, in prompts of their own. The fourth tells
// them apart.
func TestTiedSegmentsWaitForAnotherCrash(t *testing.T) {
	c := qt.New(t)
	s := newSimulation()
	for i := range 3 {
		server := fmt.Sprint("s", i)
		s.send(server, "sound")
		s.send(server, "poison")
		s.crash(server)
		s.now += clock.Second
	}
	c.Assert(s.detect(), qt.HasLen, 0)
	s.send("s3", "poison")
	s.crash("s3")
	c.Assert(s.detect(), qt.DeepEquals, []string{"poison"})
}

func TestEvidenceOfTwoHostsCountsTogether(t *testing.T) {
	c := qt.New(t)
	a, b := newSimulation(), newSimulation()
	for i := range 3 {
		from := []*simulation{a, b}[i%2]
		from.send(fmt.Sprint("s", i), "shared", "poison")
		from.crash(fmt.Sprint("s", i))
		from.serve("healthy", "shared")
		e := from.detector.TakeObservations()
		c.Assert(e.Survived, qt.DeepEquals, []string{"shared"})
		to := []*simulation{b, a}[i%2]
		to.detector.Add(to.now, e)
		a.now += clock.Second
		b.now = a.now
	}
	c.Assert(a.detect(), qt.DeepEquals, []string{"poison"})
	c.Assert(b.detect(), qt.DeepEquals, []string{"poison"})
}

// Random prompts of which one segment crashes its server: it is detected within five
// crashes, and no other segment.
func TestOnlyThePoisonedSegmentIsDetectedAmongRandomPrompts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		s := newSimulation()
		crashes := 0
		for range 3_000 {
			s.now += clock.Millis(random.IntN(60))
			server := fmt.Sprint("s", random.IntN(12), "#", s.restarts)
			first, second := fmt.Sprint("first", random.IntN(8)), fmt.Sprint("second", random.IntN(80))
			switch {
			case random.IntN(40) == 0:
				s.send(server, first, "poison")
				s.restarts++
				crashes++
				s.now += 30
				s.crash(server)
				s.open = map[string][]string{}
			case random.IntN(10) == 0:
				s.detector.Started(s.now, s.send(server, first, second))
			default:
				s.serve(server, first, second)
			}
			s.now += Defaults().SettleTime
			for _, name := range s.detector.Detect(s.now) {
				if name != "poison" || crashes > 5 {
					rt.Fatalf("detected %s after %d crashes", name, crashes)
				}
				return
			}
		}
		rt.Fatalf("nothing was detected in %d crashes", crashes)
	})
}

// BenchmarkPrompt is one prompt that is granted, starts and is served beside 2,000 others.
func BenchmarkPrompt(b *testing.B) {
	s := newSimulation()
	for i := range 2_000 {
		s.send("busy", fmt.Sprint("first", i%20), fmt.Sprint("topic", i))
	}
	for i := 0; b.Loop(); i++ {
		s.serve("s", "first1", fmt.Sprint("topic", i%2_000))
		s.open["s"] = nil
	}
}

// BenchmarkDetect is the evaluation of the most crashes that are kept, with four suspects
// each and 2,000 open prompts.
func BenchmarkDetect(b *testing.B) {
	s := newSimulation()
	for i := range 2_000 {
		s.send("busy", fmt.Sprint("first", i%20), fmt.Sprint("topic", i))
	}
	for i := range Defaults().MaxCrashes {
		server := fmt.Sprint("s", i)
		for n := range 4 {
			s.send(server, fmt.Sprint("topic", 4*i+n))
		}
		s.crash(server)
		s.now += 100
	}
	for b.Loop() {
		s.detect()
	}
}
