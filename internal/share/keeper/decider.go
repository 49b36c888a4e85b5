package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/decide"
	"siskinsaddle/internal/policy/sched"
)

// decider wraps a decide.Decider and passes each input and the resulting decisions
// to an auditor, if there is one.
type decider struct {
	inner     *decide.Decider
	auditor   *audit.Auditor
	decisions []sched.Decision
}

func newDecider(s sched.Settings, newAuditor func(sched.Settings) *audit.Auditor) *decider {
	d := &decider{inner: decide.New(s)}
	if newAuditor != nil {
		d.auditor = newAuditor(s)
	}
	return d
}

// collect gathers the decisions that result from an input.
func (d *decider) collect(now clock.Millis) {
	decisions := d.inner.Take(now)
	if d.auditor != nil {
		d.auditor.SetServers(now, d.inner.Servers())
		d.auditor.CheckDecisions(now, decisions)
	}
	d.decisions = append(d.decisions, decisions...)
}

func (d *decider) takeDecisions() []sched.Decision {
	taken := d.decisions
	d.decisions = nil
	return taken
}

func (d *decider) setSettings(now clock.Millis, s sched.Settings) {
	d.inner.SetSettings(now, s)
	d.collect(now)
}

func (d *decider) setServers(now clock.Millis, list []sched.Server) {
	d.inner.SetServers(now, list)
	d.collect(now)
}

func (d *decider) offer(now clock.Millis, r sched.Request) {
	r = d.inner.Predict(r)
	if d.auditor != nil {
		d.auditor.Offer(now, r)
	}
	d.inner.Offer(now, r)
	d.collect(now)
}

func (d *decider) adopt(now clock.Millis, r sched.Request, server string) {
	if d.auditor != nil {
		d.auditor.Adopt(now, r, server)
	}
	d.inner.Adopt(now, r, server)
	d.collect(now)
}

func (d *decider) cancel(now clock.Millis, id string) {
	if d.auditor != nil {
		d.auditor.Cancel(now, id)
	}
	d.inner.Cancel(now, id)
	d.collect(now)
}

func (d *decider) progress(now clock.Millis, p sched.Progress) {
	if d.auditor != nil {
		d.auditor.Progress(now, p)
	}
	d.inner.Progress(now, p)
	d.collect(now)
}

func (d *decider) release(now clock.Millis, done sched.Done) {
	if d.auditor != nil {
		d.auditor.Release(now, done)
	}
	d.inner.Release(now, done)
	d.collect(now)
}

func (d *decider) tick(now clock.Millis) {
	d.inner.Tick(now)
	d.collect(now)
}
