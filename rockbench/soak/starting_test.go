// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

// TestAControlInstanceThatStartsAcknowledgesNothingInvalid guards against an invalid configuration that is acknowledged by a control
// instance that has just started and knows no configuration.
func TestAControlInstanceThatStartsAcknowledgesNothingInvalid(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range f.control {
		c.stop(syscall.SIGKILL)
		if err := c.start(); err != nil {
			t.Fatal(err)
		}
		f.awaitRefusal(t, c)
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}

// awaitRefusal sends a document without a byte to a control instance until it is refused for good.
func (f *fleet) awaitRefusal(t *testing.T, c *instance) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	for wait.For(ctx, time.Millisecond) {
		switch status := f.operator.SendEmpty(ctx, c.plan.OperatorAddress); {
		case status == http.StatusOK:
			t.Errorf("%s acknowledged a document without a byte", c.plan.Instance)
			return
		case status >= 400 && status < 500:
			return
		}
	}
	t.Errorf("%s did not answer", c.plan.Instance)
}
