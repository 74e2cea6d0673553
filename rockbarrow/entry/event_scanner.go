// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"strconv"
)

// scanner reads server-sent events as their bytes pass by, and gives them out whole.
// An answer may come from several endpoints one after another: what an earlier one has
// given is not given again. The zero value is ready.
type eventScanner struct {
	// output is the data of all events, each with a line feed behind it.
	output []byte
	// count is the number of whole events.
	count int
	// last is the id of the last event that the client has, or "".
	lastID string

	// ready are the bytes of whole events that were not taken yet; block are those of
	// the event under way.
	complete, partial []byte
	line              []byte
	// id and data belong to the event under way; hasData is true if it has data.
	id      string
	data    []byte
	hasData bool
}

// begin is called before the bytes of each endpoint. The event that the one before
// stopped in is forgotten.
func (s *eventScanner) startSource() {
	s.partial, s.line, s.data = s.partial[:0], s.line[:0], s.data[:0]
	s.id, s.hasData = "", false
}

// scan takes the next bytes.
func (s *eventScanner) scan(b []byte) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.line = append(s.line, b...)
			s.partial = append(s.partial, b...)
			return
		}
		s.line = append(s.line, b[:i]...)
		s.partial = append(s.partial, b[:i+1]...)
		s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		b = b[i+1:]
	}
}

// take returns the bytes of the events that have become whole since the last call.
// They are valid until the next scan.
func (s *eventScanner) takeComplete() []byte {
	out := s.complete
	s.complete = s.complete[:0]
	return out
}

func (s *eventScanner) endLine(line []byte) {
	if len(line) == 0 {
		s.endEvent()
		return
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		s.id = string(bytes.TrimSpace(value))
		return
	}
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	s.hasData = true
	s.data = append(s.data, bytes.TrimPrefix(value, []byte(" "))...)
	s.data = append(s.data, '\n')
}

func (s *eventScanner) endEvent() {
	if !s.hasData || !alreadyPassed(s.id, s.lastID) {
		s.complete = append(s.complete, s.partial...)
		if s.hasData {
			s.count++
			s.output = append(s.output, s.data...)
		}
		if s.id != "" {
			s.lastID = s.id
		}
	}
	s.partial, s.data = s.partial[:0], s.data[:0]
	s.id, s.hasData = "", false
}

// given reports whether an event was given before: ids of events rise.
func alreadyPassed(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 63)
	if err != nil {
		return false
	}
	m, err := strconv.ParseUint(last, 10, 63)
	return err == nil && n <= m
}

// whole reports whether the bytes end between two events, of which the client has one
// at least.
func (s *eventScanner) isComplete() bool {
	return (s.count > 0 || s.lastID != "") && len(s.partial) == 0
}
