// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"testing"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// unreadable answers with a list and with a state whose base nobody holds.
type unreadable struct {
	fleetpb.UnimplementedControlServer
}

func (unreadable) Watch(context.Context, *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	return &fleetpb.WatchReply{
		StateNumber: 2, ListKnown: true, ListNumber: 7, List: &fleetpb.EndpointList{Number: 7},
		State: &fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{
			Version: 2, Digest: document.Digest([]byte("x")), Base: document.Digest([]byte("y")), Difference: []byte("z"),
		}},
	}, nil
}

// TestAListIsTakenWhateverComesWithIt: a reply whose state was not readable was thrown away
// whole, and the leaving of an endpoint with it.
func TestAListIsTakenWhateverComesWithIt(t *testing.T) {
	c := newTableClient(t)
	l := c.serve(t, unreadable{})
	if err := l.watch(t.Context()); err == nil || !l.whole {
		t.Errorf("%v; the next news are asked for whole: %v", err, l.whole)
	}
	if n := c.List().List().GetNumber(); n != 7 {
		t.Errorf("list %d is known, want 7", n)
	}
	if c.State() != nil {
		t.Error("a state that is not readable was taken")
	}
}
