package grant

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// Many hosts send short prompts to two servers, one of which has refused a host.
func TestServerIsSparedDuringItsHoldOffAndTriedAfterwards(t *testing.T) {
	c := qt.New(t)
	core := New(Defaults())
	core.SetServers([]fleet.Server{{ID: "i-1", Slots: 64}, {ID: "i-2", Slots: 64}})
	n := 0
	grants := func(now clock.Millis, avoid ...string) (ids []string, refused map[string]bool) {
		refused = map[string]bool{}
		for range 20 {
			n++
			core.Enqueue(now, Request{
				ID: fmt.Sprint(n), Host: fmt.Sprint("h", n%5), Class: "chat", Tokens: 900, Target: 500, TimeLeft: 3_000, Avoid: avoid,
				Segments: []place.Segment{{Name: "own-" + fmt.Sprint(n), Tokens: 900}},
			})
		}
		for _, d := range core.Next(now) {
			switch d.Server {
			case "i-1":
				ids = append(ids, d.ID)
			case "":
				refused[d.Host] = true
			}
		}
		return ids, refused
	}
	core.SetHoldOff(1_000, HoldOff{Server: "i-1", Host: "h1", Left: 4_000})
	got, _ := grants(1_000)
	c.Assert(got, qt.HasLen, 0)
	// The other hosts' requests that may not go to i-2 go to i-1, since nothing else is left.
	core.SetServers([]fleet.Server{{ID: "i-1", Slots: 64}})
	got, refused := grants(1_100)
	c.Assert(len(got) > 0, qt.IsTrue)
	c.Assert(refused, qt.DeepEquals, map[string]bool{"h1": true})
	for _, id := range got {
		core.Ended(1_200, id, place.OutcomeFull)
	}
	// Afterwards there is one request until the server has answered it.
	got, _ = grants(5_100)
	c.Assert(got, qt.HasLen, 1)
	core.FirstEvent(5_200, got[0])
	got, _ = grants(5_200)
	c.Assert(len(got) > 1, qt.IsTrue)
}

func TestHoldOffOfAnotherIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	core := New(Defaults())
	core.SetServers([]fleet.Server{{ID: "i-1", Born: 8, Slots: 64}})
	core.SetHoldOff(1_000, HoldOff{Server: "i-1", Born: 7, Host: "h1", Left: 4_000})
	core.Enqueue(1_000, Request{ID: "r", Host: "h1", Class: "chat", Tokens: 900, Target: 500, TimeLeft: 3_000})
	c.Assert(core.Next(1_000)[0].Server, qt.Equals, "i-1")
}
