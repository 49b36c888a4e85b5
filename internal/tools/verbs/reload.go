package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/proxyd"
	"siskinsaddle/platform"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal, in milliseconds.
const reloadPeriod = 2 * clock.Second

// reloader applies a changed settings file as a whole, or refuses it.
type reloader struct {
	file     string
	current  platform.Settings
	gate     *proxyd.Gate
	clock    clock.Clock
	log      *logs.Limited
	modified time.Time
	bytes    int64
}

// run reads the file after SIGHUP, and when it changed, until the context ends.
func (r *reloader) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	r.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.changed()
			r.reload("SIGHUP")
		case <-r.clock.After(reloadPeriod):
			if r.changed() {
				r.reload("FileChanged")
			}
		}
	}
}

// changed tells whether the file looks other than at the last call.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("The settings file cannot be looked at.", "file", r.file, "err", err)
		return false
	}
	same := info.ModTime().Equal(r.modified) && info.Size() == r.bytes
	r.modified, r.bytes = info.ModTime(), info.Size()
	return !same
}

func (r *reloader) reload(cause string) {
	next, err := platform.Load(r.file)
	if err == nil {
		err = fixed(r.current, next)
	}
	if err != nil {
		r.log.Error("Changed settings were refused; the earlier ones stay in force.", "cause", cause, "err", err)
		return
	}
	r.current = next
	r.gate.Apply(gateSettings(next))
	r.gate.Pass.Apply(passBounds(next))
	r.log.Info("Settings applied.", "cause", cause, "revoke", next.Bounds.Revoke, "stop", next.Bounds.Stop)
}

// fixed reports every change that needs a new start of the process.
func fixed(old, next platform.Settings) error {
	var refused error
	for _, f := range []struct {
		name string
		same bool
	}{
		{"the host's name", old.HostName == next.HostName},
		{"the host's failure domain", old.FailureDomain == next.FailureDomain},
		{"the address for callers", old.CallerAddress == next.CallerAddress},
		{"the address for readiness checks", old.ReadyAddress == next.ReadyAddress},
		{"the port for other hosts", old.PeerPort == next.PeerPort},
		{"the store's address", old.StoreAddress == next.StoreAddress},
	} {
		if !f.same {
			refused = errors.Join(refused, errors.Newf("%s cannot change while the host runs", f.name))
		}
	}
	return refused
}
