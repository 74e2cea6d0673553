// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"testing"
)

// FuzzScanner checks that events do not depend on read boundaries, that the output is a prefix of the
// input, and that repeated events are dropped.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("id: 1\ndata: one\n\nversions: 2\nid: 2\r\ndata:two\r\n\r\n: c\n\ndata: a\ndata: b\n\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		var whole, parts eventScanner
		whole.scan(b)
		all := bytes.Clone(whole.takeComplete())
		cut = min(max(0, cut), len(b))
		parts.scan(b[:cut])
		passed := bytes.Clone(parts.takeComplete())
		parts.scan(b[cut:])
		passed = append(passed, parts.takeComplete()...)
		if !bytes.Equal(all, passed) || whole.count != parts.count || !bytes.Equal(whole.output, parts.output) {
			t.Errorf("%q and %q", all, passed)
		}
		if whole.lastID == "" && !bytes.HasPrefix(b, all) {
			t.Errorf("%q is not a prefix of %q", all, b)
		}
		counted := whole.count
		if !bytes.Contains(b, []byte("id:")) {
			return
		}
		whole.startSource()
		whole.scan(all)
		if n := whole.count - counted; n > counted {
			t.Errorf("%d events were repeated", n)
		}
	})
}
