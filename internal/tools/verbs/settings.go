package verbs

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/config"
)

func newSettings() *cobra.Command {
	return group("settings", "Checks and shows the settings of a host",
		`  siskinsaddle settings check host.hujson
  siskinsaddle settings show --settings host.hujson`,
		newSettingsCheck(), newSettingsShow())
}

func newSettingsCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Reports every unknown field and wrong value with line and column",
		Example: `  siskinsaddle settings check host.hujson
  host.hujson:4:13: Region: a name is wanted`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := readSettings(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: no findings\n", args[0])
			return err
		},
	}
}

func newSettingsShow() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "show",
		Short: "Prints the effective settings, with defaults and units, secrets hidden",
		Example: `  siskinsaddle settings show
  siskinsaddle settings show --settings host.hujson`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return config.Show(c.OutOrStdout(), s)
		},
	}
	addSettingsFlag(c, &file)
	return c
}

func addSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "file with the settings of this host; defaults without it")
}

// readSettings reads a settings file, or the defaults for an empty name.
func readSettings(file string) (config.Settings, error) {
	if file == "" {
		return config.Default(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return config.Settings{}, errors.Wrap(err, "settings")
	}
	s, list := config.Parse(file, text)
	return s, list.Err()
}
