// SPDX-License-Identifier: MIT

package program

import (
	"fmt"

	"rockbarrow.dev/schema/recordpb"
)

// OrderError reports a record that is not valid after the records before it.
type OrderError struct {
	// Record is the rejected record.
	Record *recordpb.Record
	// Reason is the violated condition.
	Reason string
}

// Error returns the kind of the record and the reason.
func (e *OrderError) Error() string {
	return fmt.Sprintf("program: %T rejected: %s", e.Record.GetBody(), e.Reason)
}
