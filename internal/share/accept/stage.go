package accept

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/mfest"
)

// action is the next step of a push after it has read the record.
type action string

const (
	// actionStage: write the staging record.
	actionStage action = "Stage"
	// actionRetry: read the record again after pollDelay.
	actionRetry action = "Wait"
	// actionAwaitOutcome: this push has staged its generation.
	actionAwaitOutcome action = "Await"
	// actionAnswer: return the answer.
	actionAnswer action = "Answer"
)

// stage writes the staging record, or returns the answer if it cannot.
func (u *push) stage(ctx context.Context) (storedRecord, *Answer) {
	for {
		current, err := u.Platform.read(ctx)
		if err != nil {
			if u.staged == 0 || u.timedOut() || ctx.Err() != nil {
				return current, u.unavailable(err)
			}
			u.sleep(ctx, pollDelay)
			continue
		}
		act, answer := u.decide(ctx, current)
		switch act {
		case actionAnswer:
			return current, answer
		case actionAwaitOutcome:
			return current, nil
		case actionRetry:
			u.sleep(ctx, pollDelay)
			continue
		}
		written, err := u.write(ctx, current)
		if err == nil {
			return written, nil
		}
		if !mayRetry(err) || u.timedOut() {
			return current, u.unavailable(err)
		}
		u.sleep(ctx, pollDelay)
	}
}

// mayRetry reports whether to read the record again. After a lost reply the write
// may still arrive as long as the old record stands. A second staging write on
// condition of the same old token resolves this, since only one of the two can take
// effect.
func mayRetry(err error) bool {
	return errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrOutcomeUnknown) ||
		errors.Is(err, table.ErrThrottled)
}

func (u *push) timedOut() bool {
	return u.Platform.Clock.Now()-u.startedAt > busyTimeout
}

// unavailable is the answer if the platform fails before the push is known to be
// staged. The outcome is Unknown if a write may still be in flight.
func (u *push) unavailable(err error) *Answer {
	text := fmt.Sprintf("the platform can not be reached (%v)", err)
	if u.staged > 0 {
		return u.unknown(ReasonUnavailable, text)
	}
	return &Answer{Outcome: NotAccepted, Reason: ReasonUnavailable, Text: text + "; nothing was written, push again later"}
}

func (u *push) unknown(reason Reason, text string) *Answer {
	return &Answer{
		Outcome: Unknown, Generation: u.staged, Reason: reason,
		Text: text + "; to find out, push the same file again, which is safe: it is not applied twice; or see `siskinsaddle manifest show`",
	}
}

// decide chooses the next step from the record.
func (u *push) decide(ctx context.Context, current storedRecord) (action, *Answer) {
	if u.staged > 0 {
		if act, answer := u.resolveUncertainWrite(ctx, current); act != actionStage {
			return act, answer
		}
	}
	inForce := current.InForce()
	if inForce.Number > 0 && inForce.Body.Hash == u.ref.Hash && current.State != StateStaging {
		return actionAnswer, &Answer{
			Outcome: Accepted, Generation: inForce.Number, Repeat: true,
			Text: fmt.Sprintf("generation %d has the same content and is accepted", inForce.Number),
		}
	}
	if ctx.Err() != nil {
		return actionAnswer, u.cancelled()
	}
	if current.State == StateStaging {
		return u.awaitOtherPush(ctx, current)
	}
	if u.manifest.Base != inForce.Number {
		return actionAnswer, u.baseConflict(ctx, inForce)
	}
	return actionStage, nil
}

// resolveUncertainWrite looks in the record and the history for a staging write
// whose reply was lost. Once the record has changed without it, that write can no
// longer take effect.
func (u *push) resolveUncertainWrite(ctx context.Context, current storedRecord) (action, *Answer) {
	switch {
	case current.Push == u.id && current.State == StateStaging:
		return actionAwaitOutcome, nil
	case current.Push == u.id:
		a := u.finalAnswer(ctx, current.Record)
		return actionAnswer, &a
	case current.Number < u.staged:
		return actionStage, nil
	case current.Number > u.staged:
		r, found, err := u.Platform.historyRecord(ctx, u.staged)
		if err != nil && u.timedOut() {
			return actionAnswer, u.unavailable(err)
		}
		if err != nil {
			return actionRetry, nil
		}
		if found && r.Push == u.id {
			a := u.finalAnswer(ctx, r)
			return actionAnswer, &a
		}
	}
	u.staged = 0
	return actionStage, nil
}

func (u *push) cancelled() *Answer {
	if u.staged > 0 {
		return u.unknown(ReasonCancelled, "the push was stopped")
	}
	return &Answer{Outcome: NotAccepted, Reason: ReasonCancelled, Text: "the push was stopped before the generation was staged"}
}

// awaitOtherPush waits for another push in progress. After busyTimeout, when a
// live pusher would have ended its own push, it aborts that push.
func (u *push) awaitOtherPush(ctx context.Context, current storedRecord) (action, *Answer) {
	if !u.timedOut() {
		return actionRetry, nil
	}
	aborted, err := current.WithAborted("its pusher did not finish it in time")
	if err == nil {
		_, err = u.Platform.write(ctx, current, aborted)
	}
	if err == nil {
		return actionRetry, nil
	}
	return actionAnswer, &Answer{
		Outcome: NotAccepted, Reason: ReasonBusy, Winner: current.Number,
		Text: fmt.Sprintf("generation %d, pushed by %s, is still open; push again later", current.Number, current.By),
	}
}

func (u *push) baseConflict(ctx context.Context, inForce Generation) *Answer {
	a := u.notAccepted(ctx, inForce)
	a.Reason = ReasonBase
	a.Text = fmt.Sprintf("generation %d is in force, and the file was built on %d; merge the differences, set Base to %d and push again",
		inForce.Number, u.manifest.Base, inForce.Number)
	return &a
}

// notAccepted returns NotAccepted with the differences from the generation in force.
func (u *push) notAccepted(ctx context.Context, inForce Generation) Answer {
	a := Answer{Outcome: NotAccepted, Winner: inForce.Number}
	if m, err := u.Platform.Manifest(ctx, inForce); err == nil {
		a.Diff = mfest.Diff(m, u.manifest)
	}
	return a
}

// write stores the body, archives the previous record and writes the staging
// record.
func (u *push) write(ctx context.Context, current storedRecord) (storedRecord, error) {
	neededDomains, err := u.neededDomains(ctx, current.InForce())
	if err != nil {
		return storedRecord{}, err
	}
	if err := u.Platform.putBody(ctx, u.ref, u.body.Packed); err != nil {
		return storedRecord{}, err
	}
	if current.Number > 0 {
		if err := u.Platform.writeHistory(ctx, current.Record); err != nil {
			return storedRecord{}, err
		}
	}
	staging, err := current.WithStaged(Record{
		Generation: Generation{Body: u.ref}, Needed: neededDomains, LeftBehind: u.LeaveBehind,
		By: u.By, Push: u.id, At: u.Platform.Clock.Wall(),
	})
	if err != nil {
		return storedRecord{}, err
	}
	written, err := u.Platform.write(ctx, current, staging)
	if err == nil || errors.Is(err, table.ErrOutcomeUnknown) {
		u.staged = staging.Number
	}
	return written, err
}

// neededDomains returns the failure domains of the manifest in force and of the
// new one, without those to leave behind.
func (u *push) neededDomains(ctx context.Context, inForce Generation) ([]string, error) {
	domains := u.manifest.FailureDomains
	if inForce.Number > 0 {
		m, err := u.Platform.Manifest(ctx, inForce)
		if err != nil {
			return nil, err
		}
		domains = slices.Concat(domains, m.FailureDomains)
	}
	var names []string
	for _, d := range domains {
		if !slices.Contains(u.LeaveBehind, d.Name) {
			names = append(names, d.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}
