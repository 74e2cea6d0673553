// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// BenchmarkGroup selects the group of a program among nine stores in three failure domains.
func BenchmarkGroup(b *testing.B) {
	var members []*fleetpb.Member
	for i := range 9 {
		members = append(members, &fleetpb.Member{Instance: fmt.Sprintf("storage-hall-%d-%d", i%3, i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint("d", i%3)})
	}
	b.ReportAllocs()
	for b.Loop() {
		Group(members, "3fa81c", 5)
	}
}
