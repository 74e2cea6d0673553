// SPDX-License-Identifier: MIT

// Package jsonlist splits lists in a JSON object into their elements although some of them can't be read.
//
// The elements are found by their quotes, brackets and commas, and are decoded by the caller one by one. The object around
// the lists is returned with empty ones. If the bounds of an element were not found, the rest of its list is in the object,
// which is not valid JSON then.
package jsonlist

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Object is an object whose lists were split.
type Object struct {
	// Lists are the lists by their fields. A field that is no list is missing.
	Lists map[string]*List
	// Frame is the text of the object with empty lists.
	Frame string
	// Incomplete is true if elements may be missing, as the frame is not valid JSON or a list is too long.
	Incomplete bool
}

// List is a list that was split.
type List struct {
	// Elements are the elements in their order. They need not be valid JSON.
	Elements []string
	// Unreadable are elements that are neither objects, lists, strings nor other values, and elements that are not
	// separated by commas.
	Unreadable []string
}

// maxElements limits the elements of a list, which take more memory than their text.
const maxElements = 1 << 16

// Split splits the lists in some fields of an object.
func Split(text string, fields ...string) *Object {
	out := &Object{Lists: map[string]*List{}, Frame: text}
	for _, field := range fields {
		found := gjson.Get(out.Frame, field)
		if !found.IsArray() || found.Index == 0 {
			continue
		}
		l, full := splitList(found)
		out.Lists[field] = l
		out.Frame = out.Frame[:found.Index] + "[]" + out.Frame[found.Index+len(found.Raw):]
		out.Incomplete = out.Incomplete || full
	}
	out.Incomplete = out.Incomplete || !json.Valid([]byte(out.Frame))
	if out.Incomplete {
		for _, l := range out.Lists {
			l.dropLast()
		}
	}
	return out
}

// dropLast declares the last element unreadable, which may have taken in what is behind it.
func (l *List) dropLast() {
	if n := len(l.Elements); n > 0 {
		l.Unreadable = append(l.Unreadable, l.Elements[n-1])
		l.Elements = slices.Delete(l.Elements, n-1, n)
	}
}

// splitList splits a list. It reports true if the list has too many elements, and returns the first of them.
func splitList(list gjson.Result) (l *List, full bool) {
	s := splitter{raw: list.Raw, end: 1}
	list.ForEach(func(_, element gjson.Result) bool {
		s.add(element.Raw)
		full = len(s.elements)+len(s.unreadable) >= maxElements
		return !full
	})
	if !full {
		s.addGap(strings.TrimSuffix(s.raw[s.end:], "]"), false)
	}
	return &List{Elements: s.elements, Unreadable: s.unreadable}, full
}

// splitter checks what is between the elements of a list.
type splitter struct {
	// raw is the list with its brackets, and end where the last element ends there.
	raw string
	end int
	// last is the last element, which may be followed by bytes that belong to it. It is valid if hasLast is true.
	last       string
	hasLast    bool
	elements   []string
	unreadable []string
}

// add adds the next element.
func (s *splitter) add(element string) {
	at := strings.Index(s.raw[s.end:], element)
	if at < 0 {
		s.unreadable = append(s.unreadable, element)
		return
	}
	start := s.end + at
	separated := s.addGap(s.raw[s.end:start], true)
	s.last, s.hasLast, s.end = element, separated, start+len(element)
	if !separated {
		s.unreadable = append(s.unreadable, element)
	}
}

// addGap handles the bytes between two elements, or before the end of the list. It reports whether the next element, if
// there is one, is separated from them.
func (s *splitter) addGap(gap string, next bool) (separated bool) {
	parts := strings.Split(gap, ",")
	first, others := parts[0], parts[1:]
	isFirst := s.end == 1
	joined := next && len(others) == 0 && !isFirst
	switch {
	case s.hasLast && (!isBlank(first) || joined):
		s.unreadable = append(s.unreadable, s.last+first)
	case s.hasLast:
		s.elements = append(s.elements, s.last)
	case isFirst && len(others) > 0 && !isBlank(first):
		s.unreadable = append(s.unreadable, first)
	}
	s.hasLast = false
	for i, part := range others {
		if !isBlank(part) && (i < len(others)-1 || !next) {
			s.unreadable = append(s.unreadable, part)
		}
	}
	return !joined && isBlank(parts[len(parts)-1])
}

// isBlank reports whether a text has only white space of JSON.
func isBlank(text string) bool { return strings.Trim(text, " \t\r\n") == "" }
