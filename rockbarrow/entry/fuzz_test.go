// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"testing"
)

// FuzzScanner: events are the same wherever their bytes are cut, what is given out is a
// prefix of what came, and what comes again is not given again.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("id: 1\ndata: one\n\nversions: 2\nid: 2\r\ndata:two\r\n\r\n: c\n\ndata: a\ndata: b\n\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		var whole, parts eventScanner
		whole.scan(b)
		all := bytes.Clone(whole.takeComplete())
		cut = min(max(0, cut), len(b))
		parts.scan(b[:cut])
		given := bytes.Clone(parts.takeComplete())
		parts.scan(b[cut:])
		given = append(given, parts.takeComplete()...)
		if !bytes.Equal(all, given) || whole.count != parts.count || !bytes.Equal(whole.output, parts.output) {
			t.Errorf("%q and %q", all, given)
		}
		if whole.lastID == "" && !bytes.HasPrefix(b, all) {
			t.Errorf("%q is no beginning of %q", all, b)
		}
		counted := whole.count
		if !bytes.Contains(b, []byte("id:")) {
			return
		}
		whole.startSource()
		whole.scan(all)
		if n := whole.count - counted; n > counted {
			t.Errorf("%d events came again", n)
		}
	})
}
