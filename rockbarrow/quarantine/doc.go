// SPDX-License-Identifier: MIT

// Package quarantine identifies requests over all their attempts.
package quarantine
