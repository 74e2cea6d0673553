// SPDX-License-Identifier: MIT

package entry

import "bytes"

// scanner reads the data of server-sent events as their bytes pass by.
type scanner struct {
	// output is the data of all events, each with a line feed behind it.
	output []byte
	// count is the number of whole events.
	count int

	line []byte
	// data is true if the present event has data.
	data bool
}

// scan takes the next bytes.
func (s *scanner) scan(b []byte) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.line = append(s.line, b...)
			return
		}
		s.line = append(s.line, b[:i]...)
		s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		b = b[i+1:]
	}
}

func (s *scanner) endLine(line []byte) {
	if len(line) == 0 {
		if s.data {
			s.count++
		}
		s.data = false
		return
	}
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	s.data = true
	s.output = append(s.output, bytes.TrimPrefix(value, []byte(" "))...)
	s.output = append(s.output, '\n')
}

// whole reports whether the bytes end between two events, of which there is one
// at least.
func (s *scanner) whole() bool { return s.count > 0 && !s.data && len(s.line) == 0 }
