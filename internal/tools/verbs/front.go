package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/proxy"
	"siskinsaddle/internal/serve/proxyd"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/mirror"
	"siskinsaddle/internal/share/notify"
	"siskinsaddle/internal/share/watch"
	"siskinsaddle/platform"
)

func newFront() *cobra.Command {
	var file, site string
	var embedded bool
	c := &cobra.Command{
		Use:   "front",
		Short: "Runs one proxy host, on the users' platform or standalone",
		Long: `Runs one host that proxies requests to the backend servers listed in the
platform's store, by the routes of the manifest there. With --site both come
from a file, with --embedded from the one that "siskinsaddle site show" prints.
After SIGTERM it exits once the last response is sent.`,
		Example: `  siskinsaddle front --platform-settings /etc/siskinsaddle/local.json
  siskinsaddle front --site shop.site.hujson
  siskinsaddle front --embedded`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if embedded || site != "" {
				return frontStandalone(site, c.OutOrStdout())
			}
			return front(file, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "platform-settings", platform.SettingsPath(), "the platform's settings file")
	c.Flags().StringVar(&site, "site", "", "site file to use instead of the platform")
	c.Flags().BoolVar(&embedded, "embedded", false, "use the embedded site instead of the platform")
	c.MarkFlagsMutuallyExclusive("site", "embedded")
	return c
}

const (
	// memoryShare is the Go runtime's memory limit as a share of the host's memory.
	memoryShare = 0.6
	// bufferShare is the share of the host's memory for responses that are read whole.
	// The garbage of growing buffers takes as much again.
	bufferShare = 0.12
	// bodyShare is the share of the host's memory for request bodies of over 64 KiB. With
	// bufferShare and what a host needs without them it fits into memoryShare.
	bodyShare = 0.3
	// keyMargin is subtracted from the platform's revocation bound to get the
	// maximum age of a manifest confirmation under which keys are accepted, in
	// milliseconds. It covers the time a request takes to reach a server, also
	// on a slowed host.
	keyMargin = 350 * clock.Millis(1)
	// readyMargin is how long before it has to refuse keys a host reports itself
	// as not ready, in milliseconds, so that the load balancer removes it first.
	readyMargin = 400 * clock.Millis(1)
	// peerDialTimeout and peerSilenceTimeout bound how long a request waits for a
	// dead keeper, in milliseconds: about fifty times the one-way latency between
	// failure domains.
	peerDialTimeout    = 100 * clock.Millis(1)
	peerSilenceTimeout = 100 * clock.Millis(1)
	// confirmShare is the interval between reads of the manifest, as a share of
	// the time within which a change has to be in force.
	confirmShare = 0.6
	// hostsTable is the table of the store in which hosts register to discover
	// each other.
	hostsTable = "hosts"
	// metricsPort matches deploy/system.toml.
	metricsPort = 9464
	// dialTimeout is a hundred times the time to open a connection between failure
	// domains, in milliseconds.
	dialTimeout = 300 * clock.Millis(1)
	// progressTimeout is the maximum time without data within a response, in
	// milliseconds: the longest timeout of the users' routes.
	progressTimeout = 12 * clock.Second
)

// logFlushTimeout bounds the writing of the queued log lines at exit, in
// milliseconds.
const logFlushTimeout = 200 * clock.Millis(1)

func front(file string, out io.Writer) error {
	c := clock.System()
	counters := count.NewSet()
	queue := logs.NewQueue(out)
	defer queue.Close(c, logFlushTimeout)
	plain := logs.NewPlain(queue, logs.LevelInfo)
	l := logs.Limit(plain, c, counters)
	s, err := platform.Load(file)
	if err != nil {
		l.Error("Failed to load the platform's settings.", "file", file, "err", err)
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	h := newFrontHost(s, c, l, plain, counters)
	h.DroppedLogLines = queue.Dropped
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := h.Start(runCtx); err != nil {
		l.Error("Failed to start the host.", "err", err)
		return err
	}
	l.Info("Accepting requests.", "host", s.HostName, "address", s.CallerAddress, "failureDomain", s.FailureDomain)
	go (&reloader{file: file, current: s, host: h, clock: c, log: l}).run(runCtx)
	<-ctx.Done()
	h.Stop()
	return nil
}

// frontStandalone runs a host from a site file, or from the embedded site if file
// is empty.
func frontStandalone(file string, out io.Writer) error {
	c := clock.System()
	counters := count.NewSet()
	queue := logs.NewQueue(out)
	defer queue.Close(c, logFlushTimeout)
	l := logs.Limit(logs.NewPlain(queue, logs.LevelInfo), c, counters)
	h, err := newSiteHost(file, c, l, counters)
	if err != nil {
		return err
	}
	h.host.DroppedLogLines = queue.Dropped
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := h.host.Start(runCtx); err != nil {
		return err
	}
	l.Info("Accepting requests.", "address", h.host.Settings.CallerAddress, "version", h.current.site.Version)
	go h.watch(runCtx, c)
	<-ctx.Done()
	h.host.Stop()
	return nil
}

// newFrontHost assembles a host from the platform's settings.
func newFrontHost(s platform.Settings, c clock.Clock, l *logs.Limited, plain *log.Logger, counters *count.Set) *proxyd.Host {
	p, w := newProxy(s, c, l, counters)
	cluster := newCluster(s, c, l, plain, counters)
	p.Broker, p.Guard = cluster.Broker, cluster.Guard
	cluster.Notifier.Adopt, cluster.Notifier.Known = p.AdoptLeaving, p.LeavingServers
	p.ShareLeaving = cluster.Notifier.Share
	cluster.Mirror.Watcher = w
	w.SettledEra, w.OnSettled = cluster.Registry.SettledEra, cluster.Registry.Settled
	w.OnRestored = func() {
		cluster.Registry.Restored()
		cluster.Mirror.Restored()
	}
	p.Broker.CachedSegments = platform.Engines{Client: p.Client}.CachedSegments
	p.Hosts = cluster.Count
	return &proxyd.Host{
		Settings: proxydSettings(s),
		Watcher:  w,
		Proxy:    p,
		Cluster:  cluster,
		Clock:    c,
		Log:      l,
		Count:    counters,
	}
}

func proxydSettings(s platform.Settings) proxyd.Settings {
	return proxyd.Settings{
		CallerAddress:  s.CallerAddress,
		ReadyAddress:   s.ReadyAddress,
		MetricsAddress: fmt.Sprintf("%s:%d", s.IP, metricsPort),
		StopTime:       s.Bounds.Stop,
		MaxBodies:      int64(float64(s.MemoryBytes) * bodyShare),
		MaxReadyAge:    s.Bounds.Revoke - keyMargin - readyMargin,
	}
}

func proxyLimits(s platform.Settings) proxy.Limits {
	limits := proxy.Limits{
		RepeatRatio:  s.Bounds.RepeatRatio,
		RepeatSlack:  s.Bounds.RepeatSlack,
		RepeatWindow: s.Bounds.RepeatWindow,
		MaxBuffered:  int64(float64(s.MemoryBytes) * bufferShare),
	}
	if s.Bounds.RevokeStrict {
		limits.MaxKeyAge = s.Bounds.Revoke - keyMargin
	}
	return limits
}

// newFaults returns what reports broken responses.
func newFaults(l *logs.Limited, counters *count.Set) *reply.Faults {
	return &reply.Faults{Log: l.WithPrefix("wire"), Count: counters}
}

// newStore returns the platform's store, which counts and times its calls.
func newStore(s platform.Settings, c clock.Clock, l *logs.Limited, counters *count.Set) rows.Store {
	return platform.NewStore(s.StoreAddress, newFaults(l, counters)).WithObserver(c, func(call rows.Call, took clock.Millis, err error) {
		outcome := "Answered"
		if err != nil {
			outcome = "Failed"
		}
		name := meter.Label("call", string(call))
		counters.Add(meter.StoreCalls, 1, name, meter.Label("outcome", outcome))
		counters.Observe(meter.StoreTime, int64(took), name)
	})
}

// newProxy returns the proxy and the watcher of the manifest and servers that it
// routes by.
func newProxy(s platform.Settings, c clock.Clock, l *logs.Limited, counters *count.Set) (*proxy.Proxy, *watch.Watcher) {
	w := &watch.Watcher{
		Store: newStore(s, c, l, counters),
		Clock: c,
		Source: watch.Source{
			ManifestRange: platform.ManifestRange,
			ServersRange:  platform.ServersRange,
			Manifest:      platform.Manifest,
			Server:        platform.Server,
		},
		Log:          l.WithPrefix("news"),
		ConfirmEvery: clock.Millis(confirmShare * float64(s.Bounds.Apply)),
	}
	p := &proxy.Proxy{
		Fields:          platform.Headers,
		Clock:           c,
		View:            w.View,
		Age:             w.Age,
		Client:          &wire.Client{DialTimeout: dialTimeout, ProgressTimeout: progressTimeout, Faults: newFaults(l, counters)},
		ServersIdentify: true,
		Placer:          place.New(place.Defaults()),
		Log:             l.WithPrefix("pass"),
		Count:           counters,
	}
	p.Apply(proxyLimits(s))
	return p, w
}

// newCluster returns the registry of hosts, the links to them, and the mirror and
// broker that use both.
func newCluster(s platform.Settings, c clock.Clock, l *logs.Limited, plain *log.Logger, counters *count.Set) *proxyd.Cluster {
	cluster := &proxyd.Cluster{
		Registry: &member.Registry{
			Store: newStore(s, c, l, counters),
			Table: hostsTable,
			Self: member.Member{
				Name:          s.HostName,
				Address:       fmt.Sprintf("%s:%d", s.IP, s.PeerPort),
				FailureDomain: s.FailureDomain,
				Cores:         s.Cores,
			},
			Clock: c,
			Log:   l.WithPrefix("crew"),
		},
		Link: &link.Node{
			Name:           s.HostName,
			Listen:         fmt.Sprintf("%s:%d", s.IP, s.PeerPort),
			Clock:          c,
			Log:            plain.WithPrefix("link"),
			Counters:       counters,
			DialTimeout:    peerDialTimeout,
			SilenceTimeout: peerSilenceTimeout,
		},
	}
	cluster.Link.Address = cluster.Registry.Address
	cluster.Mirror = &mirror.Mirror{
		Self:          s.HostName,
		FailureDomain: s.FailureDomain,
		Members:       cluster.Registry,
		Joined:        cluster.Joined,
		Link:          cluster.Link,
		Clock:         c,
		Log:           l.WithPrefix("brief"),
		MaxApplyDelay: s.Bounds.Apply,
	}
	cluster.Broker = &broker.Broker{
		Self:     s.HostName,
		Members:  cluster.Members,
		Link:     cluster.Link,
		Clock:    c,
		Log:      l.WithPrefix("clerk"),
		Count:    counters,
		Settings: grant.Defaults(),
	}
	cluster.Guard = &guard.Guard{
		Self:     s.HostName,
		Members:  cluster.Members,
		Analysts: cluster.Broker.Analysts,
		Link:     cluster.Link,
		Commit:   cluster.Registry.Store.Commit,
		Table:    hostsTable,
		Clock:    c,
		Log:      l.WithPrefix("guard"),
		Count:    counters,
	}
	cluster.Broker.Guard = cluster.Guard
	cluster.Notifier = &notify.Notifier{
		Self:    s.HostName,
		Members: cluster.Members,
		Keepers: cluster.Broker.Keepers,
		Link:    cluster.Link,
		Clock:   c,
		Log:     l.WithPrefix("notify"),
	}
	cluster.Broker.OnReport = cluster.Notifier.Tell
	cluster.Registry.OnOther = cluster.Guard.ReadRow
	cluster.Registry.OnRestored = cluster.Guard.StoreRestored
	cluster.Registry.OnSecret = cluster.Link.SetSecret
	return cluster
}
