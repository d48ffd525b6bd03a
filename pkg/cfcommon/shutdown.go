package cfcommon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// IsCleanShutdown reports whether err is nil or one of the errors that a component returns when
// it is shut down on request.
func IsCleanShutdown(err error) bool {
	return err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) ||
		errors.Is(err, net.ErrClosed)
}
