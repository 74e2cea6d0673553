// SPDX-License-Identifier: MIT

package control

// SnapshotError reports a snapshot of the control journal that cannot be decoded.
type SnapshotError struct {
	// Cause is the decoder's error.
	Cause error
}

func (e *SnapshotError) Error() string { return "control: snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }
