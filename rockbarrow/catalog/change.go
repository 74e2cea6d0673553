// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// BaseError is returned if a change is based on a list other than the one held.
type BaseError struct{ WantChecksum, HeldChecksum uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("catalog: change is based on list %x, but list %x is held", e.WantChecksum, e.HeldChecksum)
}

// ChecksumError is returned if the result of a change does not have the expected checksum.
type ChecksumError struct{ WantChecksum, GotChecksum uint64 }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("catalog: change results in list %x, expected %x", e.GotChecksum, e.WantChecksum)
}

// Diff returns the change that turns one list into another.
func Diff(from, to *List) *fleetpb.ListChange {
	out := &fleetpb.ListChange{Number: to.Number(), BaseSum: from.Checksum(), Sum: to.Checksum(), Calls: to.Proto().GetCalls()}
	ForEachDifference(from, to, func(before, after *fleetpb.Endpoint) {
		if after != nil {
			out.Changed = append(out.Changed, after)
		} else {
			out.Removed = append(out.Removed, before.GetId())
		}
	})
	return out
}

// Snapshot returns a change that produces the list from any base.
func Snapshot(l *List) (*fleetpb.ListChange, error) {
	b, err := proto.Marshal(l.Proto())
	if err != nil {
		return nil, errors.Wrap(err, "catalog: encode snapshot")
	}
	frame, err := document.Compress(b)
	if err != nil {
		return nil, errors.Wrap(err, "catalog: encode snapshot")
	}
	return &fleetpb.ListChange{Number: l.Number(), Sum: l.Checksum(), Whole: frame, Calls: l.Proto().GetCalls()}, nil
}

// Apply returns the list that results from a change. It returns a [BaseError] or a [ChecksumError]
// if the change does not match, or another error if it is malformed. held is never modified.
func Apply(held *List, c *fleetpb.ListChange) (*List, error) {
	next, err := apply(held, c)
	if err != nil {
		return nil, err
	}
	if next.checksum != c.GetSum() {
		return nil, &ChecksumError{WantChecksum: c.GetSum(), GotChecksum: next.checksum}
	}
	return next, nil
}

func apply(held *List, c *fleetpb.ListChange) (*List, error) {
	if len(c.GetWhole()) > 0 {
		b, err := document.Decompress(c.GetWhole())
		if err != nil {
			return nil, errors.Wrap(err, "catalog: decode snapshot")
		}
		l := &fleetpb.EndpointList{}
		if err := proto.Unmarshal(b, l); err != nil {
			return nil, errors.Wrap(err, "catalog: decode snapshot")
		}
		l.Number, l.Calls = c.GetNumber(), c.GetCalls()
		return New(l).ShareEndpoints(held), nil
	}
	if c.GetBaseSum() != held.Checksum() {
		return nil, &BaseError{WantChecksum: c.GetBaseSum(), HeldChecksum: held.Checksum()}
	}
	// The checksum does not cover the order.
	if !slices.IsSortedFunc(c.GetChanged(), compareIDs) || hasDuplicates(c.GetChanged()) {
		return nil, errors.New("catalog: change is not sorted by id")
	}
	return merge(held, c), nil
}

// merge applies the changed and removed endpoints. Removing an endpoint that is not held results in
// a wrong checksum, which Apply detects.
func merge(held *List, c *fleetpb.ListChange) *List {
	old := held.Proto().GetEndpoints()
	out, sum := make([]*fleetpb.Endpoint, 0, len(old)+len(c.GetChanged())), held.Checksum()
	changed, removed := c.GetChanged(), c.GetRemoved()
	for len(old) > 0 || len(changed) > 0 {
		switch {
		case len(changed) == 0 || len(old) > 0 && old[0].GetId() < changed[0].GetId():
			if len(removed) > 0 && removed[0] == old[0].GetId() {
				sum -= endpointChecksum(old[0])
				removed = removed[1:]
			} else {
				out = append(out, old[0])
			}
			old = old[1:]
		case len(old) > 0 && old[0].GetId() == changed[0].GetId():
			sum += endpointChecksum(changed[0]) - endpointChecksum(old[0])
			out = append(out, changed[0])
			old, changed = old[1:], changed[1:]
		default:
			sum += endpointChecksum(changed[0])
			out = append(out, changed[0])
			changed = changed[1:]
		}
	}
	l := &fleetpb.EndpointList{Number: c.GetNumber(), Endpoints: slices.Clip(out), Calls: c.GetCalls()}
	return &List{list: l, checksum: sum}
}
