package cfcommon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// EndedAsTold reports whether a part of the process ended because it was told to.
func EndedAsTold(err error) bool {
	return err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) ||
		errors.Is(err, net.ErrClosed)
}
