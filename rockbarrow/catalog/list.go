// SPDX-License-Identifier: MIT

package catalog

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// List is one version of the list of endpoints.
type List struct {
	// list is sorted by id and has no duplicates.
	list *fleetpb.EndpointList
	// checksum is the sum of the checksums of all endpoints.
	checksum uint64
}

// New returns a list of endpoints given in any order. The first of several endpoints with the same
// id is used.
func New(l *fleetpb.EndpointList) *List {
	endpoints := l.GetEndpoints()
	if !slices.IsSortedFunc(endpoints, compareIDs) {
		endpoints = slices.Clone(endpoints)
		slices.SortStableFunc(endpoints, compareIDs)
	}
	if hasDuplicates(endpoints) {
		endpoints = slices.CompactFunc(slices.Clone(endpoints), func(a, b *fleetpb.Endpoint) bool { return a.GetId() == b.GetId() })
	}
	out := &List{list: &fleetpb.EndpointList{Number: l.GetNumber(), Endpoints: endpoints, Calls: l.GetCalls()}}
	for _, e := range endpoints {
		out.checksum += endpointChecksum(e)
	}
	return out
}

func compareIDs(a, b *fleetpb.Endpoint) int { return strings.Compare(a.GetId(), b.GetId()) }

func hasDuplicates(sorted []*fleetpb.Endpoint) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i].GetId() == sorted[i-1].GetId() {
			return true
		}
	}
	return false
}

// Proto returns the list as a message, or nil if l is nil.
func (l *List) Proto() *fleetpb.EndpointList {
	if l == nil {
		return nil
	}
	return l.list
}

// Number returns the number of the version, or zero if l is nil.
func (l *List) Number() uint64 { return l.Proto().GetNumber() }

// Checksum returns the checksum, or zero if l is nil.
func (l *List) Checksum() uint64 {
	if l == nil {
		return 0
	}
	return l.checksum
}

// Index returns the index of an endpoint and whether it was found.
func (l *List) Index(id string) (int, bool) {
	return slices.BinarySearchFunc(l.Proto().GetEndpoints(), id, func(e *fleetpb.Endpoint, id string) int {
		return strings.Compare(e.GetId(), id)
	})
}

// endpointChecksum returns a checksum of all fields of an endpoint.
func endpointChecksum(e *fleetpb.Endpoint) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{e.GetId(), e.GetService(), e.GetAddress(), e.GetFailureDomain()} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(s)))
		h.Write(length[:])
		h.WriteString(s)
	}
	var rest [13]byte
	binary.BigEndian.PutUint32(rest[:], e.GetSlots())
	binary.BigEndian.PutUint64(rest[4:], e.GetBornMs())
	if e.GetDraining() {
		rest[12] = 1
	}
	h.Write(rest[:])
	return h.Sum64()
}

// equalEndpoints reports whether two endpoints have equal fields.
func equalEndpoints(a, b *fleetpb.Endpoint) bool {
	return a == b || a.GetId() == b.GetId() && a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetSlots() == b.GetSlots() && a.GetDraining() == b.GetDraining() &&
		a.GetBornMs() == b.GetBornMs()
}

// ForEachDifference calls visit for each endpoint that differs between two lists, in ascending
// order of ids. before is nil for an added endpoint, and after is nil for a removed one.
func ForEachDifference(from, to *List, visit func(before, after *fleetpb.Endpoint)) {
	a, b := from.Proto().GetEndpoints(), to.Proto().GetEndpoints()
	for len(a) > 0 && len(b) > 0 {
		if a[0] == b[0] {
			a, b = a[1:], b[1:]
			continue
		}
		switch order := compareIDs(a[0], b[0]); {
		case order < 0:
			visit(a[0], nil)
			a = a[1:]
		case order > 0:
			visit(nil, b[0])
			b = b[1:]
		default:
			if !equalEndpoints(a[0], b[0]) {
				visit(a[0], b[0])
			}
			a, b = a[1:], b[1:]
		}
	}
	for _, e := range a {
		visit(e, nil)
	}
	for _, e := range b {
		visit(nil, e)
	}
}

// Equal reports whether two lists contain equal endpoints, regardless of their numbers.
func Equal(a, b *List) bool {
	same := a.Checksum() == b.Checksum()
	if same {
		ForEachDifference(a, b, func(_, _ *fleetpb.Endpoint) { same = false })
	}
	return same
}

// ShareEndpoints returns l with equal endpoints replaced by those of o, so that the two lists share
// memory.
func (l *List) ShareEndpoints(o *List) *List {
	a, b := slices.Clone(l.Proto().GetEndpoints()), o.Proto().GetEndpoints()
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch order := compareIDs(a[i], b[j]); {
		case order < 0:
			i++
		case order > 0:
			j++
		default:
			if equalEndpoints(a[i], b[j]) {
				a[i] = b[j]
			}
			i++
			j++
		}
	}
	return &List{list: &fleetpb.EndpointList{Number: l.Number(), Endpoints: a, Calls: l.Proto().GetCalls()}, checksum: l.checksum}
}
