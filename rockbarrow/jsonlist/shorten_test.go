// SPDX-License-Identifier: MIT

package jsonlist

import (
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

// TestALargeElementCostsItself guards against an element that takes all that may be kept of its list, so that those behind it are
// missing.
func TestALargeElementCostsItself(t *testing.T) {
	const size = 4 << 20
	for _, element := range []string{
		`{"b":"` + strings.Repeat("b", size) + `"}`,
		`{"` + strings.Repeat("b", size) + `":1}`,
		`{"b":"` + strings.Repeat(`\"`, size/2) + `"}`,
		`{"b":"` + strings.Repeat(`\\`, size/2) + `"}`,
		`{"b":` + strings.Repeat("9", size) + `}`,
		`{"b":"` + strings.Repeat("{[", size/2) + `"}`,
		strings.Repeat("garbage", size/7),
		strings.Repeat(" ", size),
	} {
		text := `{"n":[{"a":1},` + element + `,{"a":2}],"next":"t"}`
		for _, r := range []io.Reader{strings.NewReader(text), iotest.HalfReader(strings.NewReader(text))} {
			read, err := Read(r, 1<<20, 64<<20)
			if err != nil || !read.Whole || read.Size != len(text) {
				t.Fatalf("%.20q: read %d of %d bytes, whole %v, %v", element, read.Size, len(text), read.Whole, err)
			}
			o := Split(read.Text, "n")
			var sound []string
			for _, e := range o.Lists["n"].Elements {
				if json.Valid([]byte(e)) {
					sound = append(sound, e)
				}
			}
			if o.Incomplete || o.Frame != `{"n":[],"next":"t"}` || !slices.Equal(sound, []string{`{"a":1}`, `{"a":2}`}) {
				t.Errorf("%.20q: incomplete %v, frame %s, elements %q", element, o.Incomplete, o.Frame, sound)
			}
		}
	}
}

// TestReadKeepsWhatIsSound guards against texts that change although nothing in them is too long, and against a whole one that
// is taken for a part.
func TestReadKeepsWhatIsSound(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"n":["` + strings.Repeat("x", maxRun) + `"]}`, `{"a":"\"","b":"\\"}` + strings.Repeat(" ", maxRun-1), "\x00\"\\\""} {
		read, err := Read(iotest.OneByteReader(strings.NewReader(text)), len(text), len(text)+1)
		if err != nil || read.Text != text || !read.Whole {
			t.Errorf("%.20q: %+v, %v", text, read, err)
		}
	}
}

// TestReadEnds guards against a text without an end, and one that fails.
func TestReadEnds(t *testing.T) {
	text := strings.Repeat(`"x",`, 1<<10)
	for _, limit := range [][2]int{{100, 1 << 20}, {1 << 20, 100}} {
		if read, err := Read(strings.NewReader(text), limit[0], limit[1]); err != nil || read.Whole || len(read.Text) != 100 {
			t.Errorf("%v: %d bytes, whole %v, %v", limit, len(read.Text), read.Whole, err)
		}
	}
	lost := errors.New("lost")
	read, err := Read(io.MultiReader(strings.NewReader(text), iotest.ErrReader(lost)), 1<<20, 1<<20)
	if err != lost || read.Text != text || read.Whole {
		t.Errorf("%d bytes, whole %v, %v", len(read.Text), read.Whole, err)
	}
}
