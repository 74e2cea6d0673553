// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// TestCustomersAreShownWithTheirUse: a customer near its limit is seen by its count, its limit and what was refused.
func TestCustomersAreShownWithTheirUse(t *testing.T) {
	var b strings.Builder
	customerRows(&b, &fleetpb.CustomersReply{Version: 7, LeftOut: 3, Customers: []*fleetpb.CustomerStatus{
		{Name: "a", KeyDigests: []string{"0a1b", "2c3d"}, Priority: 1, RequestsPerSecond: 20.5, Burst: 10, Requests: 99, Limit: 112.5, Committed: 86.7, Refused: 4},
		{Name: "b"},
	}})
	for _, want := range []string{"a\t1\t99\t112\t87\t4\t20.5\t10\t0a1b 2c3d", "b\t0\t0\tnone\t0\t0\t0\t0\t", "3 customers more", "version 7"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q lacks %q", b.String(), want)
		}
	}
}
