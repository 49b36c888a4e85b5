package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/proxy"
	"siskinsaddle/internal/serve/proxyd"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/sites"
	"siskinsaddle/internal/share/watch"
	"siskinsaddle/platform"
)

// NewSite returns the site verb with its subcommands.
func NewSite() *cobra.Command {
	check := &cobra.Command{
		Use:     "check FILE",
		Short:   "Checks a site file and prints every finding with its position",
		Example: "  siskinsaddle site check shop.site.hujson",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			s, err := readSite(args[0])
			if err != nil {
				return err
			}
			c.Printf("%s: version %d, %d routes, %d services, %d workspaces, %d servers\n",
				args[0], s.site.Version, len(s.site.Routes), len(s.site.Services), len(s.site.Workspaces), len(s.site.Servers))
			return nil
		},
	}
	show := &cobra.Command{
		Use:     "show",
		Short:   "Prints the embedded site, as a template for a site file",
		Example: "  siskinsaddle site show > shop.site.hujson",
		Args:    noArgs,
		Run:     func(c *cobra.Command, _ []string) { c.Print(string(sites.Default)) },
	}
	return group("site", "Checks site files, which configure a host without the platform",
		"  siskinsaddle site show > shop.site.hujson\n  siskinsaddle site check shop.site.hujson\n  siskinsaddle front --site shop.site.hujson",
		check, show)
}

// siteFile is a decoded site with its source text.
type siteFile struct {
	site sites.Site
	text []byte
}

// readSite reads a site file, or the embedded site if file is empty.
func readSite(file string) (siteFile, error) {
	text := sites.Default
	if file != "" {
		var err error
		if text, err = os.ReadFile(file); err != nil {
			return siteFile{}, errors.Wrap(err, "read site")
		}
	}
	s, err := sites.Decode(file, text)
	return siteFile{site: s, text: text}, err
}

// Limits of a host without the platform. Repeats are bounded as on the users'
// sites: a share of the requests plus a number, in a window in milliseconds.
const (
	siteRepeatRatio  = 0.2
	siteRepeatSlack  = 10
	siteRepeatWindow = 10 * clock.Second
	// siteReadyAge is the maximum age of the manifest confirmation at which the
	// host is ready, in milliseconds: many reads of the in-process store.
	siteReadyAge = 5 * clock.Second
	siteHostName = "host"
)

// siteHost is a host that takes its manifest and servers from a site file, through
// an in-process store.
type siteHost struct {
	file    string
	current siteFile
	store   *memdb.Store
	log     *logs.Limited
	host    *proxyd.Host
}

func newSiteHost(file string, clk clock.Clock, l *logs.Limited, counters *count.Set) (*siteHost, error) {
	s, err := readSite(file)
	if err != nil {
		return nil, err
	}
	h := &siteHost{file: file, current: s, store: memdb.New(clk), log: l}
	if err := h.put(s); err != nil {
		return nil, err
	}
	w := &watch.Watcher{Store: h.store.For(siteHostName), Clock: clk, Source: sites.Source(), Log: l.WithPrefix("news")}
	p := &proxy.Proxy{
		Fields: platform.Headers,
		Clock:  clk,
		View:   w.View,
		Age:    w.Age,
		Client: &wire.Client{DialTimeout: dialTimeout, ProgressTimeout: progressTimeout, Faults: newFaults(l, counters)},
		Placer: place.New(place.Defaults()),
		Log:    l.WithPrefix("pass"),
		Count:  counters,
	}
	p.Hosts = func() int { return 1 }
	self := []member.Member{{Name: siteHostName, Cores: 1}}
	p.Broker = &broker.Broker{
		Self:     siteHostName,
		Members:  func() []member.Member { return self },
		Clock:    clk,
		Log:      l.WithPrefix("clerk"),
		Count:    counters,
		Settings: grant.Defaults(),
	}
	p.Guard = &guard.Guard{Self: siteHostName, Clock: clk, Log: l.WithPrefix("guard"), Count: counters}
	p.Broker.Guard = p.Guard
	p.Broker.Register()
	p.Apply(proxy.Limits{RepeatRatio: siteRepeatRatio, RepeatSlack: siteRepeatSlack, RepeatWindow: siteRepeatWindow})
	h.host = &proxyd.Host{
		Settings: proxyd.Settings{
			CallerAddress:  s.site.Host.CallerAddress,
			ReadyAddress:   s.site.Host.ReadyAddress,
			MetricsAddress: s.site.Host.MetricsAddress,
			StopTime:       s.site.Host.StopTime,
			MaxReadyAge:    siteReadyAge,
		},
		Watcher: w, Proxy: p, Clock: clk, Log: l, Count: counters,
	}
	return h, nil
}

// put writes a site into the store and deletes the servers that are no longer in
// it.
func (h *siteHost) put(s siteFile) error {
	servers := map[string][]byte{}
	for _, server := range s.site.Servers {
		value, err := sites.ServerRow(server)
		if err != nil {
			return err
		}
		servers[server.ID] = value
	}
	for _, old := range h.current.site.Servers {
		if _, ok := servers[old.ID]; !ok {
			h.store.Delete(sites.ServersTable, old.ID)
		}
	}
	for id, value := range servers {
		h.store.Put(sites.ServersTable, id, value)
	}
	h.store.Put(sites.ManifestTable, sites.ManifestKey, s.text)
	h.current = s
	return nil
}

// reload applies a changed file as a whole, or rejects it as a whole.
func (h *siteHost) reload(cause string) {
	next, err := readSite(h.file)
	if err == nil && next.site.Host != h.current.site.Host {
		err = errors.New("the host's addresses and stop time cannot change while the host runs")
	}
	if err == nil {
		err = h.put(next)
	}
	if err != nil {
		h.log.Error("Site reload rejected; the previous version stays in force.", "cause", cause, "err", err)
		return
	}
	h.log.Info("Site applied.", "cause", cause, "version", next.site.Version)
}

// watch reloads the file on SIGHUP and when it has changed, until the context ends.
func (h *siteHost) watch(ctx context.Context, clk clock.Clock) {
	if h.file == "" {
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	last := modTime(h.file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			last = modTime(h.file)
			h.reload("SIGHUP")
		case <-clk.After(reloadPeriod):
			if next := modTime(h.file); !next.Equal(last) {
				last = next
				h.reload("FileChanged")
			}
		}
	}
}

// modTime returns the modification time of a file, the zero time if stat fails. The
// reload that follows then logs the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
