package accept

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/mfest"
)

// next is what a push does after reading the record.
type next string

const (
	nextStage  next = "Stage"
	nextWait   next = "Wait"
	nextAwait  next = "Await"
	nextAnswer next = "Answer"
)

// stage writes the record, or answers why it did not.
func (u *push) stage(ctx context.Context) (stored, *Answer) {
	for {
		held, err := u.Platform.read(ctx)
		if err != nil {
			if u.staged == 0 || u.late() || ctx.Err() != nil {
				return held, u.unavailable(err)
			}
			u.sleep(ctx, pushPoll)
			continue
		}
		todo, answer := u.decide(ctx, held)
		switch todo {
		case nextAnswer:
			return held, answer
		case nextAwait:
			return held, nil
		case nextWait:
			u.sleep(ctx, pushPoll)
			continue
		}
		written, err := u.write(ctx, held)
		if err == nil {
			return written, nil
		}
		if !mayRetry(err) || u.late() {
			return held, u.unavailable(err)
		}
		u.sleep(ctx, pushPoll)
	}
}

// mayRetry tells whether the record is to be read again. After a lost answer
// the write may yet arrive while the old record stands; staging once more over
// the same token settles it, since only one of the two can take effect.
func mayRetry(err error) bool {
	return errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnsure) || errors.Is(err, table.ErrThrottled)
}

func (u *push) late() bool {
	return u.Platform.Clock.Now()-u.began > pushBusyWait
}

// unavailable is the answer when the platform fails before the push is known
// to be staged. Only where no write may be on its way is nothing staged.
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
		Text: text + "; to find out, push the same file again, which does no harm, or see `siskinsaddle manifest show`",
	}
}

// decide chooses the next step from a reading of the record.
func (u *push) decide(ctx context.Context, held stored) (next, *Answer) {
	if u.staged > 0 {
		if todo, answer := u.afterUnsure(ctx, held); todo != nextStage {
			return todo, answer
		}
	}
	inForce := held.InForce()
	if inForce.Number > 0 && inForce.Body.Hash == u.ref.Hash && held.State != StateStaging {
		return nextAnswer, &Answer{
			Outcome: Accepted, Generation: inForce.Number, Repeat: true,
			Text: fmt.Sprintf("generation %d has the same content and is accepted", inForce.Number),
		}
	}
	if ctx.Err() != nil {
		return nextAnswer, u.cancelled()
	}
	if held.State == StateStaging {
		return u.behind(ctx, held)
	}
	if u.manifest.Base != inForce.Number {
		return nextAnswer, u.otherBase(ctx, inForce)
	}
	return nextStage, nil
}

// afterUnsure looks for the trace of a staging write whose answer was lost.
// Once the record has moved on without it, that write can no longer arrive.
func (u *push) afterUnsure(ctx context.Context, held stored) (next, *Answer) {
	switch {
	case held.Push == u.id && held.State == StateStaging:
		return nextAwait, nil
	case held.Push == u.id:
		a := u.settled(ctx, held.Record)
		return nextAnswer, &a
	case held.Number < u.staged:
		return nextStage, nil
	case held.Number > u.staged:
		r, found, err := u.Platform.historyOf(ctx, u.staged)
		if err != nil && u.late() {
			return nextAnswer, u.unavailable(err)
		}
		if err != nil {
			return nextWait, nil
		}
		if found && r.Push == u.id {
			a := u.settled(ctx, r)
			return nextAnswer, &a
		}
	}
	u.staged = 0
	return nextStage, nil
}

func (u *push) cancelled() *Answer {
	if u.staged > 0 {
		return u.unknown(ReasonCancelled, "the push was stopped")
	}
	return &Answer{Outcome: NotAccepted, Reason: ReasonCancelled, Text: "the push was stopped before anything was written"}
}

// behind waits for another push that is under way, and ends one whose pusher
// is gone.
func (u *push) behind(ctx context.Context, held stored) (next, *Answer) {
	if !u.late() {
		return nextWait, nil
	}
	aborted, err := held.WithAborted("its pusher did not end it in time")
	if err == nil {
		_, err = u.Platform.write(ctx, held, aborted)
	}
	if err == nil {
		return nextWait, nil
	}
	return nextAnswer, &Answer{
		Outcome: NotAccepted, Reason: ReasonBusy, Winner: held.Number,
		Text: fmt.Sprintf("generation %d, pushed by %s, is still open; push again later", held.Number, held.By),
	}
}

func (u *push) otherBase(ctx context.Context, inForce Generation) *Answer {
	a := u.lost(ctx, inForce)
	a.Reason = ReasonBase
	a.Text = fmt.Sprintf("generation %d is in force, and the file was built on %d; merge what differs, set Base to %d and push again",
		inForce.Number, u.manifest.Base, inForce.Number)
	return &a
}

// lost is NotAccepted with what differs from the generation in force.
func (u *push) lost(ctx context.Context, inForce Generation) Answer {
	a := Answer{Outcome: NotAccepted, Winner: inForce.Number}
	if m, err := u.Platform.Manifest(ctx, inForce); err == nil {
		a.Diff = mfest.Diff(m, u.manifest)
	}
	return a
}

// write puts the body, keeps the history and writes the staging record.
func (u *push) write(ctx context.Context, held stored) (stored, error) {
	needed, err := u.needed(ctx, held.InForce())
	if err != nil {
		return stored{}, err
	}
	if err := u.Platform.putBody(ctx, u.ref, u.body.Packed); err != nil {
		return stored{}, err
	}
	if held.Number > 0 {
		if err := u.Platform.keepHistory(ctx, held.Record); err != nil {
			return stored{}, err
		}
	}
	staging, err := held.WithStaged(Record{
		Generation: Generation{Body: u.ref}, Needed: needed, LeftBehind: u.LeaveBehind,
		By: u.By, Push: u.id, At: u.Platform.Clock.Wall(),
	})
	if err != nil {
		return stored{}, err
	}
	written, err := u.Platform.write(ctx, held, staging)
	if err == nil || errors.Is(err, table.ErrUnsure) {
		u.staged = staging.Number
	}
	return written, err
}

// needed are the failure domains of the manifest in force and of the new one,
// without those to leave behind.
func (u *push) needed(ctx context.Context, inForce Generation) ([]string, error) {
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
