// SPDX-License-Identifier: MIT

package main

import (
	"strings"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// An endpoint without a known decoding time must not be shown as an infinitely fast one.
func TestSpeedsAreShown(t *testing.T) {
	var b strings.Builder
	speedRows(&b, &fleetpb.SpeedsReply{ListNumber: 7, LeftOut: 3, Endpoints: []*fleetpb.EndpointSpeed{
		{Endpoint: "x", Service: "s", TokenUs: 1890, Tokens: 640, Running: 5, Failing: 12}, {Endpoint: "y", Service: "s", Tokens: 20},
	}})
	for _, want := range []string{"x\ts\t1890\t640\t5\t12%", "y\ts\tunknown\t20\t0\t0%", "3 endpoints more", "list 7"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q lacks %q", b.String(), want)
		}
	}
}
