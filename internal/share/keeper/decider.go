package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/decide"
	"siskinsaddle/internal/policy/sched"
)

// decider is a decide.Decider that can be watched by an auditor, which is told
// each input and the decisions that follow from it.
type decider struct {
	inner *decide.Decider
	audit *audit.Auditor
	taken []sched.Decision
}

func newDecider(s sched.Settings, watch func(sched.Settings) *audit.Auditor) *decider {
	d := &decider{inner: decide.New(s)}
	if watch != nil {
		d.audit = watch(s)
	}
	return d
}

func (d *decider) after(now clock.Millis) {
	decisions := d.inner.Take(now)
	if d.audit != nil {
		d.audit.SetServers(now, d.inner.Servers())
		d.audit.Decided(now, decisions)
	}
	d.taken = append(d.taken, decisions...)
}

func (d *decider) take() []sched.Decision {
	taken := d.taken
	d.taken = nil
	return taken
}

func (d *decider) setSettings(now clock.Millis, s sched.Settings) {
	d.inner.SetSettings(now, s)
	d.after(now)
}

func (d *decider) setServers(now clock.Millis, list []sched.Server) {
	d.inner.SetServers(now, list)
	d.after(now)
}

func (d *decider) offer(now clock.Millis, r sched.Request) {
	r = d.inner.Predict(r)
	if d.audit != nil {
		d.audit.Offer(now, r)
	}
	d.inner.Offer(now, r)
	d.after(now)
}

func (d *decider) adopt(now clock.Millis, r sched.Request, server string) {
	if d.audit != nil {
		d.audit.Adopt(now, r, server)
	}
	d.inner.Adopt(now, r, server)
	d.after(now)
}

func (d *decider) cancel(now clock.Millis, id string) {
	if d.audit != nil {
		d.audit.Cancel(now, id)
	}
	d.inner.Cancel(now, id)
	d.after(now)
}

func (d *decider) progress(now clock.Millis, p sched.Progress) {
	if d.audit != nil {
		d.audit.Progress(now, p)
	}
	d.inner.Progress(now, p)
	d.after(now)
}

func (d *decider) release(now clock.Millis, done sched.Done) {
	if d.audit != nil {
		d.audit.Release(now, done)
	}
	d.inner.Release(now, done)
	d.after(now)
}

func (d *decider) tick(now clock.Millis) {
	d.inner.Tick(now)
	d.after(now)
}
