// Package cferror holds the shape that the error type of every package shares:
// the operation that failed, the kind of failure, and the cause.
package cferror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an error with the operation that failed and the kind of failure.
// Each package instantiates it with a Kind of its own.
type Error[K ~string] struct {
	Op   string
	Kind K
	Err  error
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

// New returns an error of the given kind with a formatted cause.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns an error of the given kind around err, or nil where err is nil.
func Wrap[K ~string](op string, kind K, err error) error {
	if err == nil {
		return nil
	}
	return &Error[K]{Op: op, Kind: kind, Err: errors.WithStackDepth(err, 1)}
}

// Is reports whether err is, or wraps, an error of the given kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
