package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/suite"
	"siskinsaddle/internal/plat/amazon"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/serve/hostd"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/mfest"
)

func newServe() *cobra.Command {
	var file string
	var embedded bool
	c := &cobra.Command{
		Use:   "serve",
		Short: "Runs one entry host",
		Long: `Runs one entry host until SIGTERM or an interrupt, then finishes the requests
in progress and exits.

With --embedded, stand-ins for the model engines, a plain service and the
platform run in the same process.`,
		Example: `  siskinsaddle serve --embedded
  siskinsaddle serve --settings host.hujson`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return serve(c, s, embedded)
		},
	}
	addSettingsFlag(c, &file)
	c.Flags().BoolVar(&embedded, "embedded", false, "run stand-ins in the same process")
	return c
}

func serve(c *cobra.Command, s config.Settings, embedded bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l := logs.New(c.ErrOrStderr(), s.LogLevel)
	if embedded {
		st := &suite.Suite{Settings: suite.Embedded().WithPorts(firstStandInPort)}
		if err := st.Start(); err != nil {
			return err
		}
		defer st.Stop()
		l.WithPrefix("standin").Info("Stand-ins started.", "faults", "http://"+st.Address()+"/faults")
	}
	h := newHost(s, l)
	if err := h.Start(context.Background()); err != nil {
		return err
	}
	l.WithPrefix("host").Info("Accepting requests.", "address", h.Address(), "failureDomain", s.FailureDomain)
	if embedded {
		go pushEmbedded(ctx, h, l)
	}
	<-ctx.Done()
	l.WithPrefix("host").Info("Stopping; finishing requests in progress.")
	return h.Stop(context.Background())
}

// pushEmbedded pushes the embedded manifest, so that it comes into force.
func pushEmbedded(ctx context.Context, h *hostd.Host, l *log.Logger) {
	p := &accept.Pusher{
		Platform:      accept.Platform{Table: h.Table, Objects: h.Objects, Clock: h.Clock},
		Registrations: h.Registrations,
		Log:           l.WithPrefix("push"),
		By:            "embedded",
	}
	answer := p.Push(ctx, mfest.Default())
	l.WithPrefix("push").Info("Pushed the embedded manifest.", "outcome", answer.Outcome, "generation", answer.Generation)
}

// newHost returns a host connected to the platform of its settings.
func newHost(s config.Settings, l *log.Logger) *hostd.Host {
	counters := count.NewSet()
	faults := newFaults(logs.Limit(l, clock.System(), nil), counters)
	platform := platformSettings(s)
	platform.Faults = faults
	return &hostd.Host{
		Settings: s,
		List:     disco.NewHTTP(s.Platform.ListAddress, s.Platform.TimeoutMilliseconds, faults),
		Table:    amazon.NewTable(platform),
		Objects:  amazon.NewObjects(platform),
		Clock:    clock.System(),
		Faults:   faults,
		Count:    counters,
		Log:      l,
	}
}

// platformSettings returns the platform adapter's part of the settings.
func platformSettings(s config.Settings) amazon.Settings {
	return amazon.Settings{
		TableEndpoint:  s.Platform.TableEndpoint,
		ObjectEndpoint: s.Platform.ObjectEndpoint,
		Region:         s.Platform.Region,
		AccessKey:      s.Platform.AccessKey,
		SecretKey:      string(s.Platform.SecretKey),
		Table:          s.Platform.TableName,
		Bucket:         s.Platform.Bucket,
		DialTimeout:    s.Platform.TimeoutMilliseconds,
		Timeout:        s.Platform.TimeoutMilliseconds,
	}
}
