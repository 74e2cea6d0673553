// SPDX-License-Identifier: MIT

package journal

import "fmt"

// CorruptError reports stored entries that violate the digest chain or lie below
// the commit index.
type CorruptError struct {
	// Index is the first invalid entry.
	Index uint64
}

// Error returns the index of the corrupt entry.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: entry %d violates the digest chain", e.Index)
}
