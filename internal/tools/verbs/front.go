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
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/proxy"
	"siskinsaddle/internal/serve/proxyd"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/mirror"
	"siskinsaddle/internal/share/watch"
	"siskinsaddle/platform"
)

func newFront() *cobra.Command {
	var file, site string
	var embedded bool
	c := &cobra.Command{
		Use:   "front",
		Short: "Runs one host that passes requests through, on the users' platform or by itself",
		Long: `Runs one host that passes requests through to the backend servers that the
platform's store lists, by the routes of the manifest there. With --site both
stand in a file, with --embedded in the one that "siskinsaddle site show" prints.
It ends after SIGTERM, when the last answer is out.`,
		Example: `  siskinsaddle front --platform-settings /etc/siskinsaddle/local.json
  siskinsaddle front --site shop.site.hujson
  siskinsaddle front --embedded`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if embedded || site != "" {
				return frontAlone(site, c.OutOrStdout())
			}
			return front(file, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&file, "platform-settings", platform.SettingsPath(), "the platform's settings file")
	c.Flags().StringVar(&site, "site", "", "a site file, in place of the platform")
	c.Flags().BoolVar(&embedded, "embedded", false, "the embedded site, in place of the platform")
	c.MarkFlagsMutuallyExclusive("site", "embedded")
	return c
}

const (
	// memoryShare is how much of the host's memory the runtime may plan with.
	memoryShare = 0.6
	// keyMargin is how much sooner than the platform demands a confirmation is
	// too old for keys, in milliseconds: a request needs its way to a server,
	// on a slowed host as well.
	keyMargin = 350 * clock.Millis(1)
	// readyMargin takes a host out of the balancer before it has to refuse.
	readyMargin = 400 * clock.Millis(1)
	// peerDialTimeout and peerSilence bound how long a request waits for a
	// keeper that is gone, in milliseconds: some fifty ways between failure
	// domains.
	peerDialTimeout = 100 * clock.Millis(1)
	peerSilence     = 100 * clock.Millis(1)
	// confirmShare is the time between two reads of the manifest as a share of
	// the time in which a change has to be in force.
	confirmShare = 0.6
	// hostsTable is the table of the store in which hosts find one another.
	hostsTable = "hosts"
	// metricsPort is the one that deploy/system.toml names.
	metricsPort = 9464
	// dialTimeout is a hundred times a connection's making between failure
	// domains, in milliseconds.
	dialTimeout = 300 * clock.Millis(1)
	// pauseTimeout bounds the silence within an answer, in milliseconds: the
	// longest time limit of the users' routes.
	pauseTimeout = 12 * clock.Second
)

// logsWait bounds the writing of the last lines at the end, in milliseconds.
const logsWait = 200 * clock.Millis(1)

func front(file string, out io.Writer) error {
	c := clock.System()
	counters := count.NewSet()
	queue := logs.NewQueue(out)
	defer queue.Close(c, logsWait)
	plain := logs.NewPlain(queue, logs.LevelInfo)
	l := logs.Limit(plain, c, counters)
	s, err := platform.Load(file)
	if err != nil {
		l.Error("The platform's settings cannot be used.", "file", file, "err", err)
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	g := newGate(s, c, l, plain, counters)
	g.LeftOut = queue.LeftOut
	following, end := context.WithCancel(context.Background())
	defer end()
	if err := g.Start(following); err != nil {
		l.Error("The host cannot start.", "err", err)
		return err
	}
	l.Info("Takes callers.", "host", s.HostName, "address", s.CallerAddress, "failureDomain", s.FailureDomain)
	go (&reloader{file: file, current: s, gate: g, clock: c, log: l}).run(following)
	<-ctx.Done()
	g.Stop()
	return nil
}

// frontAlone runs a host by a site file, the embedded one without a name.
func frontAlone(file string, out io.Writer) error {
	c := clock.System()
	counters := count.NewSet()
	queue := logs.NewQueue(out)
	defer queue.Close(c, logsWait)
	l := logs.Limit(logs.NewPlain(queue, logs.LevelInfo), c, counters)
	h, err := newSiteHost(file, c, l, counters)
	if err != nil {
		return err
	}
	h.gate.LeftOut = queue.LeftOut
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	following, end := context.WithCancel(context.Background())
	defer end()
	if err := h.gate.Start(following); err != nil {
		return err
	}
	l.Info("Takes callers.", "address", h.gate.Settings.CallerAddress, "version", h.now.site.Version)
	go h.watch(following, c)
	<-ctx.Done()
	h.gate.Stop()
	return nil
}

// newGate puts a host together from what the platform says.
func newGate(s platform.Settings, c clock.Clock, l *logs.Limited, plain *log.Logger, counters *count.Set) *proxyd.Gate {
	p, n := newPass(s, c, l, counters)
	others := newCrew(s, c, l, plain, counters)
	p.Clerk = others.Clerk
	others.Brief.News = n
	p.Clerk.Holdings = platform.Engines{Client: p.Client}.Holdings
	p.Hosts = others.Count
	return &proxyd.Gate{
		Settings: gateSettings(s),
		News:     n,
		Pass:     p,
		Crew:     others,
		Clock:    c,
		Log:      l,
		Count:    counters,
	}
}

func gateSettings(s platform.Settings) proxyd.Settings {
	return proxyd.Settings{
		CallerAddress:  s.CallerAddress,
		ReadyAddress:   s.ReadyAddress,
		MetricsAddress: fmt.Sprintf("%s:%d", s.IP, metricsPort),
		StopTime:       s.Bounds.Stop,
		ReadyAge:       s.Bounds.Revoke - keyMargin - readyMargin,
	}
}

func passBounds(s platform.Settings) proxy.Bounds {
	b := proxy.Bounds{
		RepeatRatio:  s.Bounds.RepeatRatio,
		RepeatSlack:  s.Bounds.RepeatSlack,
		RepeatWindow: s.Bounds.RepeatWindow,
	}
	if s.Bounds.RevokeStrict {
		b.KeyAge = s.Bounds.Revoke - keyMargin
	}
	return b
}

// newStore is the platform's store, with its calls counted.
func newStore(s platform.Settings, c clock.Clock, counters *count.Set) rows.Store {
	return platform.NewStore(s.StoreAddress).WithTold(c, func(call rows.Call, took clock.Millis, err error) {
		outcome := "Answered"
		if err != nil {
			outcome = "Failed"
		}
		name := meter.Label("call", string(call))
		counters.Add(meter.StoreCalls, 1, name, meter.Label("outcome", outcome))
		counters.Observe(meter.StoreTime, int64(took), name)
	})
}

// newPass makes what follows the manifest and what forwards by it.
func newPass(s platform.Settings, c clock.Clock, l *logs.Limited, counters *count.Set) (*proxy.Pass, *watch.News) {
	n := &watch.News{
		Store: newStore(s, c, counters),
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
	p := &proxy.Pass{
		Fields: platform.Headers,
		Clock:  c,
		View:   n.View,
		Age:    n.Age,
		Client: &wire.Client{DialTimeout: dialTimeout, ProgressTimeout: pauseTimeout},
		Placer: place.New(place.Defaults()),
		Log:    l.WithPrefix("pass"),
		Count:  counters,
	}
	p.Apply(passBounds(s))
	return p, n
}

// newCrew makes what finds the other hosts and speaks with them.
func newCrew(s platform.Settings, c clock.Clock, l *logs.Limited, plain *log.Logger, counters *count.Set) *proxyd.Crew {
	g := &proxyd.Crew{
		Crew: &member.Crew{
			Store: newStore(s, c, counters),
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
			Name:        s.HostName,
			Listen:      fmt.Sprintf("%s:%d", s.IP, s.PeerPort),
			Clock:       c,
			Log:         plain.WithPrefix("link"),
			Counters:    counters,
			DialWait:    peerDialTimeout,
			SilenceWait: peerSilence,
		},
	}
	g.Link.Address = g.Crew.Address
	g.Brief = &mirror.Brief{
		Self:          s.HostName,
		FailureDomain: s.FailureDomain,
		Crew:          g.Crew,
		Joined:        g.Joined,
		Link:          g.Link,
		Clock:         c,
		Log:           l.WithPrefix("brief"),
		Apply:         s.Bounds.Apply,
	}
	g.Clerk = &broker.Clerk{
		Self:     s.HostName,
		Members:  g.Members,
		Link:     g.Link,
		Clock:    c,
		Log:      l.WithPrefix("clerk"),
		Settings: grant.Defaults(),
	}
	return g
}
