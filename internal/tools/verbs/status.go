package verbs

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/reply"
)

const statusTimeout = 5 * time.Second

func newStatus() *cobra.Command {
	var file string
	var counters bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Prints the status of a running host",
		Long: `Prints the status of a running host, as JSON. The host's settings provide the
operator address and secret.`,
		Example: `  siskinsaddle status
  siskinsaddle status --settings host.hujson
  siskinsaddle status --counters`,
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return status(c, s, counters)
		},
	}
	addSettingsFlag(c, &file)
	c.Flags().BoolVar(&counters, "counters", false, "print the counters instead")
	return c
}

func status(c *cobra.Command, s config.Settings, counters bool) error {
	url := "http://" + s.Callers.OperatorAddress + "/status"
	if counters {
		url = "http://" + s.Callers.Address + "/metrics"
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	if s.Callers.OperatorSecret != "" {
		request.Header.Set("Authorization", "Bearer "+string(s.Callers.OperatorSecret))
	}
	client := &fasthttp.Client{Dial: func(address string) (net.Conn, error) {
		return reply.Dial(address, statusTimeout, nil)
	}}
	if err := client.DoTimeout(request, response, statusTimeout); err != nil {
		return errors.Wrapf(err, "host %s", s.HostName)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("host %s responded with status %d: %s", s.HostName, response.StatusCode(), response.Body())
	}
	_, err := c.OutOrStdout().Write(response.Body())
	return err
}
