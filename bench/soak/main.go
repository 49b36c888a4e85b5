// Soak runs hosts as processes under faults and checks what they promise.
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
		Short:         "Runs hosts as processes under faults and checks what they promise",
		Example:       "  go run ./bench/soak --seed 7 --seeds 50 --hosts 6",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Length = clock.Millis(seconds) * clock.Second
			o.Progress = c.ErrOrStderr()
			return runAll(c.Context(), o, seeds)
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	f.IntVar(&o.Hosts, "hosts", 6, "processes")
	f.IntVar(&o.Callers, "callers", 16, "callers")
	f.Int64Var(&seconds, "seconds", 20, "time with faults")
	f.IntVar(&o.Network, "network", 1, "the hosts' addresses are 127.0.NETWORK.x; another one for each run beside others")
	f.StringVar(&o.Program, "program", "bin/siskinsaddle", "the program")
	f.StringVar(&o.Folder, "folder", "out/soak", "where settings and logs go, a folder for each seed")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := c.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// runAll plays the seeds and fails if a promise was broken.
func runAll(ctx context.Context, o soak.Options, seeds int) error {
	var broken []uint64
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
		if len(report.Findings) > 0 {
			broken = append(broken, o.Seed)
		}
		o.Seed++
	}
	if len(broken) > 0 {
		return fmt.Errorf("promises were broken with the seeds %v; settings and logs are in %s", broken, folder)
	}
	fmt.Printf("%d seeds, every promise was kept\n", seeds)
	return nil
}
