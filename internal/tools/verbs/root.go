// Package verbs implements the verbs of the command line, one file each, with the
// usage text beside the code.
//
// Exit codes: 0 success, 1 failure, 2 usage error.
//
// # Usage
//
//	func main() { os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr)) }
package verbs

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// errUsage marks errors in how a verb was called.
var errUsage = errors.New("usage error")

// usageError marks an error, so that Main exits with ExitUsage. It returns nil for
// nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errUsage)
}

// noArgs rejects any argument.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usageError(errors.Newf("%s takes no argument %q", c.CommandPath(), args[0]))
}

// oneFile requires exactly one argument, a file name.
func oneFile(c *cobra.Command, args []string) error {
	return usageError(cobra.ExactArgs(1)(c, args))
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	root.PrintErrf("siskinsaddle: %v\n", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "siskinsaddle",
		Short: "Routes language-model traffic with service levels and priorities",
		Example: `  siskinsaddle serve --embedded
  siskinsaddle settings check host.hujson
  siskinsaddle status`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          unknownVerb,
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetHelpCommand(newHelp())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newServe(), newFront(), NewSite(), newExplain(), newSettings(), newStatus(), newVersion(), NewStandin(), NewBench(), newLoad(), NewManifest())
	return root
}

// newHelp replaces cobra's help verb, which does not fail for an unknown verb.
func newHelp() *cobra.Command {
	return &cobra.Command{
		Use:     "help [VERB]",
		Short:   "Prints the usage of a verb",
		Example: "  siskinsaddle help manifest push",
		RunE: func(c *cobra.Command, args []string) error {
			verb, unknown, err := c.Root().Find(args)
			if err != nil {
				return usageError(err)
			}
			if len(unknown) > 0 {
				return unknownVerb(c, unknown)
			}
			return verb.Help()
		},
	}
}

// unknownVerb rejects a verb that does not exist. Without it the command line would
// print the help and exit with success.
func unknownVerb(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usageError(errors.Newf("verb %q does not exist", args[0]))
}

// group returns a verb that only has subcommands.
func group(use, short, example string, verbs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    unknownVerb,
		RunE: func(c *cobra.Command, _ []string) error {
			return usageError(errors.Newf("%s requires a verb", c.Name()))
		},
	}
	c.AddCommand(verbs...)
	return c
}
