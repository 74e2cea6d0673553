// SPDX-License-Identifier: MIT

package dial

import (
	"testing"

	"github.com/pkg/errors"
)

// TestAClosedPoolMakesNoConnection guards against a connection that leaks because
// background work requests it after Close.
func TestAClosedPoolMakesNoConnection(t *testing.T) {
	p := &Pool{}
	p.Close()
	var closed *ClosedError
	if c, err := p.Get("127.0.0.1:1"); !errors.As(err, &closed) {
		t.Errorf("%v, %v", c, err)
	}
}
