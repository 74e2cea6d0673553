// SPDX-License-Identifier: MIT

package register

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"rockbarrow.dev/schema/fleetpb"
)

// TestAChangeKeepsAllOfTheState: a field that a copy left out was gone after the next change of anything.
func TestAChangeKeepsAllOfTheState(t *testing.T) {
	s := &fleetpb.State{
		Number: 1, Configuration: &fleetpb.Configuration{Version: 2}, Voters: []*fleetpb.Member{{Storage: 3}},
		PriorVoters: []*fleetpb.Member{{Storage: 4}}, View: &fleetpb.View{Epoch: 5}, Retired: []string{"s"},
		Evacuations: []*fleetpb.Evacuation{{FailureDomain: "a"}},
	}
	fields := s.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		var f protoreflect.FieldDescriptor = fields.Get(i)
		if !s.ProtoReflect().Has(f) {
			t.Errorf("field %s is not tried", f.Name())
		}
	}
	if c := CloneState(s); !proto.Equal(c, s) {
		t.Errorf("%v, want %v", c, s)
	}
}
