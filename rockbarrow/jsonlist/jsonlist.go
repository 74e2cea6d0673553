// SPDX-License-Identifier: MIT

// Package jsonlist splits lists in a JSON object into their elements although some of them can't be read.
//
// The elements are found by their quotes, brackets and commas, and are decoded by the caller one by one. The object around
// the lists is returned with empty ones. If the bounds of an element are not recognizable, the elements behind it are those
// that are valid objects between commas.
package jsonlist

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// maxElements limits the elements of a list, which take more memory than their text.
const maxElements = 1 << 16

// Object is an object whose lists were split.
type Object struct {
	// Lists are the lists by their fields. A field that is no list is missing.
	Lists map[string]*List
	// Frame is the text of the object with empty lists.
	Frame string
	// Incomplete is true if elements may be missing, or the frame is not valid JSON.
	Incomplete bool
}

// List is a list that was split.
type List struct {
	// Elements are the elements in their order. They need not be valid JSON.
	Elements []string
	// Unreadable are texts between the elements that are none.
	Unreadable []string
}

// Split splits the lists in some fields of an object.
func Split(text string, fields ...string) *Object {
	out := &Object{Lists: map[string]*List{}, Frame: text}
	var found []located
	for _, field := range fields {
		if r := gjson.Get(text, field); r.IsArray() && r.Index > 0 {
			found = append(found, located{field: field, list: r})
		}
	}
	// What is behind a list has to be readable to find its end.
	slices.SortFunc(found, func(a, b located) int { return cmp.Compare(b.list.Index, a.list.Index) })
	for _, f := range found {
		out.split(f)
	}
	out.Incomplete = out.Incomplete || !json.Valid([]byte(out.Frame))
	return out
}

// located is a list in a text.
type located struct {
	field string
	list  gjson.Result
}

// split splits a list and takes it out of the frame.
func (o *Object) split(f located) {
	text := o.Frame[f.list.Index:]
	s := &splitter{raw: f.list.Raw, end: 1}
	f.list.ForEach(func(_, element gjson.Result) bool { return s.add(element.Raw) })
	l, size := &List{Elements: s.elements}, len(s.raw)
	if !s.isWhole() || !isRest(text[size:]) {
		r := &recovery{}
		size = r.run(text)
		l.Elements, l.Unreadable = r.elements, r.unreadable
		o.Incomplete = o.Incomplete || r.incomplete
	}
	if len(l.Elements)+len(l.Unreadable) > maxElements {
		l.Elements, l.Unreadable = l.Elements[:min(len(l.Elements), maxElements)], nil
		o.Incomplete = true
	}
	o.Lists[f.field] = l
	o.Frame = o.Frame[:f.list.Index] + "[]" + text[size:]
}

// splitter collects the elements of a list up to one that is not separated by a comma.
type splitter struct {
	// raw is the list with its brackets, and end where the last element ends there.
	raw      string
	end      int
	elements []string
	failed   bool
}

// add adds the next element, and reports whether to go on.
func (s *splitter) add(element string) bool {
	at := strings.Index(s.raw[s.end:], element)
	separator := ","
	if len(s.elements) == 0 {
		separator = ""
	}
	if at < 0 || trimSpace(s.raw[s.end:s.end+at]) != separator || len(s.elements) > maxElements {
		s.failed = true
		return false
	}
	s.elements = append(s.elements, element)
	s.end += at + len(element)
	return true
}

// isWhole reports whether the elements are all that is in the list.
func (s *splitter) isWhole() bool { return !s.failed && trimSpace(s.raw[s.end:]) == "]" }

// whiteSpace is that of JSON.
const whiteSpace = " \t\r\n"

func trimSpace(text string) string { return strings.Trim(text, whiteSpace) }
