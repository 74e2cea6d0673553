// SPDX-License-Identifier: MIT

package quotas

import (
	"testing"

	"rockbarrow.dev/rockbarrow/quota"
)

// TestTheWayInUseKeepsQuotas: whatever befalls the instances, no more than the quota with its overrun runs, and a
// customer below its quota is served.
func TestTheWayInUseKeepsQuotas(t *testing.T) {
	for _, s := range All() {
		for seed := range uint64(2) {
			got := Run(s, quota.Shared{}, seed)
			if got.Most > 1 {
				t.Errorf("%s, seed %d: %.2f of what may run", s.Name, seed, got.Most)
			}
			calm := s.X == 1 && s.Lowered == 0
			if calm && got.Below > 0 {
				t.Errorf("%s, seed %d: %.4f of what is within the quota is refused", s.Name, seed, got.Below)
			}
		}
	}
}
