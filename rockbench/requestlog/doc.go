// SPDX-License-Identifier: MIT

// Package requestlog reads the log lines with which entry instances end requests, and
// tells how the requests ended, why, and where their time went.
package requestlog
