// Package orders sends the orders of share/order to engines over HTTP.
//
//	GET /state    the engine's state as JSON
//	POST /orders  one order as JSON; 409 for an outdated fencing number
//
// # Usage
//
//	e := &orders.Engines{Client: client, Timeout: 2_000}
//	d := &order.Driver{Read: e.Read, Send: e.Send, ...}
package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/order"
)

// defaultTimeout is used if Timeout is not set, in milliseconds.
const defaultTimeout = 2 * clock.Second

// Engines is an HTTP client for engines. Set the fields before use.
type Engines struct {
	Client *wire.Client
	// Timeout bounds each call, in milliseconds.
	Timeout clock.Millis
}

// Read fetches an engine's state.
func (e *Engines) Read(ctx context.Context, desired order.DesiredState) (order.State, error) {
	var s order.State
	status, body, err := e.call(ctx, desired, http.MethodGet, "/state", nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, fmt.Errorf("read the state of engine %s: status %d", desired.Server, status)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errors.Wrapf(err, "decode the state of engine %s", desired.Server)
	}
	return s, nil
}

// Send sends an order once. It returns order.ErrStaleFence if the engine rejects
// the order's fencing number.
func (e *Engines) Send(ctx context.Context, desired order.DesiredState, o order.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	status, _, err := e.call(ctx, desired, http.MethodPost, "/orders", body)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return fmt.Errorf("send order %s to engine %s: %w", o.ID, desired.Server, order.ErrStaleFence)
	case status >= http.StatusMultipleChoices:
		return fmt.Errorf("send order %s to engine %s: status %d", o.ID, desired.Server, status)
	}
	return nil
}

func (e *Engines) call(ctx context.Context, desired order.DesiredState, method, path string, body []byte) (int, []byte, error) {
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	answer, _, err := e.Client.Do(ctx, wire.Request{
		Address: desired.Address,
		Server:  desired.Server,
		Method:  method,
		Path:    path,
		Headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.Status, content, err
}
