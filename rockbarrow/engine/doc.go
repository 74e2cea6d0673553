// SPDX-License-Identifier: MIT

// Package engine speaks to model engines: chat completions with streams, and
// the calls for holds, load reports, cache events and orders that docs/ENGINES.md
// sets down.
package engine
