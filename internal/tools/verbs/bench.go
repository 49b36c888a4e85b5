package verbs

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/tools/bench"
)

type benchFlags struct {
	json     string
	compare  string
	plot     string
	seed     int64
	policies []string
	quiet    bool
}

// NewBench returns the verb that measures the policies in virtual time.
func NewBench() *cobra.Command {
	var f benchFlags
	c := &cobra.Command{
		Use:   "bench SCENARIO...",
		Short: "Measures the policies against model engines in virtual time",
		Long: `Runs the policy code against model engines in virtual time, for each scenario
file, and reports the figures of each policy and which targets were met. The same
files and seed give the same report.`,
		Example: `  siskinsaddle bench bench/kestrel-crest.hujson
  siskinsaddle bench bench/*-steady.hujson --json steady.json
  siskinsaddle bench bench/*-steady.hujson --compare steady.json
  siskinsaddle bench bench/bukal-crest.hujson --policy Naive --policy Group --plot plots`,
		Args: func(c *cobra.Command, args []string) error { return usageError(cobra.MinimumNArgs(1)(c, args)) },
		RunE: func(c *cobra.Command, files []string) error { return f.run(c, files) },
	}
	c.Flags().StringVar(&f.json, "json", "", "file to write the reports to, as JSON")
	c.Flags().StringVar(&f.compare, "compare", "", "earlier JSON report to compare with")
	c.Flags().StringVar(&f.plot, "plot", "", "directory to write plots to, as PNG and SVG")
	c.Flags().Int64Var(&f.seed, "seed", 0, "seed instead of the scenario's; 0 keeps it")
	c.Flags().StringArrayVar(&f.policies, "policy", nil, "policy to run, repeatable; by default all; targets are checked against the last")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress")
	return c
}

func (f benchFlags) run(c *cobra.Command, files []string) error {
	var earlier bench.Reports
	if f.compare != "" {
		var err error
		if earlier, err = bench.ReadReports(f.compare); err != nil {
			return err
		}
	}
	var all bench.Reports
	for _, file := range files {
		r, err := f.measure(c, file)
		if err != nil {
			return err
		}
		all.Reports = append(all.Reports, r)
		if err := f.show(c.OutOrStdout(), r, earlier); err != nil {
			return err
		}
	}
	return f.save(all)
}

func (f benchFlags) measure(c *cobra.Command, file string) (bench.Report, error) {
	s, d, err := bench.ReadScenario(file)
	if err != nil {
		return bench.Report{}, err
	}
	if f.seed != 0 {
		s.Seed = f.seed
	}
	b := bench.Bench{Scenario: s, Deployment: d}
	for _, name := range f.policies {
		policy, err := bench.ParsePolicy(name)
		if err != nil {
			return bench.Report{}, usageError(err)
		}
		b.Policies = append(b.Policies, policy)
	}
	if !f.quiet {
		b.Progress = func(line string) { c.PrintErrln(line) }
	}
	return b.Run(), nil
}

func (f benchFlags) show(w io.Writer, r bench.Report, earlier bench.Reports) error {
	if err := r.WriteTable(w); err != nil {
		return err
	}
	if f.compare != "" {
		if err := r.WriteComparison(w, earlier); err != nil {
			return err
		}
	}
	if f.plot != "" {
		if err := os.MkdirAll(f.plot, 0o755); err != nil {
			return errors.Wrap(err, "create plot directory")
		}
		if err := r.Plot(filepath.Join(f.plot, r.Scenario)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

func (f benchFlags) save(all bench.Reports) error {
	if f.json == "" {
		return nil
	}
	file, err := os.Create(f.json)
	if err != nil {
		return errors.Wrap(err, "create report file")
	}
	if err := all.WriteJSON(file); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return file.Close()
}
