package amazon

import (
	"fmt"

	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
)

// tableErrors maps the service's error codes that guarantee that nothing was
// written.
var tableErrors = map[string]error{
	"ConditionalCheckFailedException":        table.ErrConflict,
	"TransactionConflictException":           table.ErrThrottled,
	"ProvisionedThroughputExceededException": table.ErrThrottled,
	"ThrottlingException":                    table.ErrThrottled,
	"RequestLimitExceeded":                   table.ErrThrottled,
	"SlowDown":                               table.ErrThrottled,
}

const (
	statusBadRequest = 400
	statusForbidden  = 403
	statusNotFound   = 404
	// unknownCode is the SDK's code for a response without an error code. It may
	// come from an intermediary instead of the service.
	unknownCode = "UnknownError"
)

// writeError maps the error of a write. An error code from the service with
// status 400 or 403 means that it rejected the request before writing.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	if known := knownError(err); known != nil {
		return fmt.Errorf("%w: %w", known, err)
	}
	if notSent(err) || rejected(err) {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", table.ErrOutcomeUnknown, err)
}

// readError maps the error of a read. A read changes nothing, so its outcome is
// never unsure.
func readError(err error) error {
	if known := knownError(err); known != nil {
		return fmt.Errorf("%w: %w", known, err)
	}
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// objectError maps the error of an object store call. Its writes are idempotent,
// so a lost response needs no error of its own.
func objectError(err error) error {
	if err == nil {
		return nil
	}
	kind := object.ErrUnavailable
	if statusOf(err) == statusNotFound {
		kind = object.ErrNotFound
	}
	return fmt.Errorf("%w: %w", kind, err)
}

// knownError returns the table error that stands for the service's error code, nil
// if there is none.
func knownError(err error) error {
	var apiErr smithy.APIError
	if !errors.As(err, &apiErr) {
		return nil
	}
	return tableErrors[apiErr.ErrorCode()]
}

// rejected reports whether the service itself answered with status 400 or 403.
func rejected(err error) bool {
	var apiErr smithy.APIError
	if !errors.As(err, &apiErr) || apiErr.ErrorCode() == unknownCode {
		return false
	}
	status := statusOf(err)
	return status == statusBadRequest || status == statusForbidden
}

// statusOf returns the HTTP status of the response behind an error, 0 if there was
// no response.
func statusOf(err error) int {
	var response *smithyhttp.ResponseError
	if !errors.As(err, &response) {
		return 0
	}
	return response.HTTPStatusCode()
}
