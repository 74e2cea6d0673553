// SPDX-License-Identifier: MIT

package http1

import (
	"io"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Reader reads responses from a connection and checks them. It is not safe for concurrent use.
type Reader struct {
	Scanner Scanner
	// Source is the connection.
	Source io.Reader
	// End returns an error if an end that Source reports is not orderly.
	End func() error

	// err is returned by all further reads: the system reports an error once, and parsers drop some errors.
	err error
}

// Err returns the error that ended the connection, or nil.
func (r *Reader) Err() error { return r.err }

// Read returns io.EOF only after an orderly end, a [ResetError] after a reset, and a [MalformedError] in place of what the protocol does
// not allow.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Source.Read(p)
	good, malformed := r.Scanner.Scan(p[:n])
	if malformed != nil {
		r.err = malformed
		if good > 0 {
			// The parser may report an incomplete line in place of the error; Err returns it.
			return good, nil
		}
		return 0, malformed
	}
	switch {
	case err == io.EOF:
		if reset := r.End(); reset != nil {
			err = reset
		}
	case errors.Is(err, syscall.ECONNRESET):
		err = &ResetError{Cause: err}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}

// IsRefused reports whether err is or wraps a [MalformedError] or a [ResetError].
func IsRefused(err error) bool {
	var malformed *MalformedError
	var reset *ResetError
	return errors.As(err, &malformed) || errors.As(err, &reset)
}
