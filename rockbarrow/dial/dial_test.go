// SPDX-License-Identifier: MIT

package dial

import (
	"testing"

	"github.com/pkg/errors"
)

// TestAClosedPoolMakesNoConnection: a settlement in the background asked for one after its
// process had stopped, and nobody closed it.
func TestAClosedPoolMakesNoConnection(t *testing.T) {
	p := &Pool{}
	p.Close()
	var closed *ClosedError
	if c, err := p.Get("127.0.0.1:1"); !errors.As(err, &closed) {
		t.Errorf("%v, %v", c, err)
	}
}
