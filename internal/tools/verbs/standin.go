package verbs

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/fakes/suite"
)

// firstStandInPort is the default of the first of the consecutive stand-in ports.
const firstStandInPort = 7400

var deployments = map[string]func() suite.Settings{
	"Embedded": suite.Embedded,
	"Kestrel":  suite.Kestrel,
	"Bukal":    suite.Bukal,
}

type standInFlags struct {
	deployment string
	settings   string
	port       int
}

// NewStandin returns the verb that runs all stand-ins in one process.
func NewStandin() *cobra.Command {
	var f standInFlags
	c := &cobra.Command{
		Use:   "standin",
		Short: "Runs stand-ins for the model engines, plain services and the platform",
		Long: `Runs stand-ins on loopback until it is interrupted: model engines, plain
services, and the platform's table service, object store and list of machines.

The first port serves the fault injection API:
  GET  /faults        lists all stand-ins with their addresses and faults
  POST /faults/NAME   changes the faults of one stand-in; omitted fields stay
  GET  /runs          returns how often each booking ran`,
		Example: `  siskinsaddle standin
  siskinsaddle standin --deployment Kestrel --port 7600
  siskinsaddle standin --settings standin.hujson
  curl http://127.0.0.1:7400/faults
  curl -X POST http://127.0.0.1:7400/faults/canvas-llm-1 -d '{"Slowdown": 4}'`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().StringVar(&f.deployment, "deployment", "Embedded", "set of servers to run: Embedded, Kestrel or Bukal")
	c.Flags().StringVar(&f.settings, "settings", "", "JSON with comments that lists the servers, instead of --deployment")
	c.Flags().IntVar(&f.port, "port", firstStandInPort, "first port; 0 picks free ports")
	return c
}

func (f standInFlags) read() (suite.Settings, error) {
	if f.settings != "" {
		text, err := os.ReadFile(f.settings)
		if err != nil {
			return suite.Settings{}, errors.Wrap(err, "settings")
		}
		return suite.Parse(f.settings, text)
	}
	build, ok := deployments[f.deployment]
	if !ok {
		return suite.Settings{}, usageError(errors.Newf("deployment %q does not exist: Embedded, Kestrel or Bukal", f.deployment))
	}
	s := build()
	if f.port == 0 {
		return s, nil
	}
	return s.WithPorts(f.port), nil
}

func (f standInFlags) run(c *cobra.Command) error {
	settings, err := f.read()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &suite.Suite{Settings: settings}
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Stop()
	c.Printf("platform   http://%s\n", s.Platform().Address())
	for _, e := range s.Platform().Entries() {
		c.Printf("%-10s http://%s %s\n", e.Name, e.Address, e.FailureDomain)
	}
	c.Printf("faults     http://%s/faults\n", s.Address())
	<-ctx.Done()
	return nil
}
