// SPDX-License-Identifier: MIT

package program

import (
	"fmt"

	"rockbarrow.dev/schema/recordpb"
)

// OrderError says that a record cannot follow the records before it.
type OrderError struct {
	// Record is the refused record.
	Record *recordpb.Record
	// Reason tells what it breaks.
	Reason string
}

// Error describes the record by its kind.
func (e *OrderError) Error() string {
	return fmt.Sprintf("program: %T refused: %s", e.Record.GetBody(), e.Reason)
}
