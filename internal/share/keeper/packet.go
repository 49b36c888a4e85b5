package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// kindPacket is the kind of every message of this package.
const kindPacket = "Keep"

// packet is all that one step of a host has for one peer.
type packet struct {
	// From an asker to a keeper.
	Asks    []askMessage
	Dones   []doneMessage
	Reports []reportMessage
	Rebuilt []rebuiltMessage
	// From a keeper to an asker.
	Verdicts []verdictMessage
	Backs    []backMessage
	Rebuilds []rebuildMessage
}

func (p *packet) items() int {
	return len(p.Asks) + len(p.Dones) + len(p.Reports) + len(p.Rebuilt) +
		len(p.Verdicts) + len(p.Backs) + len(p.Rebuilds)
}

// askMessage describes a request with remaining times. Seq is the asker's own
// number for it.
type askMessage struct {
	Group           groupNumber
	Seq             uint64
	Class           string
	Workspace       string
	Model           string
	Age             clock.Millis
	Due             clock.Millis
	Left            clock.Millis
	PromptTokens    int
	PredictedTokens int
	Prefix          uint64
	Spilled         bool
	Begun           bool
	NotRepeatable   bool
	Avoid           []string
}

// doneMessage ends an ask, whether it waits or runs.
type doneMessage struct {
	Group    groupNumber
	Outcome  string
	Progress progressMessage
}

type progressMessage struct {
	Seq           uint64
	Tokens        int
	FirstToken    clock.Millis
	BetweenTokens float32
}

// reportMessage sums up what a host runs and waits for in a group. Runs is the
// whole list, where the keeper wanted it.
type reportMessage struct {
	Group    groupNumber
	Round    uint64
	Hash     uint64
	Progress []progressMessage
	Whole    bool
	Runs     []runMessage
}

type runMessage struct {
	Ask    askMessage
	Server string
}

// backMessage answers the report of a round. Same tells that the keeper holds
// what the host runs.
type backMessage struct {
	Group     groupNumber
	Round     uint64
	Same      bool
	Digest    sched.Digest
	WantWhole bool
}

// rebuildMessage is a new keeper's question what a host runs on servers.
type rebuildMessage struct {
	Group   string
	Servers []string
}

type rebuiltMessage struct {
	Group groupNumber
	Runs  []runMessage
}

// verdict is what a keeper says of an ask.
type verdict string

const (
	verdictGrant     verdict = "G"
	verdictRefuse    verdict = "R"
	verdictQueued    verdict = "Q"
	verdictNotKeeper verdict = "N"
)

type verdictMessage struct {
	Group      groupNumber
	Seq        uint64
	Verdict    string
	Server     string
	Reason     string
	RetryAfter clock.Millis
	Floor      bool
	Digest     sched.Digest
}

// newAsk translates a request into remaining times.
func newAsk(now clock.Millis, group groupNumber, seq uint64, r sched.Request) askMessage {
	return askMessage{
		Group: group, Seq: seq, Class: r.Class, Workspace: r.Workspace, Model: r.Model,
		Age: now - r.Arrived, Due: r.Deadline - now, Left: r.GiveUp - now,
		PromptTokens: r.PromptTokens, PredictedTokens: r.PredictedTokens,
		Prefix: r.Prefix, Spilled: r.Spilled, Avoid: r.Avoid,
		Begun: r.Begun, NotRepeatable: r.NotRepeatable,
	}
}

// request translates an ask into points in time on this host's clock.
func (m askMessage) request(now clock.Millis, service, id, host string) sched.Request {
	return sched.Request{
		ID: id, Host: host, Service: service, Class: m.Class, Workspace: m.Workspace, Model: m.Model,
		Arrived: now - m.Age, Deadline: now + m.Due, GiveUp: now + m.Left,
		PromptTokens: m.PromptTokens, PredictedTokens: m.PredictedTokens,
		Prefix: m.Prefix, Spilled: m.Spilled, Avoid: m.Avoid,
		Begun: m.Begun, NotRepeatable: m.NotRepeatable,
	}
}

func (m progressMessage) progress(id string) sched.Progress {
	return sched.Progress{ID: id, Tokens: m.Tokens, FirstToken: m.FirstToken, BetweenTokens: float64(m.BetweenTokens)}
}

func newProgress(seq uint64, p sched.Progress) progressMessage {
	return progressMessage{Seq: seq, Tokens: p.Tokens, FirstToken: p.FirstToken, BetweenTokens: float32(p.BetweenTokens)}
}
