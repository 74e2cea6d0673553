// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"testing"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// unreadableControl replies with a valid list and a state whose base the client lacks.
type unreadableControl struct {
	fleetpb.UnimplementedControlServer
}

func (unreadableControl) Watch(context.Context, *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	return &fleetpb.WatchReply{
		StateNumber: 2, ListKnown: true, ListNumber: 7, List: &fleetpb.EndpointList{Number: 7},
		State: &fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{
			Version: 2, Digest: document.Digest([]byte("x")), Base: document.Digest([]byte("y")), Difference: []byte("z"),
		}},
	}, nil
}

// TestAListIsTakenWhateverComesWithIt guards against losing a list because the
// state in the same reply cannot be decoded.
func TestAListIsTakenWhateverComesWithIt(t *testing.T) {
	c := newTestClient(t)
	l := c.serve(t, unreadableControl{})
	if err := l.poll(t.Context()); err == nil || !l.needsWhole {
		t.Errorf("error %v; the next update is requested whole: %v", err, l.needsWhole)
	}
	if n := c.List().List().GetNumber(); n != 7 {
		t.Errorf("list %d is known, want 7", n)
	}
	if c.State() != nil {
		t.Error("an undecodable state was applied")
	}
}
