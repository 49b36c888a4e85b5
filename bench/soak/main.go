// Soak runs hosts as processes, injects faults and checks invariants.
//
// # Usage
//
//	go build -o bin/siskinsaddle ./cmd/siskinsaddle
//	go run ./bench/soak --seed 7 --seeds 50
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/tools/soak"
)

func main() {
	var o soak.Options
	var seeds int
	var seconds int64
	c := &cobra.Command{
		Use:           "soak",
		Short:         "Run hosts as processes, inject faults and check invariants",
		Example:       "  go run ./bench/soak --seed 7 --seeds 50 --hosts 6",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Duration = clock.Millis(seconds) * clock.Second
			o.Progress = c.ErrOrStderr()
			return runAll(c.Context(), o, seeds)
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1, "number of consecutive seeds to run")
	f.IntVar(&o.Hosts, "hosts", 6, "processes")
	f.IntVar(&o.Callers, "callers", 16, "callers")
	f.IntVar(&o.Engines, "engines", 6, "engines, at least 6; more than 64 have several keepers")
	f.Int64Var(&seconds, "seconds", 20, "duration of the faults in seconds")
	f.IntVar(&o.Network, "network", 1, "third byte of the hosts' addresses 127.0.NETWORK.x; concurrent runs need different ones")
	f.StringVar(&o.Program, "program", "bin/siskinsaddle", "path of the siskinsaddle binary")
	f.StringVar(&o.Folder, "folder", "out/soak", "folder for settings and logs, with a subfolder for each seed")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := c.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// runAll runs the seeds and returns an error if an invariant was violated.
func runAll(ctx context.Context, o soak.Options, seeds int) error {
	var failed []uint64
	folder := o.Folder
	for range seeds {
		o.Folder = filepath.Join(folder, fmt.Sprint("seed-", o.Seed))
		if err := os.MkdirAll(o.Folder, 0o755); err != nil {
			return err
		}
		report, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Print(report.Text(), "\n")
		if err := os.WriteFile(filepath.Join(o.Folder, "report.txt"), []byte(report.Text()), 0o644); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed = append(failed, o.Seed)
		}
		o.Seed++
	}
	if len(failed) > 0 {
		return fmt.Errorf("invariants were violated with the seeds %v; settings and logs are in %s", failed, folder)
	}
	fmt.Printf("%d seeds, all invariants held\n", seeds)
	return nil
}
