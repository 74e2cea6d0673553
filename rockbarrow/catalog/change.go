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

// BaseError says that a change was made against another list than the one held.
type BaseError struct{ WantChecksum, HeldChecksum uint64 }

// Error names the two checksums.
func (e *BaseError) Error() string {
	return fmt.Sprintf("catalog: a change of list %x, and %x is held", e.WantChecksum, e.HeldChecksum)
}

// SumError says that a change does not lead to the list that it names.
type ChecksumError struct{ WantChecksum, GotChecksum uint64 }

// Error names the two checksums.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("catalog: a change leads to list %x, and not to %x", e.GotChecksum, e.WantChecksum)
}

// Change returns what leads from one list to another.
func Diff(from, to *List) *fleetpb.ListChange {
	out := &fleetpb.ListChange{Number: to.Number(), BaseSum: from.Checksum(), Sum: to.Checksum(), Calls: to.List().GetCalls()}
	ForEachDifference(from, to, func(before, after *fleetpb.Endpoint) {
		if after != nil {
			out.Changed = append(out.Changed, after)
		} else {
			out.Removed = append(out.Removed, before.GetId())
		}
	})
	return out
}

// Whole returns a list as a change of any base.
func Snapshot(l *List) (*fleetpb.ListChange, error) {
	b, err := proto.Marshal(l.List())
	if err != nil {
		return nil, errors.Wrap(err, "catalog: a whole list")
	}
	frame, err := document.Compress(b)
	if err != nil {
		return nil, errors.Wrap(err, "catalog: a whole list")
	}
	return &fleetpb.ListChange{Number: l.Number(), Sum: l.Checksum(), Whole: frame, Calls: l.List().GetCalls()}, nil
}

// Apply returns the list that a change leads to. It fails with a [BaseError] or a [SumError], or if a whole list is
// not readable; held is unchanged in any case.
func Apply(held *List, c *fleetpb.ListChange) (*List, error) {
	next, err := apply(held, c)
	if err != nil {
		return nil, err
	}
	if next.sum != c.GetSum() {
		return nil, &ChecksumError{WantChecksum: c.GetSum(), GotChecksum: next.sum}
	}
	return next, nil
}

func apply(held *List, c *fleetpb.ListChange) (*List, error) {
	if len(c.GetWhole()) > 0 {
		b, err := document.Decompress(c.GetWhole())
		if err != nil {
			return nil, errors.Wrap(err, "catalog: a whole list")
		}
		l := &fleetpb.EndpointList{}
		if err := proto.Unmarshal(b, l); err != nil {
			return nil, errors.Wrap(err, "catalog: a whole list")
		}
		l.Number, l.Calls = c.GetNumber(), c.GetCalls()
		return New(l).ShareEndpoints(held), nil
	}
	if c.GetBaseSum() != held.Checksum() {
		return nil, &BaseError{WantChecksum: c.GetBaseSum(), HeldChecksum: held.Checksum()}
	}
	// The sum does not depend on the order.
	if !slices.IsSortedFunc(c.GetChanged(), byID) || hasDuplicates(c.GetChanged()) {
		return nil, errors.New("catalog: a change is not ordered by id")
	}
	return merge(held, c), nil
}

// merge applies changed and removed endpoints. What is removed and not held leads to another checksum.
func merge(held *List, c *fleetpb.ListChange) *List {
	old := held.List().GetEndpoints()
	out, sum := make([]*fleetpb.Endpoint, 0, len(old)+len(c.GetChanged())), held.Checksum()
	changed, removed := c.GetChanged(), c.GetRemoved()
	for len(old) > 0 || len(changed) > 0 {
		switch {
		case len(changed) == 0 || len(old) > 0 && old[0].GetId() < changed[0].GetId():
			if len(removed) > 0 && removed[0] == old[0].GetId() {
				sum -= checksum(old[0])
				removed = removed[1:]
			} else {
				out = append(out, old[0])
			}
			old = old[1:]
		case len(old) > 0 && old[0].GetId() == changed[0].GetId():
			sum += checksum(changed[0]) - checksum(old[0])
			out = append(out, changed[0])
			old, changed = old[1:], changed[1:]
		default:
			sum += checksum(changed[0])
			out = append(out, changed[0])
			changed = changed[1:]
		}
	}
	l := &fleetpb.EndpointList{Number: c.GetNumber(), Endpoints: slices.Clip(out), Calls: c.GetCalls()}
	return &List{list: l, sum: sum}
}
