// SPDX-License-Identifier: MIT

// Package matrix holds the fault matrix: a seeded driver steps the cores of a
// run (owners, replicas, rosters) with fakes at the ports, puts every fault at
// every step of a call, and checks every promise after each event.
//
// The driver is no cluster simulator: it carries letters between cores and lets
// time pass when none is on its way. docs/FAULTS.md shows the cells. A failing
// cell prints its seed:
//
//	go test ./rockbarrow/matrix -run TestMatrix -matrix.seeds 200
package matrix
