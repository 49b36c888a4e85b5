package amazon

import (
	"fmt"

	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
)

// tableFaults maps the error codes with which the service promises that it did
// not write.
var tableFaults = map[string]error{
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
	// unknownCode is the SDK's code for an answer that names no fault. It may
	// come from something between here and the service.
	unknownCode = "UnknownError"
)

// writeError maps the failure of a write. A fault that the service names with
// status 400 or 403 says that it refused the request before writing.
func writeError(err error) error {
	if err == nil {
		return nil
	}
	if known := knownFault(err); known != nil {
		return fmt.Errorf("%w: %w", known, err)
	}
	if notSent(err) || refused(err) {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", table.ErrUnsure, err)
}

// readError maps the failure of a read, which has nothing to be unsure of.
func readError(err error) error {
	if known := knownFault(err); known != nil {
		return fmt.Errorf("%w: %w", known, err)
	}
	return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// objectError maps the failure of the object store. Its writes may be repeated,
// so that nothing has to tell a lost answer from a refusal.
func objectError(err error) error {
	if err == nil {
		return nil
	}
	mark := object.ErrUnavailable
	if statusOf(err) == statusNotFound {
		mark = object.ErrAbsent
	}
	return fmt.Errorf("%w: %w", mark, err)
}

func knownFault(err error) error {
	var fault smithy.APIError
	if !errors.As(err, &fault) {
		return nil
	}
	return tableFaults[fault.ErrorCode()]
}

func refused(err error) bool {
	var fault smithy.APIError
	if !errors.As(err, &fault) || fault.ErrorCode() == unknownCode {
		return false
	}
	status := statusOf(err)
	return status == statusBadRequest || status == statusForbidden
}

// statusOf is the HTTP status of the answer that an error came with, 0 where
// there was none.
func statusOf(err error) int {
	var answer *smithyhttp.ResponseError
	if !errors.As(err, &answer) {
		return 0
	}
	return answer.HTTPStatusCode()
}
