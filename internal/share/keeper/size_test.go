package keeper

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/link"
)

// TestMessageSizes guards the packet sizes stated in docs/design/coherence.md: bytes of a
// packet body, with the names and numbers of a large system.
func TestMessageSizes(t *testing.T) {
	c := qt.New(t)
	gid := groupIDOf("canvas-llm/prairie-a/7")
	digest := sched.Digest{FreeSlots: 12, Waiting: 130, Running: 640, WaitEstimate: 900}
	progress := progressMessage{Seq: 1_000_000, Tokens: 280, FirstToken: 280, BetweenTokens: 31.5}
	request := newGrantRequestMessage(1000, gid, 1_000_000, sched.Request{
		Class: "interactive", Workspace: "workspace-12345", Model: "canvas-70b", Arrived: 990,
		Deadline: 1300, GiveUp: 1000 + 10*clock.Second,
		PromptTokens: 900, PredictedTokens: 280, Prefix: 1 << 60,
	})
	for _, test := range []struct {
		name  string
		body  packet
		bytes int
	}{
		{"ask", packet{GrantRequests: []grantRequestMessage{request}}, 88},
		{"grant", packet{Verdicts: []verdictMessage{{
			Group: gid, Seq: 1_000_000, Verdict: string(verdictGrant),
			Server: "llm-prairie-a-17", Digest: digest,
		}}}, 55},
		{"done", packet{Dones: []doneMessage{{
			Group: gid, Outcome: string(sched.OutcomeDone), Progress: progress,
		}}}, 40},
		{"report", packet{Reports: []reportMessage{{
			Group: gid, Round: 10_000, Hash: 1 << 60, Progress: []progressMessage{progress},
		}}}, 48},
		{"back", packet{ReportReplies: []reportReplyMessage{{
			Group: gid, Round: 10_000, Same: true, Digest: digest,
		}}}, 32},
	} {
		body, err := link.Encode(&test.body)
		c.Assert(err, qt.IsNil)
		t.Logf("%s: %d bytes", test.name, len(body))
		c.Check(len(body) <= test.bytes, qt.IsTrue, qt.Commentf("%s has %d bytes", test.name, len(body)))
	}
}
