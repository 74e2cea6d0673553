// SPDX-License-Identifier: MIT

package journal

import "fmt"

// CorruptError says that stored entries do not chain.
type CorruptError struct {
	// Index is the first entry that does not fit.
	Index uint64
}

// Error describes the place of the corruption.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: entry %d does not fit the digest chain", e.Index)
}
