// SPDX-License-Identifier: MIT

package register

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"rockbarrow.dev/schema/fleetpb"
)

// A field that CloneState omits would be lost with the next change.
func TestCloneStateCopiesEveryField(t *testing.T) {
	s := &fleetpb.State{
		Number: 1, Configuration: &fleetpb.Configuration{Version: 2}, Voters: []*fleetpb.Member{{Storage: 3}},
		PriorVoters: []*fleetpb.Member{{Storage: 4}}, View: &fleetpb.View{Epoch: 5}, Retired: []string{"s"},
		Evacuations: []*fleetpb.Evacuation{{FailureDomain: "a"}},
	}
	fields := s.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		var f protoreflect.FieldDescriptor = fields.Get(i)
		if !s.ProtoReflect().Has(f) {
			t.Errorf("field %s is not set by this test", f.Name())
		}
	}
	if c := CloneState(s); !proto.Equal(c, s) {
		t.Errorf("%v, want %v", c, s)
	}
}
