// SPDX-License-Identifier: MIT

package http1

import (
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ResetError reports that a connection ended without an orderly end of what its peer sent.
type ResetError struct {
	// Cause is the error of a read or a write.
	Cause error
}

func (e *ResetError) Error() string {
	return "http1: the connection was reset: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// writeDeadliner is the part of a connection that ends a write.
type writeDeadliner interface {
	SetWriteDeadline(t time.Time) error
}

// EndOfRead returns nil if the end that a read of c has reached is orderly, and a [ResetError] otherwise. It ends the write in
// progress, whose done is closed after it; result returns its error, and is called once done is closed.
func EndOfRead(c writeDeadliner, done <-chan struct{}, result func() error) error {
	select {
	case <-done:
	default:
		// The past ends a write that waits. One that has an error returns that error. If the deadline can't be set, the connection is
		// closed, which ends the write as well.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		<-done
	}
	return resetError(result())
}

// resetError returns a [ResetError] for an error of a write which shows that the connection was reset before its end was received. EPIPE
// as the first error shows that the end was received, and an expired deadline that no error was reported.
func resetError(err error) error {
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return &ResetError{Cause: err}
}
