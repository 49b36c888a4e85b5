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

// reloadPeriod is the interval between checks of the settings file, which may
// change without a signal, in milliseconds.
const reloadPeriod = 2 * clock.Second

// reloader applies a changed settings file as a whole, or rejects it as a whole.
type reloader struct {
	file    string
	current platform.Settings
	host    *proxyd.Host
	clock   clock.Clock
	log     *logs.Limited
	modTime time.Time
	size    int64
}

// run reloads the file on SIGHUP and when it has changed, until the context ends.
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

// changed reports whether the file's modification time or size differs from the last
// call.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("Failed to stat the settings file.", "file", r.file, "err", err)
		return false
	}
	same := info.ModTime().Equal(r.modTime) && info.Size() == r.size
	r.modTime, r.size = info.ModTime(), info.Size()
	return !same
}

func (r *reloader) reload(cause string) {
	next, err := platform.Load(r.file)
	if err == nil {
		err = checkImmutable(r.current, next)
	}
	if err != nil {
		r.log.Error("Changed settings were refused; the earlier ones stay in force.", "cause", cause, "err", err)
		return
	}
	r.current = next
	r.host.Apply(proxydSettings(next))
	r.host.Proxy.Apply(proxyLimits(next))
	r.log.Info("Settings applied.", "cause", cause, "revoke", next.Bounds.Revoke, "stop", next.Bounds.Stop)
}

// checkImmutable returns an error that lists every change that needs a restart of
// the process.
func checkImmutable(old, next platform.Settings) error {
	var rejected error
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
			rejected = errors.Join(rejected, errors.Newf("%s cannot change while the host runs", f.name))
		}
	}
	return rejected
}
