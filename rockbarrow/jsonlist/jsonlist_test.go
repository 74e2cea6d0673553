// SPDX-License-Identifier: MIT

package jsonlist

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// TestElementsAroundOneThatCannotBeRead guards against a list that is given up for one of its elements, and against elements
// made of bytes that belong to another one.
func TestElementsAroundOneThatCannotBeRead(t *testing.T) {
	for between, unreadable := range map[string]int{
		"\x00\x01\xff":           1,
		"garbage":                1,
		"-":                      0,
		"":                       0,
		" \n ":                   0,
		"[1,2":                   1,
		`{"a":"x}`:               1,
		`{"a":1`:                 1,
		`]`:                      1,
		`"`:                      1,
		`{"x":[{"a":3},{"a":4}]`: 1,
		`{"x":"]}`:               1,
		"}}}]]]\"\\\x00":         1,
		`x{"a":3}`:               1,
		`{"a":3}x`:               1,
		`{"a":3}{"a":4}`:         1,
		`{"a":3}` + "\x01,\x02":  1,
	} {
		text := `{"n":[{"a":0},{"a":1},` + between + `,{"a":2}],"next":"t"}`
		o := Split(text, "n")
		l := o.Lists["n"]
		if l == nil {
			t.Errorf("%q: no list", between)
			continue
		}
		if o.Incomplete || o.Frame != `{"n":[],"next":"t"}` {
			t.Errorf("%q: incomplete %v, frame %s", between, o.Incomplete, o.Frame)
		}
		var sound []string
		for _, e := range l.Elements {
			if json.Valid([]byte(e)) {
				sound = append(sound, e)
			}
		}
		if !slices.Equal(sound, []string{`{"a":0}`, `{"a":1}`, `{"a":2}`}) || len(l.Unreadable) != unreadable {
			t.Errorf("%q: elements %q, unreadable %q, want %d", between, l.Elements, l.Unreadable, unreadable)
		}
	}
}

func TestNoList(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"n":null}`, `{"n":{}}`, `{"n":"[1]"}`, `[]`, `null`, `x`, "\x00"} {
		if o := Split(text, "n"); o.Lists["n"] != nil || o.Frame != text || o.Incomplete == json.Valid([]byte(text)) {
			t.Errorf("%q: %+v", text, o)
		}
	}
	o := Split(`{"n":[ ],"m":[1]}`, "m", "n")
	if l := o.Lists["n"]; l == nil || len(l.Elements)+len(l.Unreadable) > 0 || o.Frame != `{"n":[],"m":[]}` || o.Incomplete {
		t.Errorf("%+v", o)
	}
}

// FuzzSplit checks that elements around one of any bytes come out unchanged as long as its bounds can be recognized, and that
// no sound element is made up in any case.
func FuzzSplit(f *testing.F) {
	f.Add("\x01\x02\xfe\xff", `{"b":2}`)
	f.Add("nope", "1e9999,\x00x")
	f.Add("\u2028", `{"id":"a","address":")"}`)
	f.Add("(", `")`)
	f.Fuzz(func(t *testing.T, inside, any string) {
		sound := []string{`{"a":1}`, `{"a":2}`}
		// Brackets of any kind, quotes, escapes and commas may hide the bounds.
		bounded := strings.NewReplacer(`"`, "", `\`, "", "{", "", "}", "", "[", "", "]", "", "(", "", ")", "").Replace(inside)
		for _, element := range []string{`{"a":"` + strings.NewReplacer(`"`, "", `\`, "").Replace(inside) + `"}`, strings.ReplaceAll(bounded, ",", ""), "[" + bounded + "]", `{"x":` + bounded + "}"} {
			o := Split(`{"n":[`+sound[0]+`,`+element+`,`+sound[1]+`],"next":"t"}`, "n")
			l := o.Lists["n"]
			if l == nil || o.Incomplete || o.Frame != `{"n":[],"next":"t"}` {
				t.Fatalf("element %q: %+v", element, o)
			}
			if !slices.Contains(l.Elements, sound[0]) || !slices.Contains(l.Elements, sound[1]) {
				t.Errorf("element %q: %+v", element, l)
			}
			for _, e := range l.Elements {
				if json.Valid([]byte(e)) && !slices.Contains(sound, e) && e != strings.TrimSpace(element) && !json.Valid([]byte(element)) {
					t.Errorf("element %q: made %q", element, e)
				}
			}
		}
		text := `{"n":[` + sound[0] + `,` + any + `,` + sound[1] + `],"next":"t"}`
		o := Split(text, "n")
		l := o.Lists["n"]
		if l == nil {
			return
		}
		if !o.Incomplete && !json.Valid([]byte(text)) && !(slices.Contains(l.Elements, sound[0]) && slices.Contains(l.Elements, sound[1])) {
			t.Errorf("between %q: %q are missing in %q", any, sound, l.Elements)
		}
		for _, e := range l.Elements {
			if json.Valid([]byte(e)) && !slices.Contains(sound, e) && !strings.Contains(any, e) {
				t.Errorf("between %q: made %q", any, e)
			}
		}
	})
}
