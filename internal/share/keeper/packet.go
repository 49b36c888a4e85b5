package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// kindPacket is the kind of every message of this package.
const kindPacket = "Keep"

// packet holds all messages of one step of a host to one peer.
type packet struct {
	// From a requester to a keeper.
	GrantRequests  []grantRequestMessage
	Dones          []doneMessage
	Reports        []reportMessage
	RebuildReplies []rebuildReplyMessage
	// From a keeper to a requester.
	Verdicts      []verdictMessage
	ReportReplies []reportReplyMessage
	Rebuilds      []rebuildMessage
}

func (p *packet) items() int {
	return len(p.GrantRequests) + len(p.Dones) + len(p.Reports) + len(p.RebuildReplies) +
		len(p.Verdicts) + len(p.ReportReplies) + len(p.Rebuilds)
}

// grantRequestMessage describes a request with remaining times. Seq is the
// requester's sequence number of it.
type grantRequestMessage struct {
	Group           groupID
	Seq             uint64
	Class           string
	Workspace       string
	Model           string
	Age             clock.Millis
	UntilDeadline   clock.Millis
	UntilGiveUp     clock.Millis
	PromptTokens    int
	PredictedTokens int
	Prefix          uint64
	Spilled         bool
	Begun           bool
	NotRepeatable   bool
	Avoid           []string
}

// doneMessage ends a request, whether it waits or runs.
type doneMessage struct {
	Group    groupID
	Outcome  string
	Progress progressMessage
}

type progressMessage struct {
	Seq           uint64
	Tokens        int
	FirstToken    clock.Millis
	BetweenTokens float32
}

// reportMessage summarizes the requests that a host runs in a group. If Full is set,
// Running is the full list, which the keeper asked for.
type reportMessage struct {
	Group    groupID
	Round    uint64
	Hash     uint64
	Progress []progressMessage
	Full     bool
	Running  []runningMessage
}

type runningMessage struct {
	Request grantRequestMessage
	Server  string
}

// reportReplyMessage answers the report of a round. Same is set if the keeper's state
// matches the requests that the host runs.
type reportReplyMessage struct {
	Group    groupID
	Round    uint64
	Same     bool
	Digest   sched.Digest
	WantFull bool
}

// rebuildMessage asks a host for the requests that it runs on the servers of a new
// keeper's group.
type rebuildMessage struct {
	Group   string
	Servers []string
}

type rebuildReplyMessage struct {
	Group   groupID
	Running []runningMessage
}

// verdict is a keeper's answer to a grant request.
type verdict string

const (
	verdictGrant     verdict = "G"
	verdictRefuse    verdict = "R"
	verdictQueued    verdict = "Q"
	verdictNotKeeper verdict = "N"
)

type verdictMessage struct {
	Group      groupID
	Seq        uint64
	Verdict    string
	Server     string
	Reason     string
	RetryAfter clock.Millis
	Floor      bool
	Digest     sched.Digest
}

// newGrantRequestMessage converts a request's timestamps to remaining times.
func newGrantRequestMessage(now clock.Millis, gid groupID, seq uint64, r sched.Request) grantRequestMessage {
	return grantRequestMessage{
		Group: gid, Seq: seq, Class: r.Class, Workspace: r.Workspace, Model: r.Model,
		Age: now - r.Arrived, UntilDeadline: r.Deadline - now, UntilGiveUp: r.GiveUp - now,
		PromptTokens: r.PromptTokens, PredictedTokens: r.PredictedTokens,
		Prefix: r.Prefix, Spilled: r.Spilled, Avoid: r.Avoid,
		Begun: r.Begun, NotRepeatable: r.NotRepeatable,
	}
}

// toRequest converts remaining times to timestamps of this host's clock.
func (m grantRequestMessage) toRequest(now clock.Millis, service, id, host string) sched.Request {
	return sched.Request{
		ID: id, Host: host, Service: service, Class: m.Class, Workspace: m.Workspace, Model: m.Model,
		Arrived: now - m.Age, Deadline: now + m.UntilDeadline, GiveUp: now + m.UntilGiveUp,
		PromptTokens: m.PromptTokens, PredictedTokens: m.PredictedTokens,
		Prefix: m.Prefix, Spilled: m.Spilled, Avoid: m.Avoid,
		Begun: m.Begun, NotRepeatable: m.NotRepeatable,
	}
}

func (m progressMessage) toProgress(id string) sched.Progress {
	return sched.Progress{
		ID: id, Tokens: m.Tokens, FirstToken: m.FirstToken, BetweenTokens: float64(m.BetweenTokens),
	}
}

func newProgressMessage(seq uint64, p sched.Progress) progressMessage {
	return progressMessage{
		Seq: seq, Tokens: p.Tokens, FirstToken: p.FirstToken, BetweenTokens: float32(p.BetweenTokens),
	}
}
