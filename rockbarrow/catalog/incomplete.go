// SPDX-License-Identifier: MIT

package catalog

import (
	"slices"

	"rockbarrow.dev/schema/fleetpb"
)

// IncompleteError reports that a part of the list of endpoints could not be read. Endpoints that are missing in such a list
// may exist.
type IncompleteError struct{ Reason string }

func (e *IncompleteError) Error() string { return "catalog: the list is incomplete: " + e.Reason }

// Complete adds the endpoints of a known list to an incomplete one that doesn't name them. It returns how many it added.
func Complete(incomplete, known *fleetpb.EndpointList) (added int) {
	listed := make(map[string]bool, len(incomplete.GetEndpoints()))
	for _, e := range incomplete.GetEndpoints() {
		listed[e.GetId()] = true
	}
	for _, e := range known.GetEndpoints() {
		if !listed[e.GetId()] {
			incomplete.Endpoints = append(incomplete.Endpoints, e)
			added++
		}
	}
	slices.SortStableFunc(incomplete.Endpoints, compareIDs)
	return added
}
