// SPDX-License-Identifier: MIT

// Package store implements store instances, which keep turns and reservations.
//
// A [Store] answers a call once its record is synced to disk, and reports with
// each answer the newest view for which it holds all records of its groups. It
// rejects calls under views older than the newest one it knows. That fencing
// allows records to be copied to new members while turns continue: everything
// written under the old view is in the copies, and nothing is written under it
// afterwards.
package store
