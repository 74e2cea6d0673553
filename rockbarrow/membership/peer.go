// SPDX-License-Identifier: MIT

package membership

import (
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// LivenessTimeout is how lately an instance must have called to count as present. It calls
// each 0.3 s, and at the longest each 0.55 s and a pause where calls fail.
const LivenessTimeout = 2500 * time.Millisecond

// Peer is an instance as a control instance knows it.
type Peer struct {
	Member *fleetpb.Member
	// LastSeen is when it called last.
	LastSeen time.Time
	// CopiedEpoch is the newest view whose records a store holds.
	CopiedEpoch uint64
}
