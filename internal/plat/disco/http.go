package disco

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/reply"
)

const (
	// maxListBytes exceeds the list of the largest planned deployment: 1,100
	// machines at about 200 bytes each.
	maxListBytes = 4 << 20
	hostsPath    = "/hosts"
)

// ErrUnavailable is returned when the platform's list cannot be read or decoded.
var ErrUnavailable = errors.New("the platform's list of machines is not reachable")

// NewHTTP returns the list that the platform serves at http://address/hosts as
// a JSON array of Entry. Timeout bounds a whole read, in milliseconds; an
// earlier deadline of the context takes precedence. Broken responses are
// reported to faults, which may be nil.
func NewHTTP(address string, timeout clock.Millis, faults *reply.Faults) List {
	l := &httpList{
		url:     "http://" + address + hostsPath,
		timeout: timeout,
		client: &fasthttp.Client{
			Dial: func(address string) (net.Conn, error) {
				return reply.Dial(address, timeout.Duration(), faults)
			},
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxListBytes,
		},
	}
	return List{Read: l.read}
}

type httpList struct {
	url     string
	timeout clock.Millis
	client  *fasthttp.Client
}

func (l *httpList) read(ctx context.Context) ([]Entry, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(l.url)
	deadline := time.Now().Add(l.timeout.Duration())
	if at, ok := ctx.Deadline(); ok && at.Before(deadline) {
		deadline = at
	}
	if err := l.client.DoDeadline(request, response, deadline); err != nil {
		// Drop pooled connections: an unresponsive one would make each later
		// read wait for its timeout too.
		l.client.CloseIdleConnections()
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode())
	}
	var entries []Entry
	if err := json.Unmarshal(response.Body(), &entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return entries, nil
}
