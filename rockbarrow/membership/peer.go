// SPDX-License-Identifier: MIT

package membership

import (
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// PresentWithin is how lately an instance must have called to count as present. It calls
// each 0.3 s, and at the longest each 0.55 s and a pause where calls fail.
const PresentWithin = 2500 * time.Millisecond

// Peer is an instance as a control instance knows it.
type Peer struct {
	Member *fleetpb.Member
	// Heard is when it called last.
	Heard time.Time
	// Copied is the newest view whose records a store holds.
	Copied uint64
}
