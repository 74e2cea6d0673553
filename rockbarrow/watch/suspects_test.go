// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// TestEarlierVersionsAreNoFailure guards against refusing suspects while control instances of an earlier version answer: only if
// one of another kind fails may a request be waiting for it.
func TestEarlierVersionsAreNoFailure(t *testing.T) {
	earlier, lost := status.Error(codes.Unimplemented, "unknown method"), context.DeadlineExceeded
	for _, test := range []struct {
		errs        []error
		unsupported bool
	}{{[]error{earlier, earlier}, true}, {[]error{earlier, lost}, false}, {[]error{lost, earlier}, false}} {
		var failed error
		for _, err := range test.errs {
			failed = worseError(failed, err)
		}
		var unsupported *UnsupportedError
		if errors.As(failed, &unsupported) != test.unsupported {
			t.Errorf("%v: %v", test.errs, failed)
		}
	}
}
