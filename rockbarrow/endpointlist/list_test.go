// SPDX-License-Identifier: MIT

package endpointlist

import (
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestEntriesAroundOneThatCannotBeRead guards against leaving instances and endpoints that go on getting calls because of one
// entry of the list.
func TestEntriesAroundOneThatCannotBeRead(t *testing.T) {
	leaving, gone := `{"name":"a","state":"leaving"}`, `{"name":"b","state":"gone"}`
	want := []Entry{{"a", "leaving"}, {"b", "gone"}}
	for _, bad := range []string{`{"name":"` + strings.Repeat("x", maxListSize) + `"}`, "\x01\xff", `{"name":"` + "\x01" + `"}`, `{"name":7}`, `"x"`, "{1}", `{"name":"c","state":"gone"}x`} {
		entries := leaving + "," + bad + "," + gone
		l, err := Decode(strings.NewReader(`{"endpoints":[` + entries + `],"instances":[` + entries + `]}`))
		var unreadable *UnreadableError
		if !errors.As(err, &unreadable) || unreadable.Entries != 2 || !slices.Equal(l.Instances, want) || !slices.Equal(l.Endpoints, want) {
			t.Errorf("%.20q: %d instances, %d endpoints, %v", bad, len(l.Instances), len(l.Endpoints), err)
		}
	}
	for _, text := range []string{"", "\x00", `{"instances":[` + leaving + `,{"name":"x}]}`, `{"instances":7}`} {
		l, err := Decode(strings.NewReader(text))
		if err == nil || len(l.Instances) > 1 {
			t.Errorf("%q: %+v, %v", text, l, err)
		}
	}
	if l, err := Decode(strings.NewReader(`{"instances":[` + leaving + `,` + gone + `]}`)); err != nil || !slices.Equal(l.Instances, want) || l.Endpoints != nil {
		t.Errorf("%+v, %v", l, err)
	}
}
