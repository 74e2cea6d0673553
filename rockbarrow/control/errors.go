// SPDX-License-Identifier: MIT

package control

// SnapshotError says that a snapshot of the control journal does not decode.
type SnapshotError struct {
	// Cause is the decoder's error.
	Cause error
}

// Error describes the cause.
func (e *SnapshotError) Error() string { return "control: snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }
