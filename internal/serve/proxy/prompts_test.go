package proxy_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/origin"
)

func TestSegmentsOfBrokenPromptAreLogged(t *testing.T) {
	c, r := start(t, 1, true)
	r.servers[0].Enqueue(origin.Reset)
	prompt := fields.PromptSegments + ": shared:350,topic:140,own:1110\r\n"
	c.Assert(r.send("POST", "/chat/x", "broken", prompt).status, qt.Equals, 502)
	c.Assert(r.log.String(), qt.Matches, `(?s).*id=broken .*segments=\"?shared,topic\b.*`)
	r.send("POST", "/chat/x", "served", prompt)
	c.Assert(r.log.String(), qt.Not(qt.Matches), `(?s).*id=served [^\n]*segments=.*`)
}
