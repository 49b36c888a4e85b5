// Package verbs holds the verbs of the command line, one file each, with its
// usage text beside its code.
//
// Exit codes: 0 done, 1 failed, 2 wrong use.
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

// The exit codes.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitWrongUse = 2
)

// errWrongUse marks errors about how a verb was called.
var errWrongUse = errors.New("wrong use")

// wrongUse marks an error, so that Main exits with ExitWrongUse.
func wrongUse(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errWrongUse)
}

// noArgs refuses arguments.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return wrongUse(errors.Newf("%s takes no argument %q", c.CommandPath(), args[0]))
}

// oneFile wants one argument, the name of a file.
func oneFile(c *cobra.Command, args []string) error {
	return wrongUse(cobra.ExactArgs(1)(c, args))
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	root.PrintErrf("siskinsaddle: %v\n", err)
	if errors.Is(err, errWrongUse) {
		return ExitWrongUse
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
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return wrongUse(err) })
	root.AddCommand(newServe(), newFront(), NewSite(), newExplain(), newSettings(), newStatus(), newVersion(), NewStandin(), NewBench(), newLoad(), NewManifest())
	return root
}

// newHelp is the library's help verb, but for a verb that does not exist.
func newHelp() *cobra.Command {
	return &cobra.Command{
		Use:     "help [VERB]",
		Short:   "Prints the usage of a verb",
		Example: "  siskinsaddle help manifest push",
		RunE: func(c *cobra.Command, args []string) error {
			verb, rest, err := c.Root().Find(args)
			if err != nil {
				return wrongUse(err)
			}
			if len(rest) > 0 {
				return unknownVerb(c, rest)
			}
			return verb.Help()
		},
	}
}

// unknownVerb refuses a verb that does not exist. Without it the command line
// would print the help and call that done.
func unknownVerb(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return wrongUse(errors.Newf("verb %q does not exist", args[0]))
}

// group makes a verb that only holds others.
func group(use, short, example string, verbs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    unknownVerb,
		RunE: func(c *cobra.Command, _ []string) error {
			return wrongUse(errors.Newf("%s needs one of its verbs", c.Name()))
		},
	}
	c.AddCommand(verbs...)
	return c
}
