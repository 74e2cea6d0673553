// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/platform/wire"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// TestWhatIsSpoiledIsInvalid guards against a soak that takes a valid configuration for one that no instance may accept.
func TestWhatIsSpoiledIsInvalid(t *testing.T) {
	f := &fleet{
		limits: &fleetpb.Limits{HeaderBytes: 16 << 10, BodyBytes: wideBytes}, routes: &routes{r: rand.New(rand.NewPCG(1, 0))},
		customers: newCustomers(&standin.Recorder{}, rand.New(rand.NewPCG(1, 1))),
	}
	f.version = 1
	f.routes.change()
	valid, err := wire.EncodeDocument(f.document(f.version), f.customers.held())
	if err != nil {
		t.Fatal(err)
	}
	if !isValid(valid) {
		t.Fatal("the configuration is invalid")
	}
	r := rand.New(rand.NewPCG(1, 2))
	seen := map[string]int{}
	for range 50 * len(spoils) {
		why, text := f.invalid(r)
		if why == "" {
			continue
		}
		seen[why]++
		if isValid(text) {
			t.Errorf("%s: valid: %s", why, firstDifference(bytes.Replace(valid, []byte(`{"version":1,`), fmt.Appendf(nil, `{"version":%d,`, f.version+aboveAll), 1), text))
		}
	}
	for _, s := range spoils {
		if seen[s.name] == 0 {
			t.Errorf("%s: never", s.name)
		}
	}
}

// isValid reports whether a configuration can be read and a routing table be built from it.
func isValid(text []byte) bool {
	d, err := wire.DecodeNewDocument(text)
	if err != nil {
		return false
	}
	var none *routing.Table
	_, _, err = none.ApplyDocument(d)
	return err == nil
}

// firstDifference returns a part of a text around its first difference from another one.
func firstDifference(a, b []byte) []byte {
	at := 0
	for at < min(len(a), len(b)) && a[at] == b[at] {
		at++
	}
	return bytes.Clone(b[max(0, at-40):min(len(b), at+60)])
}
