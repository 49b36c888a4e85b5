package verbs

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

const statusTimeout = 5 * time.Second

func newStatus() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "status",
		Short: "Prints the counters of a running host and whether it is ready",
		Example: `  siskinsaddle status
  siskinsaddle status --address 127.0.0.1:8080`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return status(c, address)
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:8080", "callers' address of the host")
	return c
}

func status(c *cobra.Command, address string) error {
	code, body, err := get(address, "/readyz")
	if err != nil {
		return err
	}
	if code == fasthttp.StatusOK {
		body = []byte("ready\n")
	}
	_, metrics, err := get(address, "/metrics")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s%s", body, metrics)
	return err
}

func get(address, path string) (int, []byte, error) {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, statusTimeout)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "host %s", address)
	}
	return code, body, nil
}
