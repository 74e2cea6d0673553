// SPDX-License-Identifier: MIT

package membership

import (
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// LivenessTimeout is how long after its last call an instance counts as present. It
// allows for several missed or failed heartbeats: an instance calls every 0.3 s, and
// at most 0.55 s and a retry delay apart while calls fail.
const LivenessTimeout = 2500 * time.Millisecond

// Peer is an instance as seen by a control instance.
type Peer struct {
	Member *fleetpb.Member
	// LastSeen is the time of its last call.
	LastSeen time.Time
	// CopiedEpoch is the newest view for which a store holds all its records.
	CopiedEpoch uint64
	// Standby is true for a control instance that can keep records.
	Standby bool
}
