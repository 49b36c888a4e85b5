package accept

import (
	"context"
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/mfest"
)

// Outcome is the answer to a push.
type Outcome string

// The outcomes.
const (
	// Accepted: the generation is accepted and never goes back.
	Accepted Outcome = "Accepted"
	// NotAccepted: it is not accepted and will not be.
	NotAccepted Outcome = "NotAccepted"
	// Unknown: nothing is known. Pushing the same file again finds out.
	Unknown Outcome = "Unknown"
)

// Reason is why a push was not accepted, or why that is unknown.
type Reason string

// The reasons.
const (
	ReasonBase        Reason = "Base"        // another generation was accepted since Base
	ReasonBusy        Reason = "Busy"        // another push is under way
	ReasonUnconfirmed Reason = "Unconfirmed" // a failure domain did not confirm in time
	ReasonRefused     Reason = "Refused"     // a host or failure domain refused it
	ReasonUnavailable Reason = "Unavailable" // the platform can not be reached
	ReasonCancelled   Reason = "Cancelled"   // the pusher was stopped
)

// Answer is what a pusher is told.
type Answer struct {
	Outcome Outcome
	// Generation is the accepted one, the staged one of an Unknown, or the
	// number that a push consumed in vain, 0 for none.
	Generation int64
	// Repeat tells that the same content was already accepted.
	Repeat bool
	Reason Reason `json:",omitempty"`
	// Text is for people: what happened and what to do.
	Text string
	// Winner is the generation that is in force instead, and Diff what would
	// have to change in it to get the pushed manifest.
	Winner int64          `json:",omitempty"`
	Diff   []mfest.Change `json:",omitempty"`
}

const (
	pushPoll      = 250 * clock.Millis(1)
	pushBusyWait  = PushWait + 2*clock.Second
	abortAttempts = 8
)

// Pusher pushes manifests. It needs the platform alone.
type Pusher struct {
	Platform Platform
	// Registrations lists the registered hosts of a failure domain.
	Registrations func(ctx context.Context, domain string) ([]string, error)
	Log           *log.Logger
	// Sleep waits between two readings of the record, by the platform's clock
	// where it is not set.
	Sleep func(ctx context.Context, m clock.Millis)
	// By names the operator or pipeline.
	By string
	// LeaveBehind names failure domains that need not confirm.
	LeaveBehind []string
}

// push is one push under way.
type push struct {
	*Pusher
	manifest mfest.Manifest
	body     mfest.Body
	ref      Ref
	began    clock.Millis
	// id is in every record that this push stages.
	id string
	// staged is the number that this push staged, or may have staged where the
	// answer to the write was lost.
	staged int64
}

// Push stages a manifest and waits for the outcome. It answers within about
// PushWait, plus pushBusyWait where another push is under way.
func (p *Pusher) Push(ctx context.Context, m mfest.Manifest) Answer {
	body, err := mfest.Pack(m)
	if err != nil {
		return Answer{Outcome: NotAccepted, Reason: ReasonRefused, Text: err.Error()}
	}
	u := &push{
		Pusher: p, manifest: m, body: body, id: table.NewToken(), began: p.Platform.Clock.Now(),
		ref: Ref{Hash: body.Hash, Object: object.Name(body.Packed)},
	}
	held, early := u.stage(ctx)
	if early != nil {
		return *early
	}
	answer := u.await(ctx, held)
	if answer.Outcome == Accepted {
		u.trim(ctx)
	}
	return answer
}

// trim removes old history. What is left over is taken up by the next push.
func (u *push) trim(ctx context.Context) {
	if err := u.Platform.trimHistory(ctx); err != nil {
		u.Log.Warn("Removing old manifests failed.", "error", err)
	}
}

// await follows the staged record to its outcome.
func (u *push) await(ctx context.Context, held stored) Answer {
	deadline := u.Platform.Clock.Now() + PushWait
	for ctx.Err() == nil && u.Platform.Clock.Now() < deadline {
		if held.State == StateStaging && held.Number == u.staged {
			u.confirmEmpty(ctx, held)
		}
		u.sleep(ctx, pushPoll)
		now, err := u.Platform.read(ctx)
		if err != nil {
			continue
		}
		held = now
		if answer, ok := u.outcome(ctx, held); ok {
			return answer
		}
	}
	return u.end(context.WithoutCancel(ctx), ctx.Err() != nil)
}

// confirmEmpty confirms the open domains that have no registered host. A host
// that registers after this reads the record after it was staged.
func (u *push) confirmEmpty(ctx context.Context, held stored) {
	var empty []string
	for _, domain := range held.Open() {
		names, err := u.Registrations(ctx, domain)
		if err == nil && len(names) == 0 {
			empty = append(empty, domain)
		}
	}
	if len(empty) == 0 && len(held.Open()) > 0 {
		return
	}
	next, err := held.WithConfirmed(empty...)
	if err == nil {
		_, err = u.Platform.write(ctx, held, next)
	}
	if err != nil && !errors.Is(err, table.ErrConflict) {
		u.Log.Warn("Confirming failure domains without hosts failed, it is tried again.", "error", err)
	}
}

// outcome reads the answer off a later record.
func (u *push) outcome(ctx context.Context, held stored) (Answer, bool) {
	switch {
	case held.Number == u.staged && held.State != StateStaging:
		return u.settled(ctx, held.Record), true
	case held.Number > u.staged:
		r, found, err := u.Platform.historyOf(ctx, u.staged)
		if err != nil || !found {
			return Answer{}, false
		}
		return u.settled(ctx, r), true
	default:
		return Answer{}, false
	}
}

// settled is the answer for this push's record once it is accepted or aborted.
func (u *push) settled(ctx context.Context, r Record) Answer {
	if r.State == StateAccepted {
		return u.accepted(r)
	}
	return u.aborted(ctx, r)
}

func (u *push) accepted(r Record) Answer {
	text := fmt.Sprintf("generation %d is accepted", u.staged)
	if len(r.LeftBehind) > 0 && r.Number == u.staged {
		text += "; left behind: " + strings.Join(r.LeftBehind, ", ")
	}
	return Answer{Outcome: Accepted, Generation: u.staged, Text: text}
}

func (u *push) aborted(ctx context.Context, r Record) Answer {
	a := u.lost(ctx, r.Previous)
	a.Generation = r.Number
	a.Reason = ReasonRefused
	switch {
	case strings.HasPrefix(r.Reason, unconfirmed):
		a.Reason = ReasonUnconfirmed
	case r.Reason == stopped:
		a.Reason = ReasonCancelled
	}
	a.Text = fmt.Sprintf("generation %d was aborted: %s; generation %d stays in force", r.Number, r.Reason, r.Previous.Number)
	return a
}

// The reasons of a pusher's own aborts. The names of failure domains follow the
// first.
const (
	unconfirmed = "not confirmed in time by "
	stopped     = "stopped by its pusher"
)

// end aborts the staged generation, unless its last confirmation was faster.
func (u *push) end(ctx context.Context, cancelled bool) Answer {
	for range abortAttempts {
		held, err := u.Platform.read(ctx)
		if err != nil {
			u.sleep(ctx, pushPoll)
			continue
		}
		if answer, ok := u.outcome(ctx, held); ok {
			return answer
		}
		reason := unconfirmed + strings.Join(held.Open(), ", ")
		if cancelled {
			reason = stopped
		}
		next, err := held.WithAborted(reason)
		if err == nil {
			_, err = u.Platform.write(ctx, held, next)
		}
		if err == nil {
			return u.aborted(ctx, next)
		}
	}
	return *u.unknown(ReasonUnavailable, fmt.Sprintf("generation %d was staged and its outcome can not be read", u.staged))
}

func (u *push) sleep(ctx context.Context, m clock.Millis) {
	if u.Sleep != nil {
		u.Sleep(ctx, m)
		return
	}
	select {
	case <-ctx.Done():
	case <-u.Platform.Clock.After(m):
	}
}
