// SPDX-License-Identifier: MIT

// Package requestlog reads the logs of a deployment and tells how requests ended, why, and
// where their time went ([Table]), what went wrong with programs ([Programs]), and how
// long instances took from their starts until they served ([Lives]), where the time of
// a configuration went until it was in force ([Versions]), and which requests were in progress
// at endpoints that ended ([Ends]), whether turns that were not found had been acknowledged ([Turns]), and what refused
// turns that continue an earlier one and were never served ([Continued]).
package requestlog
