package verbs

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/tools/trace"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG...]",
		Short: "Explains from hosts' logs what happened to a request",
		Long: `Reads the logs of one or more hosts, or standard input, and prints the
host's view of the system at the time, the request's path, and why it ended as it
did.`,
		Example: `  siskinsaddle explain 9c41d07be2a35f68 host-1.log host-2.log
  fleetbench run SITE DAY --log all | siskinsaddle explain 9c41d07be2a35f68`,
		Args: func(c *cobra.Command, args []string) error {
			return usageError(cobra.MinimumNArgs(1)(c, args))
		},
		RunE: func(c *cobra.Command, args []string) error {
			sources := []trace.Source{{Name: "standard input", Reader: c.InOrStdin()}}
			if len(args) > 1 {
				sources = nil
			}
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return errors.Wrap(err, "open log")
				}
				defer func() { _ = f.Close() }() // opened for reading only
				sources = append(sources, trace.Source{Name: name, Reader: f})
			}
			s, err := trace.Read(sources, args[0])
			if err != nil {
				return err
			}
			if len(s.Lines) == 0 {
				return errors.Newf("no log line mentions request %q", args[0])
			}
			return s.Write(c.OutOrStdout())
		},
	}
}
