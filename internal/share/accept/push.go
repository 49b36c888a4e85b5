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

// Outcome is the result of a push.
type Outcome string

// The outcomes.
const (
	// Accepted: the generation is accepted, which is final.
	Accepted Outcome = "Accepted"
	// NotAccepted: the generation is not and will not be accepted.
	NotAccepted Outcome = "NotAccepted"
	// Unknown: the outcome could not be determined. Pushing the same file again
	// determines it.
	Unknown Outcome = "Unknown"
)

// Reason is why a push was not accepted, or why that is unknown.
type Reason string

// The reasons.
const (
	// ReasonBase: another generation was accepted since Base.
	ReasonBase Reason = "Base"
	// ReasonBusy: another push is in progress.
	ReasonBusy Reason = "Busy"
	// ReasonUnconfirmed: a failure domain did not confirm in time.
	ReasonUnconfirmed Reason = "Unconfirmed"
	// ReasonRefused: the manifest cannot be packed, or its generation was aborted for
	// another reason than ReasonUnconfirmed or ReasonCancelled, for example because a
	// host refused it or did not answer.
	ReasonRefused Reason = "Refused"
	// ReasonUnavailable: the platform is unreachable.
	ReasonUnavailable Reason = "Unavailable"
	// ReasonCancelled: the pusher was stopped.
	ReasonCancelled Reason = "Cancelled"
)

// Answer is the result of a push with its explanation.
type Answer struct {
	Outcome Outcome
	// Generation is the accepted one, the staged one of an Unknown, or the
	// number that an aborted push used up, 0 for none.
	Generation int64
	// Repeat is true if the same content was already accepted.
	Repeat bool
	Reason Reason `json:",omitempty"`
	// Text tells the operator what happened and what to do.
	Text string
	// Winner is the generation that is in force instead, and Diff the changes
	// from it to the pushed manifest. For ReasonBusy, Winner is the staged
	// generation of the other push, and Diff is empty.
	Winner int64          `json:",omitempty"`
	Diff   []mfest.Change `json:",omitempty"`
}

const (
	pollDelay     = 250 * clock.Millis(1)
	busyTimeout   = PushTimeout + 2*clock.Second
	abortAttempts = 8
)

// Pusher pushes manifests. It needs only the platform, no hosts.
type Pusher struct {
	Platform Platform
	// Registrations lists the registered hosts of a failure domain.
	Registrations func(ctx context.Context, domain string) ([]string, error)
	Log           *log.Logger
	// Sleep waits between two readings of the record. If nil, the platform's
	// clock is used.
	Sleep func(ctx context.Context, m clock.Millis)
	// By names the operator or pipeline.
	By string
	// LeaveBehind names failure domains that, by the operator's choice, need not
	// confirm.
	LeaveBehind []string
}

// push is one push in progress.
type push struct {
	*Pusher
	manifest  mfest.Manifest
	body      mfest.Body
	ref       Ref
	startedAt clock.Millis
	// id identifies this push in the records that it stages.
	id string
	// staged is the number that this push staged, or may have staged if the
	// reply to the write was lost.
	staged int64
}

// Push stages a manifest and waits for the outcome. It returns within about
// PushTimeout, plus busyTimeout if another push is in progress. If the platform
// does not answer after that, each of abortAttempts attempts to abort takes up to
// platformTimeout plus pollDelay.
func (p *Pusher) Push(ctx context.Context, m mfest.Manifest) Answer {
	body, err := mfest.Pack(m)
	if err != nil {
		return Answer{Outcome: NotAccepted, Reason: ReasonRefused, Text: err.Error()}
	}
	u := &push{
		Pusher: p, manifest: m, body: body, id: table.NewToken(), startedAt: p.Platform.Clock.Now(),
		ref: Ref{Hash: body.Hash, Object: object.Name(body.Packed)},
	}
	current, early := u.stage(ctx)
	if early != nil {
		return *early
	}
	answer := u.await(ctx, current)
	if answer.Outcome == Accepted {
		u.trim(ctx)
	}
	return answer
}

// trim removes old history. The next push removes what remains.
func (u *push) trim(ctx context.Context) {
	if err := u.Platform.trimHistory(ctx); err != nil {
		u.Log.Warn("Removing old manifests failed.", "error", err)
	}
}

// await polls the record until the staged generation is accepted or aborted. It
// aborts the generation after PushTimeout or when the context ends.
func (u *push) await(ctx context.Context, current storedRecord) Answer {
	deadline := u.Platform.Clock.Now() + PushTimeout
	for ctx.Err() == nil && u.Platform.Clock.Now() < deadline {
		if current.State == StateStaging && current.Number == u.staged {
			u.confirmDomainsWithoutHosts(ctx, current)
		}
		u.sleep(ctx, pollDelay)
		latest, err := u.Platform.read(ctx)
		if err != nil {
			continue
		}
		current = latest
		if answer, ok := u.outcome(ctx, current); ok {
			return answer
		}
	}
	return u.abort(context.WithoutCancel(ctx), ctx.Err() != nil)
}

// confirmDomainsWithoutHosts confirms the open domains that have no registered
// host. A host that registers later reads the record after it was staged.
func (u *push) confirmDomainsWithoutHosts(ctx context.Context, current storedRecord) {
	var empty []string
	for _, domain := range current.Unconfirmed() {
		names, err := u.Registrations(ctx, domain)
		if err == nil && len(names) == 0 {
			empty = append(empty, domain)
		}
	}
	if len(empty) == 0 && len(current.Unconfirmed()) > 0 {
		return
	}
	next, err := current.WithConfirmed(empty...)
	if err == nil {
		_, err = u.Platform.write(ctx, current, next)
	}
	if err != nil && !errors.Is(err, table.ErrConflict) {
		u.Log.Warn("Confirming failure domains without hosts failed; retrying.", "error", err)
	}
}

// outcome derives the answer from a later record. It returns false while the
// outcome is open.
func (u *push) outcome(ctx context.Context, current storedRecord) (Answer, bool) {
	switch {
	case current.Number == u.staged && current.State != StateStaging:
		return u.finalAnswer(ctx, current.Record), true
	case current.Number > u.staged:
		r, found, err := u.Platform.historyRecord(ctx, u.staged)
		if err != nil || !found {
			return Answer{}, false
		}
		return u.finalAnswer(ctx, r), true
	default:
		return Answer{}, false
	}
}

// finalAnswer returns the answer for this push's record once it is accepted or
// aborted.
func (u *push) finalAnswer(ctx context.Context, r Record) Answer {
	if r.State == StateAccepted {
		return u.acceptedAnswer(r)
	}
	return u.abortedAnswer(ctx, r)
}

func (u *push) acceptedAnswer(r Record) Answer {
	text := fmt.Sprintf("generation %d is accepted", u.staged)
	if len(r.LeftBehind) > 0 && r.Number == u.staged {
		text += "; left behind: " + strings.Join(r.LeftBehind, ", ")
	}
	return Answer{Outcome: Accepted, Generation: u.staged, Text: text}
}

func (u *push) abortedAnswer(ctx context.Context, r Record) Answer {
	a := u.notAccepted(ctx, r.Previous)
	a.Generation = r.Number
	a.Reason = ReasonRefused
	switch {
	case strings.HasPrefix(r.Reason, abortUnconfirmed):
		a.Reason = ReasonUnconfirmed
	case r.Reason == abortStopped:
		a.Reason = ReasonCancelled
	}
	a.Text = fmt.Sprintf("generation %d was aborted: %s; generation %d stays in force",
		r.Number, r.Reason, r.Previous.Number)
	return a
}

// The reasons that a pusher records for its own aborts. abortUnconfirmed is
// followed by the names of the failure domains.
const (
	abortUnconfirmed = "not confirmed in time by "
	abortStopped     = "stopped by its pusher"
)

// abort aborts the staged generation, unless its last confirmation comes first.
func (u *push) abort(ctx context.Context, cancelled bool) Answer {
	for range abortAttempts {
		current, err := u.Platform.read(ctx)
		if err != nil {
			u.sleep(ctx, pollDelay)
			continue
		}
		if answer, ok := u.outcome(ctx, current); ok {
			return answer
		}
		reason := abortUnconfirmed + strings.Join(current.Unconfirmed(), ", ")
		if cancelled {
			reason = abortStopped
		}
		next, err := current.WithAborted(reason)
		if err == nil {
			_, err = u.Platform.write(ctx, current, next)
		}
		if err == nil {
			return u.abortedAnswer(ctx, next)
		}
	}
	return *u.unknown(ReasonUnavailable,
		fmt.Sprintf("generation %d was staged and its outcome cannot be read", u.staged))
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
