// SPDX-License-Identifier: MIT

// Package store is the job of a store instance: it keeps turns and budgets.
//
// A [Store] answers a call once its record is on the disk, and tells with each
// answer whether it holds all records of its groups. It refuses calls under an
// older view than the newest it has heard of, which is what lets records be
// copied to new members while turns go on: whatever was written under the old
// view is in the copies, and nothing more is written under it.
package store
