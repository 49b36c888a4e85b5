package verbs

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/tools/loads"
)

func newLoad() *cobra.Command {
	var file, report string
	c := &cobra.Command{
		Use:   "load",
		Short: "Generates a bounded load on running hosts and reports what callers saw",
		Long: `Generates a bounded load on running hosts over real sockets. Settings are JSON
with comments; without a file the load fits serve --embedded. It exits with 1 if
a booking ran twice or ran although its caller was told "not run", or if a
stream returned a text other than the stand-ins give for its prompt.`,
		Example: `  siskinsaddle load
  siskinsaddle load --settings load.hujson --report out/load.json`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return load(c, file, report)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "file with the load settings; a small load without it")
	c.Flags().StringVar(&report, "report", "", "file to write the report to, as JSON")
	return c
}

func load(c *cobra.Command, file, reportFile string) error {
	s := loads.Default()
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read load settings")
		}
		read, list := loads.Parse(file, text)
		if err := list.Err(); err != nil {
			return err
		}
		s = read
	}
	l := &loads.Load{Settings: s, Clock: clock.System()}
	r, err := l.Run(c.Context())
	if err != nil {
		return err
	}
	if err := loads.Print(c.OutOrStdout(), r); err != nil {
		return err
	}
	if err := writeReport(reportFile, r); err != nil {
		return err
	}
	if r.Bookings.RanTwice > 0 || r.Bookings.ToldNotRunButRan > 0 {
		return errors.Newf("%d bookings ran twice, %d ran although told not run", r.Bookings.RanTwice, r.Bookings.ToldNotRunButRan)
	}
	if wrong := r.Wrong(); wrong > 0 {
		return errors.Newf("%d streams returned a wrong text", wrong)
	}
	return nil
}

func writeReport(file string, r loads.Report) error {
	if file == "" {
		return nil
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(file, append(text, '\n'), 0o644), "report")
}
