// Package cferror defines the generic error type of the scheduler's packages. An error states
// the operation that failed, the kind of the failure and the cause.
package cferror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error describes the failure of an operation. A package that uses Error instantiates it with
// the package's own type of kinds.
type Error[K ~string] struct {
	// Op is the operation that failed.
	Op   string
	Kind K
	// Err is the cause, or nil.
	Err error
}

// Error implements the error interface.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// New returns an error of the given kind. Its cause is a new error with the text that format
// and args give.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns an error of the given kind that wraps err, or nil if err is nil.
func Wrap[K ~string](op string, kind K, err error) error {
	if err == nil {
		return nil
	}
	return &Error[K]{Op: op, Kind: kind, Err: errors.WithStackDepth(err, 1)}
}

// Is reports whether err is or wraps an Error[K] of the given kind. If err wraps several, only
// the outermost Error[K] counts.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
