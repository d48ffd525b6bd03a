package cfcommon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// EndedAsTold reports whether err is nil or one of the errors that a component returns when
// it is shut down on request.
func EndedAsTold(err error) bool {
	return err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) ||
		errors.Is(err, net.ErrClosed)
}
