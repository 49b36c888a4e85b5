package verbs

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of the program.
const Version = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Prints the version",
		Example: `  siskinsaddle version`,
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "siskinsaddle %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
